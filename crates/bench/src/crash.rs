//! What requests that crash upstreams cost, and how soon all entries know them.

use crate::days::{self, Spread};
use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;
use sorreldeck::{Span, Time};
use sorreldeck_emulator::crash::{Scenario, Tally, World};

/// The most sends of such a request once all entries must know it.
const SENDS: usize = 3;

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(days::options))]
    pub days: days::Options,
    /// The requests that crash upstreams, each five times a second
    #[bpaf(long, argument("N"), fallback(1), display_fallback)]
    pub crashing: usize,
    /// The upstreams that crash for another reason, in a second
    #[bpaf(long, argument("X"), fallback(0.0), display_fallback)]
    pub crashes: f64,
    /// The other requests in a second
    #[bpaf(long, argument("X"), fallback(100.0), display_fallback)]
    pub others: f64,
    /// The part of them that ask the same
    #[bpaf(long, argument("X"), fallback(0.2), display_fallback)]
    pub alike: f64,
    /// The seconds of a day
    #[bpaf(long, argument("S"), fallback(30.0), display_fallback)]
    pub seconds: f64,
}

#[derive(Debug, Serialize)]
struct Summary {
    upstreams_lost: Spread,
    late_sends: Spread,
    latest_send_s: Spread,
    known_after_s: Spread,
    served_before: Spread,
    served_while: Spread,
    served_after: Spread,
    held_back_wrongly: Spread,
    days: u64,
    seed: u64,
    pass: bool,
}

/// Runs the experiment; returns whether its invariants held.
///
/// # Errors
///
/// Fails when no day is asked for.
pub fn run(options: &Options) -> Result<bool> {
    let play = |seed| World::new(day(options), seed).run();
    let tallies = options.days.play(play, line)?;
    let summary = summary(options, &tallies);
    options.days.print(&summary.table(), &summary);
    Ok(summary.pass)
}

fn day(options: &Options) -> Scenario {
    Scenario {
        entries: options.days.entries,
        upstreams: options.days.upstreams,
        crashing: options.crashing,
        crashes: options.crashes,
        background_rate: options.others,
        identical: options.alike,
        duration: Span::from_secs_f64(options.seconds),
        ..Scenario::default()
    }
}

fn line(tally: &Tally) -> String {
    format!(
        "{} upstreams lost, {} sends late, {} of {} others refused wrongly",
        tally.crashes,
        tally.late_sends(),
        wrongly(tally),
        tally.requests.len()
    )
}

fn wrongly(tally: &Tally) -> usize {
    tally.false_refusals + tally.false_single_refusals
}

fn summary(options: &Options, tallies: &[Tally]) -> Summary {
    let over = |figure: &dyn Fn(&Tally) -> f64| Spread::over(tallies, figure);
    let late_sends = over(&|t| t.late_sends() as f64);
    Summary {
        upstreams_lost: over(&|t| t.crashes as f64),
        latest_send_s: over(&|t| t.last_send_delay().secs_f64()),
        known_after_s: over(&|t| t.quarantine_delay().secs_f64()),
        served_before: over(&|t| t.served(Time(0)..t.detection_window().start)),
        served_while: over(&|t| t.served(t.detection_window())),
        served_after: over(&|t| t.served(t.detection_window().end..Time(u64::MAX))),
        held_back_wrongly: over(&|t| wrongly(t) as f64),
        days: options.days.days,
        seed: options.days.seed,
        pass: late_sends.max <= SENDS as f64,
        late_sends,
    }
}

impl Summary {
    /// Returns the rows of the table.
    fn table(&self) -> Vec<(&'static str, Spread)> {
        vec![
            ("upstreams lost", self.upstreams_lost),
            ("sends late", self.late_sends),
            ("latest send, s", self.latest_send_s),
            ("all know after, s", self.known_after_s),
            ("others served before", self.served_before),
            ("others served while", self.served_while),
            ("others served after", self.served_after),
            ("refused wrongly", self.held_back_wrongly),
        ]
    }
}
