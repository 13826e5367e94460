//! One entry before upstreams that are called directly.

use super::{ask, entry, member, routed, streams};
use sorreldeck::entry::{Entry, Input, Output, Part};
use sorreldeck::pick::{Link, Place};
use sorreldeck::wire::{Frame, Run};
use sorreldeck::{Failure, Incarnation, RequestId, Span, Time};
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
        let place = Place {
            start: Some(Incarnation(start)),
            ..Place::default()
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
        let mut runs = (0..100).filter_map(|_| start(&self.ask()));
        let found = runs.find(|(at, _)| *at == link);
        found.expect("each upstream gets work").1
    }

    /// Returns the links to which the next requests go: so many that one which was asked less
    /// often before makes up for it.
    pub fn reached(&mut self) -> Vec<Link> {
        let starts = (0..240).filter_map(|_| start(&self.ask()));
        let reached: BTreeSet<Link> = starts.map(|(link, _)| link).collect();
        reached.into_iter().collect()
    }
}

/// Returns where a request was sent, if it was.
pub fn start(outputs: &[Output]) -> Option<(Link, Run)> {
    outputs.iter().find_map(|output| match output {
        Output::Send(link, Frame::Start(start)) => Some((*link, start.run)),
        _ => None,
    })
}

/// Returns why a request was refused, if it was.
pub fn refused(outputs: &[Output]) -> Option<&Failure> {
    outputs.iter().find_map(|output| match output {
        Output::Answer(_, Part::Fail(failure)) => Some(failure),
        _ => None,
    })
}
