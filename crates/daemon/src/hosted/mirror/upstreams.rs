//! What rows of upstreams mean: which may get requests, and which have left.

use super::{Mirror, Suspects, Update};
use sorreldeck::{Incarnation, Span, Time};
use sorreldeck_platform::member::{self, Registration};
use sorreldeck_platform::Table;
use std::net::SocketAddr;

/// How long rows that many upstreams lost at once may take to come back: leases that lapsed
/// while the store was down are renewed within about 2 s, and an upstream that left must get
/// nothing more after 2 s.
const COMES_BACK: Span = Span::from_millis(1_800);
/// The upstreams that vanish at once from which on their leases are taken to have lapsed, and
/// the part of all that they must be: a few that leave together vanish in one page, too.
const MANY: usize = 3;
const MANY_OF: usize = 2;

/// The upstreams whose latest start is remembered before those that left are forgotten: at 600
/// upstreams and a move of all of them a minute, some 7 minutes.
const MOST_BORN: usize = 4_096;

/// One start of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Start {
    /// Which one, where the upstream tells.
    born: Option<Incarnation>,
    address: SocketAddr,
}

impl Mirror {
    pub(super) fn upstream_news(&mut self, changed: &[String], now: Time) -> Vec<Update> {
        let mut news = self.gone_news(changed, now);
        for id in changed {
            let row = self.row(Table::Upstreams, id).cloned();
            let Some(buf) = row.and_then(|row| row.value) else {
                continue;
            };
            let read = member::decode(id, &buf);
            match self.understand(Table::Upstreams, id, read) {
                Some(listed) => news.extend(self.list(id, listed)),
                // Whoever wrote that, the upstream's row is gone.
                None => news.extend(self.retire(id)),
            }
        }
        news
    }

    /// Returns what it means that rows of upstreams are gone.
    pub(super) fn gone_news(&mut self, changed: &[String], now: Time) -> Vec<Update> {
        // Rows of upstreams that were left before go at any time, many in one page.
        let is_gone = |id: &&String| {
            self.listed.contains_key(*id) && self.row(Table::Upstreams, id).is_none()
        };
        let gone: Vec<String> = changed.iter().filter(is_gone).cloned().collect();
        if gone.is_empty() || !self.have_lapsed(gone.len()) {
            return gone.iter().filter_map(|id| self.retire(id)).collect();
        }
        for id in &gone {
            self.missing.entry(id.clone()).or_insert(now + COMES_BACK);
        }
        self.held.push(Suspects {
            keys: gone,
            listed: self.listed.len(),
            span: COMES_BACK,
        });
        Vec::new()
    }

    /// Returns whether so many upstreams that vanish at once look like leases that lapsed.
    ///
    /// The rows themselves tell it, whatever befell the calls of this entry or of those that
    /// it has the tables from: what fails there may be one connection, or the way of one entry
    /// to a store that is well, and upstreams that left without a word would be kept.
    fn have_lapsed(&self, gone: usize) -> bool {
        let vanished = gone + self.missing.len();
        vanished >= MANY && vanished * MANY_OF >= self.listed.len()
    }

    fn note_born(&mut self, id: &str, born: Option<Incarnation>) {
        let Some(born) = born else {
            return;
        };
        if self.born.len() >= MOST_BORN {
            let listed = &self.listed;
            self.born.retain(|id, _| listed.contains_key(id));
        }
        self.born.insert(id.to_owned(), born);
    }

    /// Takes in the row of an upstream. A newer start under the same name is another upstream: it
    /// knows nothing of before, and runs and connections begun before are the former one's.
    /// An older one that is heard of late changes nothing.
    pub(super) fn list(&mut self, id: &str, listed: Registration) -> Vec<Update> {
        let latest = self.born.get(id).copied();
        let born = listed.member.placement.incarnation.or(latest);
        if born < latest {
            return Vec::new();
        }
        self.note_born(id, born);
        let start = Start {
            born,
            address: listed.address,
        };
        let known = self.listed.get(id).copied();
        self.missing.remove(id);
        if listed.leaving {
            return self.retire(id).into_iter().collect();
        }
        let cold = Update::Cold(listed.member.upstream.clone(), listed.cold_left);
        let cold = (listed.cold_left > Span::default()).then_some(cold);
        if known == Some(start) {
            return cold.into_iter().collect();
        }
        let mut news: Vec<Update> = self.retire(id).into_iter().collect();
        self.listed.insert(id.to_owned(), start);
        news.push(Update::Joined(Box::new(listed)));
        news.extend(cold);
        news
    }

    pub(super) fn retire(&mut self, id: &str) -> Option<Update> {
        self.missing.remove(id);
        self.listed.remove(id)?;
        Some(Update::Retired(id.parse().ok()?))
    }
}
