//! The event loop of a process: handles messages on one thread, with a tick every 20 ms.

use async_channel::Receiver;
use async_std::stream::{interval, StreamExt};
use futures_util::future::{select, Either};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// The maximum number of queued messages that are handled before the next check for a tick.
const BATCH: usize = 256;

/// Whether an event loop continues after a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Continue with the next message.
    Continue,
    /// End the loop.
    End,
}

/// Runs an event loop until a tick ends it. `handle` is called for each message, `tick` at
/// each tick.
pub async fn run<S, M>(
    state: &mut S,
    receive: Receiver<M>,
    handle: fn(&mut S, M),
    mut tick: impl FnMut(&mut S) -> Flow,
) {
    let mut ticked = Instant::now();
    // One timer for all iterations: setting a timer per message costs more than handling
    // most messages.
    let mut ticks = interval(TICK);
    loop {
        let message = std::pin::pin!(receive.recv());
        if let Either::Left((Ok(message), _)) = select(message, ticks.next()).await {
            handle(state, message);
        }
        for _ in 0..BATCH {
            match receive.try_recv() {
                Ok(message) => handle(state, message),
                Err(_) => break,
            }
        }
        if ticked.elapsed() < TICK {
            continue;
        }
        ticked = Instant::now();
        if tick(state) == Flow::End {
            return;
        }
    }
}

/// A handle for stopping an event loop gracefully.
#[derive(Clone, Debug)]
pub struct Stop {
    requested: Arc<AtomicBool>,
    ended: Receiver<()>,
}

impl Stop {
    /// Creates the handle of a loop that stops when `requested` is set and closes `ended` when
    /// it has ended.
    pub fn new(requested: Arc<AtomicBool>, ended: Receiver<()>) -> Stop {
        Stop { requested, ended }
    }

    /// Starts a graceful stop.
    pub fn start(&self) {
        self.requested.store(true, Ordering::Relaxed);
    }

    /// Waits until the loop has ended.
    pub async fn ended(&self) {
        // The channel carries no messages; the loop closes it when it ends.
        let _ = self.ended.recv().await;
    }
}

/// Returns a flag that is set on SIGHUP.
///
/// # Errors
///
/// Fails if the signal handler cannot be installed.
pub fn reload_flag() -> std::io::Result<Arc<AtomicBool>> {
    let reload = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, reload.clone())?;
    Ok(reload)
}

/// Returns a flag that is set on SIGTERM and SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub fn stop_flag() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    Ok(stop)
}
