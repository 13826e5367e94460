//! A request under way at an entry.

use crate::entry::ask::{Chat, Payload, Request};
use crate::entry::routed::Terms;
use crate::failure::Failure;
use crate::id::*;
use crate::pick::{Link, Prefix};
use crate::quarantine::Fingerprint;
use crate::route::{Cause, Choice, Context, Target};
use crate::session::Session;
use crate::unit::Time;
use crate::verdict::Verdict;
use crate::wire::{Confidence, Header, Run};

/// A request under way.
#[derive(Debug)]
pub(super) struct Flight {
    pub ask: Request,
    pub site: Context,
    /// By which the request is known when it comes again.
    pub fingerprint: Fingerprint,
    pub session: Option<Session>,
    pub goal: Goal,
    pub pool: PoolId,
    pub choice: Option<Choice>,
    pub once: bool,
    pub began: Time,
    pub deadline: Time,
    pub run: Run,
    pub at: Option<Link>,
    pub upstream: Option<UpstreamId>,
    pub tried: Vec<Link>,
    pub failed: Option<Failure>,
    pub verdict: Verdict,
    pub waiting: Option<Time>,
    pub revision: Revision,
    pub first: Option<Time>,
    pub headed: bool,
    pub late: bool,
    pub parts: u32,
    pub text: Vec<u8>,
    pub kept: Option<Whole>,
    pub status: u16,
    pub headers: Vec<Header>,
    pub terms: Option<Terms>,
}

/// What a request is to get.
#[derive(Clone, Debug)]
pub(super) enum Goal {
    /// A call of a plain service.
    Service,
    /// An answer of one version of a model.
    Model(ModelId),
    /// An answer of a cascade; the step is the index in its list.
    Cascade(CascadeId, usize),
    /// What a route of the tree describes.
    Routed,
}

/// A whole answer that is kept until it is known whether it is given.
#[derive(Clone, Debug)]
pub(super) struct Whole {
    pub version: VersionId,
    pub step: usize,
    pub status: u16,
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
    pub confidence: Option<Confidence>,
}

impl From<Target> for Goal {
    fn from(target: Target) -> Goal {
        match target {
            Target::Model(model) => Goal::Model(model),
            Target::Cascade(cascade) => Goal::Cascade(cascade, 0),
        }
    }
}

impl Flight {
    /// Creates the flight of a request that has gone nowhere yet.
    pub fn new(ask: Request, site: Context, began: Time, deadline: Time) -> Flight {
        Flight {
            run: Run::first(ask.request),
            fingerprint: ask.payload.fingerprint(&site.account),
            ask,
            site,
            session: None,
            goal: Goal::Service,
            // A model's pool is known when its version is chosen.
            pool: "none".parse().expect("a legal name"),
            choice: None,
            once: false,
            began,
            deadline,
            at: None,
            upstream: None,
            tried: Vec::new(),
            failed: None,
            verdict: Verdict::NotRun,
            waiting: None,
            revision: Revision(0),
            first: None,
            headed: false,
            late: false,
            parts: 0,
            text: Vec::new(),
            kept: None,
            status: 0,
            headers: Vec::new(),
            terms: None,
        }
    }

    pub fn chat(&self) -> Option<&Chat> {
        match &self.ask.payload {
            Payload::Chat(chat) => Some(chat),
            Payload::Plain(_) | Payload::Routed(_) => None,
        }
    }

    /// Returns whether nothing was tried before the present run.
    pub fn is_first(&self) -> bool {
        self.run.attempt == 0 && self.run.step == 0
    }

    pub fn version(&self) -> Option<&VersionId> {
        self.choice.as_ref().map(|c| &c.version)
    }

    pub fn prompt_tokens(&self) -> u32 {
        match &self.ask.payload {
            Payload::Chat(chat) => chat.prompt_tokens,
            Payload::Plain(_) => 0,
            Payload::Routed(routed) => routed.tokens,
        }
    }

    /// Returns the beginnings of the prompt that may be cached.
    pub fn chain(&self) -> &[Prefix] {
        match (&self.ask.payload, &self.terms) {
            (Payload::Chat(chat), _) => chat.prefix.as_slice(),
            (Payload::Plain(_), _) => &[],
            (Payload::Routed(_), Some(terms)) => &terms.chain,
            (Payload::Routed(routed), None) => &routed.prefixes,
        }
    }

    /// Names the beginnings of the prompt for the present model: what one model has
    /// read is nothing to another.
    pub fn name_chain(&mut self) {
        let (Payload::Routed(routed), Some(terms)) = (&self.ask.payload, &mut self.terms) else {
            return;
        };
        let size = terms.size as u32;
        let named = |p: &Prefix| Prefix {
            hash: p.hash.rotate_left(size) ^ u64::from(size),
            tokens: p.tokens,
        };
        terms.chain = routed.prefixes.iter().map(named).collect();
    }

    /// Returns the longest beginning of the prompt that other requests share: all
    /// but the last part, which is the request's or its session's own.
    pub fn shared(&self) -> Option<Prefix> {
        let chain = self.chain();
        let before_last = chain.len().checked_sub(2)?;
        chain.get(before_last).copied()
    }

    /// Returns the expected cost at an upstream.
    pub fn cost(&self) -> u32 {
        self.chat().map_or(1, Chat::cost)
    }

    /// Returns whether the answer of the present run is held until it is
    /// judged.
    pub fn is_judged(&self) -> bool {
        matches!(self.goal, Goal::Cascade(..)) && self.kept_open()
    }

    fn kept_open(&self) -> bool {
        !matches!(
            self.choice.as_ref().map(|c| &c.cause),
            Some(Cause::Session | Cause::Moved(_))
        )
    }

    /// Returns what is known now about whether the request ran, counting the
    /// run that is under way.
    pub fn known_verdict(&self) -> Verdict {
        match self.at {
            Some(_) => self.verdict.raise(Verdict::MayHaveRun),
            None => self.verdict,
        }
    }
}
