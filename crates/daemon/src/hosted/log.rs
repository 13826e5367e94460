//! Non-blocking log on standard output with bounded memory and rate.
//!
//! A separate thread writes the lines. Lines that exceed the limits are dropped, and their
//! number is written with the next line.

use logforth::append::Append;
use logforth::layout::{JsonLayout, Layout};
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Diagnostic, Error};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Maximum number of lines that wait to be written.
const MAX_QUEUED: usize = 1024;
/// Lines per second on average, and in a burst: about three for each request of a busy entry.
const LINES_PER_SECOND: f64 = 300.0;
const BURST_LINES: f64 = 900.0;

/// Starts the log of a hosted entry.
pub fn start() {
    let appender: Box<dyn Append> = Box::new(Bounded::start());
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(appender)
        })
        .apply();
}

#[derive(Debug)]
struct Bounded {
    layout: JsonLayout,
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    tokens: Mutex<(f64, Instant)>,
}

impl Bounded {
    fn start() -> Bounded {
        let (lines, queue) = sync_channel(MAX_QUEUED);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = dropped.clone();
        std::thread::spawn(move || write(&queue, &dropped_count));
        Bounded {
            layout: JsonLayout::default(),
            lines,
            dropped,
            tokens: Mutex::new((BURST_LINES, Instant::now())),
        }
    }

    fn has_token(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(|e| e.into_inner());
        let (left, since) = *tokens;
        let filled = (left + since.elapsed().as_secs_f64() * LINES_PER_SECOND).min(BURST_LINES);
        let is_available = filled >= 1.0;
        let left = if is_available { filled - 1.0 } else { filled };
        *tokens = (left, Instant::now());
        is_available
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = match self.has_token() {
            true => Some(self.layout.format(record, diags)?),
            false => None,
        };
        if line.is_none_or(|line| self.lines.try_send(line).is_err()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = std::io::stdout();
    while let Ok(mut line) = queue.recv() {
        line.push(b'\n');
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            line.extend_from_slice(format!("{{\"dropped_lines\":{dropped_lines}}}\n").as_bytes());
        }
        if out.write_all(&line).is_err() {
            // Standard output is closed, so there is no place left to report this.
            return;
        }
    }
}
