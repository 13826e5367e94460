//! Runs the role that the arguments select: sets up logging and the executor.

use crate::options::{LogFormat, Options};
use crate::{entry, hosted, sidecar, standalone};
use async_std::task;
use eyre::Result;
use logforth::append::{self, Append};
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

/// Runs the selected role until a signal stops it.
///
/// # Errors
///
/// Fails if the role cannot start, for example because an address cannot be bound.
pub fn run(options: Options) -> Result<()> {
    // All tasks, including the event loop, run on one thread.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    match options {
        Options::Hosted(_) => hosted::start_log(),
        _ => start_log(options.log_format()),
    }
    block_on_executor(async {
        match options {
            Options::Entry(settings) => entry::run(settings).await,
            Options::Sidecar(settings) => sidecar::run(settings).await,
            Options::Standalone(settings) => standalone::run(settings).await,
            Options::Hosted(settings) => hosted::run(settings).await,
        }
    })
}

/// Runs a future on the executor's only thread. That thread polls the sockets itself; if
/// the calling thread polled them too, each event would wake up both.
fn block_on_executor(
    work: impl std::future::Future<Output = Result<()>> + Send + 'static,
) -> Result<()> {
    let (send, ended) = std::sync::mpsc::channel();
    task::spawn(async move {
        // Cannot fail, since the receiver waits below.
        let _ = send.send(work.await);
    });
    ended.recv()?
}

fn start_log(format: LogFormat) {
    let stderr = append::Stderr::default();
    let appender: Box<dyn Append> = match format {
        LogFormat::Text => Box::new(stderr.with_layout(TextLayout::default())),
        LogFormat::Json => Box::new(stderr.with_layout(JsonLayout::default())),
    };
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(appender)
        })
        .apply();
}
