//! The usual time in which prompts of a length start to be answered in a contended pool, learned
//! from the runs of all entries.
//!
//! One entry sees too few long prompts of each model to learn from them alone. Times are kept by
//! model and length class, relative to a fixed line, in the same sums as the speeds of upstreams,
//! which the entries exchange.
//!
//! ```
//! use sorreldeck::latency::Workload;
//! use sorreldeck::pick::{usual, Speeds};
//! use sorreldeck::{Span, Time};
//!
//! let workload = Workload::Model("assistant".parse()?, "scribe".parse()?);
//! let mut speeds = Speeds::default();
//! for _ in 0..100 {
//!     usual::record(&mut speeds, &workload, 8_192, Span::from_millis(500), Time(0));
//! }
//! let time = usual::time(&speeds, &workload, 8_192, Time(0));
//! assert!((450..=510).contains(&time.millis()), "{time}");
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use super::Speeds;
use crate::digest::{mix, truncate};
use crate::latency::Workload;
use crate::unit::{Rate, Span, Time};

/// The line that times are relative to: a fixed part and a part per thousand tokens, in
/// milliseconds.
const BASE_MS: f64 = 25.0;
const SLOPE_MS: f64 = 20.0;
/// The tokens of the shortest length class; each further class is twice as long.
const SHORTEST: f64 = 256.0;
/// The number of length classes.
const CLASSES: usize = 9;
/// The weight of what is known of the other length classes of a model, in runs.
const CLASS_PRIOR: f64 = 2.0;

/// Records the time in which a prompt started to be answered, as it would be at an upstream of the
/// usual speed without a wait.
pub fn record(speeds: &mut Speeds, workload: &Workload, tokens: u32, took: Span, now: Time) {
    let (class, above) = classify(tokens);
    let class = class + usize::from(above >= 0.5);
    let key = key(name(workload), class);
    speeds.record(key, took, line(tokens), now);
}

/// Returns the usual time in which a prompt starts to be answered.
pub fn time(speeds: &Speeds, workload: &Workload, tokens: u32, now: Time) -> Span {
    time_at(&logs(speeds, workload, now), tokens)
}

/// Returns the usual time for a prompt, from the logarithms by length class.
fn time_at(logs: &[f64; CLASSES + 1], tokens: u32) -> Span {
    let (class, above) = classify(tokens);
    let log = logs[class] * (1.0 - above) + logs[class + 1] * above;
    Span::from_secs_f64(line(tokens).secs_f64() * log.exp())
}

/// Returns the rate at which a prompt of this length is read, in tokens per second.
pub fn rate(speeds: &Speeds, workload: &Workload, tokens: u32, now: Time) -> Rate {
    let tokens = tokens.max(SHORTEST as u32);
    let logs = logs(speeds, workload, now);
    let reading = (time_at(&logs, tokens) - time_at(&logs, 0))
        .secs_f64()
        .max(1e-3);
    Rate::from_per_second(f64::from(tokens) / reading)
}

/// Returns the logarithms of the usual times relative to the line, by length class. A class of
/// which little is known is like the others of its model.
fn logs(speeds: &Speeds, workload: &Workload, now: Time) -> [f64; CLASSES + 1] {
    let name = name(workload);
    let mut known = [(0.0, 0.0); CLASSES + 1];
    for (class, known) in known.iter_mut().enumerate() {
        *known = speeds.sum(key(name, class), now);
    }
    let weight: f64 = known.iter().map(|(weight, _)| weight).sum();
    let log: f64 = known.iter().map(|(_, log)| log).sum();
    let overall = if weight > 0.0 { log / weight } else { 0.0 };
    known.map(|(weight, log)| (log + CLASS_PRIOR * overall) / (weight + CLASS_PRIOR))
}

/// Returns the time of the line for a prompt.
fn line(tokens: u32) -> Span {
    Span::from_secs_f64((BASE_MS + SLOPE_MS * f64::from(tokens) / 1e3) / 1e3)
}

/// Returns the length class of a prompt and its position between that class and the next.
fn classify(tokens: u32) -> (usize, f64) {
    let position = (f64::from(tokens) / SHORTEST).max(1.0).log2();
    let position = position.min(CLASSES as f64 - 1e-9);
    (position as usize, position.fract())
}

/// Returns the number of a workload among the exchanged sums.
fn name(workload: &Workload) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let mut add = |part: &str| {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    };
    match workload {
        Workload::Model(pool, model) => [pool.as_str(), model.as_str()].map(&mut add),
        Workload::Route(route) => ["route", route.as_str()].map(&mut add),
    };
    truncate(&hasher.finalize())
}

/// Returns the identifier of a length class among the exchanged sums.
fn key(name: u64, class: usize) -> u64 {
    mix(name ^ (class as u64 + 1))
}
