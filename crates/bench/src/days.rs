//! Days without sockets, each with a seed of its own, and what came of them.

use crate::stats::{print_last, round};
use bpaf::Bpaf;
use eyre::Result;
use serde::Serialize;

/// How many days are played before how many upstreams.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// The seed of the first day
    #[bpaf(long, argument("N"), fallback(1))]
    pub seed: u64,
    /// How many days are played, each with the next seed
    #[bpaf(long, argument("N"), fallback(10), display_fallback)]
    pub days: u64,
    /// The entries
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    pub entries: usize,
    /// The upstreams of the pool
    #[bpaf(long, argument("N"), fallback(18), display_fallback)]
    pub upstreams: usize,
    /// Print nothing but the last line
    #[bpaf(long)]
    pub json: bool,
}

impl Options {
    /// Plays each day and tells in a line what came of it.
    ///
    /// # Errors
    ///
    /// Fails when no day is asked for.
    pub fn play<T>(&self, play: impl Fn(u64) -> T, line: impl Fn(&T) -> String) -> Result<Vec<T>> {
        eyre::ensure!(self.days > 0, "--days must be above 0");
        let mut played = Vec::new();
        for seed in self.seed..self.seed + self.days {
            let day = play(seed);
            if !self.json {
                eprintln!("seed {seed}: {}", line(&day));
            }
            played.push(day);
        }
        Ok(played)
    }

    /// Prints what came of all days: a table, and the last line.
    pub fn print(&self, table: &[(&str, Spread)], summary: &impl Serialize) {
        if !self.json {
            print_table(table);
        }
        print_last(summary);
    }
}

/// The least, the median and the most over all days.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    pub min: f64,
    pub median: f64,
    pub max: f64,
}

impl Spread {
    /// Returns the spread of a figure over days, or zeros without any.
    pub fn over<T>(days: &[T], figure: impl Fn(&T) -> f64) -> Spread {
        let mut values: Vec<f64> = days.iter().map(figure).collect();
        values.sort_by(f64::total_cmp);
        let at = |place: usize| values.get(place).copied().map_or(0.0, round);
        Spread {
            min: at(0),
            median: at(values.len() / 2),
            max: at(values.len().saturating_sub(1)),
        }
    }
}

fn print_table(table: &[(&str, Spread)]) {
    let width = table.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    println!("{:<width$}{:>9}{:>9}{:>9}", "", "min", "median", "max");
    for (name, Spread { min, median, max }) in table {
        println!("{name:<width$}{min:>9}{median:>9}{max:>9}");
    }
}
