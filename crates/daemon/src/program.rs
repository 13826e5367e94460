//! The program around the roles: arguments, logs and the one thread.

use crate::options::{LogFormat, Options};
use crate::{entry, hosted, sidecar, standalone};
use async_std::task;
use eyre::Result;
use logforth::append::{self, Append};
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

/// Runs the role that the options name until it is told to stop.
///
/// # Errors
///
/// Fails when an address cannot be listened on.
pub fn run(options: Options) -> Result<()> {
    // One thread runs all tasks; the loop that decides is one of them.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    match options {
        Options::Hosted(_) => hosted::start_log(),
        _ => start_log(options.log_format()),
    }
    on_one_thread(async {
        match options {
            Options::Entry(settings) => entry::run(settings).await,
            Options::Sidecar(settings) => sidecar::run(settings).await,
            Options::Standalone(settings) => standalone::run(settings).await,
            Options::Hosted(settings) => hosted::run(settings).await,
        }
    })
}

/// Runs a future on the executor's one thread. That thread waits for sockets by
/// itself; if this one waited for them too, each event would wake both.
fn on_one_thread(
    work: impl std::future::Future<Output = Result<()>> + Send + 'static,
) -> Result<()> {
    let (send, ended) = std::sync::mpsc::channel();
    task::spawn(async move {
        // The receiver waits below.
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
