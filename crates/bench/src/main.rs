//! The program `sorreldeck-bench`: stand-ins, load and experiments. It is not
//! shipped. It may start daemons as processes of its own, and ends them.

#![allow(dead_code)]

mod call;
mod fleet;
mod path;
mod plan;
mod stand;
mod stats;

use bpaf::Bpaf;
use eyre::Result;

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, fallback_to_usage)]
/// Stand-ins, load and experiments for sorreldeck.
///
/// Every experiment ends what it started and prints one JSON object as its last
/// line; the exit code is not 0 where an invariant broke.
enum Options {
    /// Measure what the path through sorreldeck adds, and check every answer
    #[bpaf(command)]
    Path(#[bpaf(external(path::options))] path::Options),
    /// Run stand-ins until killed (used by the experiments)
    #[bpaf(command("stand-ins"))]
    StandIns(#[bpaf(external(stand::options))] stand::Options),
    Daemon(#[bpaf(external(daemon))] sorreldeckd::Options),
}

fn daemon() -> impl bpaf::Parser<sorreldeckd::Options> {
    sorreldeckd::options::options()
        .command("daemon")
        .help("Run a daemon like sorreldeckd (used by the experiments)")
}

fn main() -> Result<()> {
    let options = options().run();
    let passed = match options {
        Options::Path(options) => run(path::run(options))?,
        Options::StandIns(options) => run(stand::run(options))?,
        Options::Daemon(options) => {
            sorreldeckd::program::run(options)?;
            true
        }
    };
    std::process::exit(i32::from(!passed));
}

fn run<T>(work: impl std::future::Future<Output = T>) -> T {
    async_std::task::block_on(work)
}
