//! One entry in front of upstreams that it calls directly, without sidecars.

use super::{ask, entry, member, routed, sent, streams};
use sorreldeck::entry::{Entry, Input, Output};
use sorreldeck::pick::{Link, Placement};
use sorreldeck::wire::Run;
use sorreldeck::{Incarnation, RequestId, Span, Time};
use std::collections::BTreeSet;

/// An entry with linked upstreams and a clock that advances 1 ms with each input.
pub struct Harness {
    pub entry: Entry,
    pub now: Time,
    next: u64,
}

impl Harness {
    pub fn new(upstreams: u64) -> Harness {
        let mut harness = Harness {
            entry: entry(1, 7),
            now: Time(1_000_000),
            next: 0,
        };
        harness.handle(streams(""));
        for link in 1..=upstreams {
            harness.join(link, link, 1);
        }
        harness
    }

    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        self.now = self.now + Span::from_millis(1);
        self.entry.handle(self.now, input)
    }

    pub fn join(&mut self, link: Link, name: u64, start: u64) {
        let place = Placement {
            incarnation: Some(Incarnation(start)),
            ..Placement::default()
        };
        self.handle(Input::Join(link, Box::new(member(name, place, 8))));
    }

    pub fn send_request(&mut self) -> Vec<Output> {
        self.next += 1;
        let call = routed(format!("r{}", self.next), "/drafts/1");
        self.handle(ask(RequestId::new(1, self.next), None, call))
    }

    /// Sends requests until the upstream at a link is chosen; returns that run.
    pub fn request_at(&mut self, link: Link) -> Run {
        let mut runs = (0..100).filter_map(|_| sent(&self.send_request()));
        let found = runs.find(|(at, _)| *at == link);
        found.expect("each upstream gets work").1
    }

    /// Returns the links to which the next 240 requests go. The number is large enough that an
    /// upstream with fewer requests so far is chosen as well.
    pub fn links_in_use(&mut self) -> Vec<Link> {
        let starts = (0..240).filter_map(|_| sent(&self.send_request()));
        let reached: BTreeSet<Link> = starts.map(|(link, _)| link).collect();
        reached.into_iter().collect()
    }
}
