//! How often the beginnings of prompts come again, which decides how widely one is kept.
//!
//! A beginning that is kept at one upstream of each data hall is near, and read once in each.
//! Kept at one upstream of all, it is read once, and most requests cross to another hall.
//! Which is better follows from how long it takes to be read and how often it is asked for.
//!
//! ```
//! use sorreldeck::reuse::{Reuse, Scope};
//! use sorreldeck::{Span, Time};
//!
//! let mut reuse = Reuse::default();
//! let kind = ("drafts".parse()?, 0);
//! for beginning in 0..400 {
//!     reuse.record(&kind, beginning / 2, Time(beginning * 1_000));
//! }
//! let (short, long) = (Span::from_millis(5), Span::from_millis(900));
//! assert_eq!(reuse.scope(&kind, short, 3, 3, 1.0), Scope::Hall);
//! assert_eq!(reuse.scope(&kind, long, 3, 3, 1.0), Scope::All);
//! # Ok::<(), sorreldeck::Error>(())
//! ```

use crate::id::RouteId;
use crate::pick::{CROSS_HALL_PENALTY, PREFIX_LIFETIME};
use crate::unit::{Span, Time};
use std::collections::HashMap;

/// The requests that the share of new beginnings looks back on.
const OVER: f64 = 64.0;
/// The share assumed at first: as many are new as come again.
const PRIOR: f64 = 0.5;
/// The beginnings remembered before old ones are looked for.
const MOST: usize = 4096;

/// What is counted apart: a route, and the place of the model among its sizes.
pub type Group = (RouteId, usize);

/// Over which upstreams a beginning has one home.
///
/// Measured on calcne-recife, 36 plays without processor time: 0.651 with one in each data
/// hall, 0.662 with one for all; chosen by [`Reuse::scope`], 18 plays: 0.657 to 0.670. On
/// saa-kazi, where reading is quick, 18 plays: 0.628 with either.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// Those of each data hall.
    #[default]
    Hall,
    /// All.
    All,
}

/// How often beginnings come again to this entry.
#[derive(Clone, Debug, Default)]
pub struct Reuse {
    used: HashMap<u64, Time>,
    new: HashMap<Group, f64>,
}

impl Reuse {
    /// Notes that a beginning is asked for.
    pub fn record(&mut self, kind: &Group, beginning: u64, now: Time) {
        let last = self.used.insert(beginning, now);
        let is_new = last.is_none_or(|last| now.since(last) >= PREFIX_LIFETIME);
        let share = self.new.entry(kind.clone()).or_insert(PRIOR);
        *share += (f64::from(u8::from(is_new)) - *share) / OVER;
        if self.used.len() > MOST {
            self.used
                .retain(|_, last| now.since(*last) < PREFIX_LIFETIME);
        }
    }

    /// Returns over which upstreams a beginning that takes this long to be read has one
    /// home, where this many entries share the requests of this many data halls.
    ///
    /// `weight` tells how much time matters as against what is paid for crossing.
    /// Requests that come at random find a beginning gone with a chance that falls as a
    /// power of how many entries ask for it.
    pub fn scope(
        &self,
        kind: &Group,
        reading: Span,
        entries: usize,
        halls: usize,
        weight: f64,
    ) -> Scope {
        let halls = halls.max(1) as f64;
        let entries = (entries as f64).max(halls);
        let new = self.new.get(kind).copied().unwrap_or(PRIOR);
        let spared = new.powf(entries / halls) - new.powf(entries);
        let crossing = CROSS_HALL_PENALTY.secs_f64() * (1.0 - 1.0 / halls);
        match reading.secs_f64() * spared * weight > crossing {
            true => Scope::All,
            false => Scope::Hall,
        }
    }
}
