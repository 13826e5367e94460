//! One entry before upstreams that are called directly.

use super::{ask, entry, member, routed, sent, streams};
use sorreldeck::entry::{Entry, Input, Output};
use sorreldeck::pick::{Link, Placement};
use sorreldeck::wire::Run;
use sorreldeck::{Incarnation, RequestId, Span, Time};
use std::collections::BTreeSet;

/// An entry before some upstreams.
pub struct Stand {
    pub entry: Entry,
    pub now: Time,
    next: u64,
}

impl Stand {
    pub fn new(upstreams: u64) -> Stand {
        let mut stand = Stand {
            entry: entry(1, 7),
            now: Time(1_000_000),
            next: 0,
        };
        stand.tell(streams(""));
        for link in 1..=upstreams {
            stand.join(link, link, 1);
        }
        stand
    }

    pub fn tell(&mut self, input: Input) -> Vec<Output> {
        self.now = self.now + Span::from_millis(1);
        self.entry.handle(self.now, input)
    }

    pub fn join(&mut self, link: Link, name: u64, start: u64) {
        let place = Placement {
            incarnation: Some(Incarnation(start)),
            ..Placement::default()
        };
        self.tell(Input::Join(link, Box::new(member(name, place, 8))));
    }

    pub fn ask(&mut self) -> Vec<Output> {
        self.next += 1;
        let call = routed(format!("r{}", self.next), "/drafts/1");
        self.tell(ask(RequestId::new(1, self.next), None, call))
    }

    /// Asks until the upstream at a link is chosen.
    pub fn reach(&mut self, link: Link) -> Run {
        let mut runs = (0..100).filter_map(|_| sent(&self.ask()));
        let found = runs.find(|(at, _)| *at == link);
        found.expect("each upstream gets work").1
    }

    /// Returns the links to which the next requests go: so many that one which was asked less
    /// often before makes up for it.
    pub fn reached(&mut self) -> Vec<Link> {
        let starts = (0..240).filter_map(|_| sent(&self.ask()));
        let reached: BTreeSet<Link> = starts.map(|(link, _)| link).collect();
        reached.into_iter().collect()
    }
}
