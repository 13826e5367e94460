//! The load balancer.

use super::scenario::Crowd;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Questions in a row without a good answer after which an entry gets no new connections.
const MISSES: u32 = 2;

/// A load balancer that follows the readiness of entries.
#[derive(Debug)]
pub(super) struct Balancer {
    missed: Vec<u32>,
    /// The entry that gets most new connections.
    favourite: Option<usize>,
}

impl Balancer {
    pub fn new(entries: usize) -> Balancer {
        Balancer {
            missed: vec![0; entries],
            favourite: None,
        }
    }

    pub fn begin(&mut self, crowd: &Crowd) {
        self.favourite = Some(crowd.entry);
    }

    pub fn end(&mut self) {
        self.favourite = None;
    }

    /// Records the answer of an entry to the question whether it is ready.
    pub fn record(&mut self, entry: usize, is_ready: bool) {
        let missed = &mut self.missed[entry];
        *missed = match is_ready {
            true => 0,
            false => *missed + 1,
        };
    }

    /// Returns the entry for a try.
    pub fn pick(
        &mut self,
        is_first: bool,
        tried: &[usize],
        share: f64,
        rng: &mut ChaCha8Rng,
    ) -> usize {
        let all = 0..self.missed.len();
        let mut in_use: Vec<usize> = all.clone().filter(|i| self.missed[*i] < MISSES).collect();
        if in_use.len() * 2 < self.missed.len() {
            in_use = all.collect();
        }
        if let Some(favourite) = self.favourite.filter(|f| !in_use.contains(f)) {
            let next = in_use.iter().find(|i| **i > favourite);
            self.favourite = next.or(in_use.first()).copied();
        }
        if let Some(favourite) = self.favourite.filter(|_| is_first) {
            if rng.random_bool(share) {
                return favourite;
            }
        }
        let fresh: Vec<usize> = in_use
            .iter()
            .copied()
            .filter(|i| !tried.contains(i))
            .collect();
        let choice = if fresh.is_empty() { &in_use } else { &fresh };
        choice[rng.random_range(0..choice.len())]
    }
}
