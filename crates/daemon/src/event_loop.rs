//! The loop of a process: one thread, messages in, a tick every 20 ms.

use async_channel::Receiver;
use async_std::stream::{interval, StreamExt};
use futures_util::future::{select, Either};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// The messages that are taken before the clock is looked at again.
const AT_ONCE: usize = 256;

/// What a loop does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Go on.
    Continue,
    /// End.
    End,
}

/// Runs a loop until a tick ends it: `take` deals with a message, `tick` with
/// the passing of time.
pub async fn run<R, M>(
    room: &mut R,
    receive: Receiver<M>,
    take: fn(&mut R, M),
    mut tick: impl FnMut(&mut R) -> Flow,
) {
    let mut ticked = Instant::now();
    // One timer for all turns: setting one for each message costs more than
    // most messages do.
    let mut ticks = interval(TICK);
    loop {
        let message = std::pin::pin!(receive.recv());
        if let Either::Left((Ok(message), _)) = select(message, ticks.next()).await {
            take(room, message);
        }
        for _ in 0..AT_ONCE {
            match receive.try_recv() {
                Ok(message) => take(room, message),
                Err(_) => break,
            }
        }
        if ticked.elapsed() < TICK {
            continue;
        }
        ticked = Instant::now();
        if tick(room) == Flow::End {
            return;
        }
    }
}

/// The planned stop of a loop, as seen from outside.
#[derive(Clone, Debug)]
pub struct Stop {
    wanted: Arc<AtomicBool>,
    ended: Receiver<()>,
}

impl Stop {
    /// Creates the handle of a loop that looks at `wanted` and closes `ended`.
    pub fn new(wanted: Arc<AtomicBool>, ended: Receiver<()>) -> Stop {
        Stop { wanted, ended }
    }

    /// Starts a planned stop.
    pub fn start(&self) {
        self.wanted.store(true, Ordering::Relaxed);
    }

    /// Waits until the loop has ended.
    pub async fn ended(&self) {
        // The channel carries nothing; it is closed by the loop's end.
        let _ = self.ended.recv().await;
    }
}

/// Returns a flag that SIGHUP raises.
///
/// # Errors
///
/// Fails when the signal cannot be caught.
pub fn reload_flag() -> std::io::Result<Arc<AtomicBool>> {
    let reload = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, reload.clone())?;
    Ok(reload)
}

/// Returns a flag that SIGTERM and SIGINT raise.
///
/// # Errors
///
/// Fails when the signals cannot be caught.
pub fn stop_flag() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    Ok(stop)
}
