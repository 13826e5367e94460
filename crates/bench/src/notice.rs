//! What upstreams get that leave, want rest or name a rate, and what that costs callers.

use crate::days::{self, Spread};
use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;
use sorreldeck::{Rate, Span};
use sorreldeck_emulator::notice::{Limited, Period, Scenario, Signal, Tally, World};

/// How long an entry may send requests after it was told that an upstream leaves.
const LEAVES_WITHIN: Span = Span::from_millis(2_000);
/// The most requests of one entry while an upstream rests.
const WHILE_RESTING: usize = 2;

/// The parameters of the experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    #[bpaf(external(days::options))]
    pub days: days::Options,
    /// How many of them speak of themselves
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    pub speaking: usize,
    /// The requests a second that they take, from all entries
    #[bpaf(long, argument("X"), fallback(1.9), display_fallback)]
    pub rate: f64,
    /// The seconds of rest that they ask for
    #[bpaf(long, argument("S"), fallback(3.0), display_fallback)]
    pub rest: f64,
    /// The requests in a second
    #[bpaf(long, argument("X"), fallback(100.0), display_fallback)]
    pub asked: f64,
    /// Whether entries hear nothing of one another
    #[bpaf(long)]
    pub deaf: bool,
}

#[derive(Debug, Serialize)]
struct Summary {
    /// Of days on which some leave.
    latest_after_leaving_s: Spread,
    served_while_leaving: Spread,
    /// Of days on which some want rest.
    most_while_resting: Spread,
    turned_away: Spread,
    served_while_resting: Spread,
    /// Of days on which some name a rate.
    over_the_rate: Spread,
    used_of_the_rate: Spread,
    after_the_rate_per_s: Spread,
    served_while_limited: Spread,
    days: u64,
    seed: u64,
    pass: bool,
}

/// The days of one seed.
struct Three {
    leaving: Tally,
    resting: Tally,
    limited: Tally,
}

/// Runs the experiment; returns whether its invariants held.
///
/// # Errors
///
/// Fails when no day is asked for.
pub fn run(options: &Options) -> Result<bool> {
    let days = options.days.play(|seed| play(options, seed), line)?;
    let summary = summary(options, &days);
    options.days.print(&summary.table(), &summary);
    Ok(summary.pass)
}

fn play(options: &Options, seed: u64) -> Three {
    let rest = Span::from_secs_f64(options.rest);
    let limit = Rate::from_per_second(options.rate);
    let play = |says| World::new(day(options, says), seed).run();
    Three {
        leaving: play(Signal::Leaving),
        resting: play(Signal::Pause(rest)),
        limited: play(Signal::Limit(limit)),
    }
}

fn day(options: &Options, says: Signal) -> Scenario {
    let trouble = Period {
        start: Span::from_millis(5_000),
        duration: Span::from_millis(15_000),
        upstreams: options.speaking,
        signal: says,
    };
    Scenario {
        entries: options.days.entries,
        upstreams: options.days.upstreams,
        request_rate: options.asked,
        periods: vec![trouble],
        is_isolated: options.deaf,
        ..Scenario::default()
    }
}

fn line(three: &Three) -> String {
    format!(
        "latest {} after leaving, {} while resting, {:.1} over the rate",
        three.leaving.last_send_delay,
        three.resting.sent_during_pause,
        three.limited.excess()
    )
}

fn summary(options: &Options, days: &[Three]) -> Summary {
    let over = |figure: &dyn Fn(&Three) -> f64| Spread::over(days, figure);
    let latest = over(&|d| d.leaving.last_send_delay.secs_f64());
    let most = over(&|d| d.resting.sent_during_pause as f64);
    let excess = over(&|d| d.limited.excess());
    let pass = latest.max <= LEAVES_WITHIN.secs_f64()
        && most.max <= WHILE_RESTING as f64
        && excess.max <= 0.0;
    Summary {
        latest_after_leaving_s: latest,
        served_while_leaving: over(&|d| d.leaving.served()),
        most_while_resting: most,
        turned_away: over(&|d| d.resting.rejected as f64),
        served_while_resting: over(&|d| d.resting.served()),
        over_the_rate: excess,
        used_of_the_rate: over(&|d| d.limited.utilization()),
        after_the_rate_per_s: over(&|d| after(&d.limited)),
        served_while_limited: over(&|d| d.limited.served()),
        days: options.days.days,
        seed: options.days.seed,
        pass,
    }
}

/// Returns how many requests a second an upstream gets some seconds after it has stopped naming
/// a rate: the least of all that did.
fn after(tally: &Tally) -> f64 {
    let (from, to) = (Span::from_millis(3_000), Span::from_millis(8_000));
    let rates = tally
        .limited
        .values()
        .map(|l: &Limited| l.rate_after(from, to));
    rates.reduce(f64::min).unwrap_or(0.0)
}

impl Summary {
    /// Returns the rows of the table.
    fn table(&self) -> Vec<(&'static str, Spread)> {
        vec![
            ("latest after leaving, s", self.latest_after_leaving_s),
            ("served while some leave", self.served_while_leaving),
            ("most while resting", self.most_while_resting),
            ("turned away", self.turned_away),
            ("served while some rest", self.served_while_resting),
            ("over the rate in 4 s", self.over_the_rate),
            ("used of the rate", self.used_of_the_rate),
            ("a second after the rate", self.after_the_rate_per_s),
            ("served while some are limited", self.served_while_limited),
        ]
    }
}
