//! The state of an in-flight request.

use crate::entry::request::{Chat, Payload, Request};
use crate::entry::routed::RouteState;
use crate::failure::Failure;
use crate::id::*;
use crate::pick::{Link, Prefix};
use crate::quarantine::Fingerprint;
use crate::route::{Cause, Choice, Context, Target};
use crate::session::Session;
use crate::unit::Time;
use crate::verdict::Verdict;
use crate::wire::{Confidence, Header, Run};

/// An in-flight request.
#[derive(Debug)]
pub(super) struct Flight {
    pub request: Request,
    pub context: Context,
    /// The same for every repetition of the request.
    pub fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share.
    pub prompt_parts: Vec<Fingerprint>,
    pub session: Option<Session>,
    pub goal: Goal,
    pub pool: PoolId,
    pub choice: Option<Choice>,
    pub at_most_once: bool,
    pub started_at: Time,
    pub deadline: Time,
    pub run: Run,
    pub link: Option<Link>,
    pub upstream: Option<UpstreamId>,
    pub tried: Vec<Link>,
    pub last_failure: Option<Failure>,
    pub verdict: Verdict,
    pub waiting_since: Option<Time>,
    pub revision: Revision,
    pub first_byte_at: Option<Time>,
    pub head_sent: bool,
    pub past_deadline: bool,
    pub parts: u32,
    pub body: Vec<u8>,
    pub fallback: Option<Buffered>,
    pub status: u16,
    pub headers: Vec<Header>,
    pub route_state: Option<RouteState>,
}

/// The target of a request.
#[derive(Clone, Debug)]
pub(super) enum Goal {
    /// A plain service.
    Service,
    /// One version of a model.
    Model(ModelId),
    /// A cascade and the index of its current step.
    Cascade(CascadeId, usize),
    /// A route of the settings tree.
    Routed,
}

/// A buffered answer of an earlier cascade step, delivered if the later steps fail.
#[derive(Clone, Debug)]
pub(super) struct Buffered {
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
    /// Creates the state of a request that has not been sent.
    pub fn new(request: Request, context: Context, started_at: Time, deadline: Time) -> Flight {
        Flight {
            run: Run::first(request.request),
            fingerprint: request.payload.fingerprint(&context.account),
            prompt_parts: request.payload.prompt_parts(),
            request,
            context,
            session: None,
            goal: Goal::Service,
            // A placeholder until the version is chosen, which determines the pool.
            pool: "none".parse().expect("a valid name"),
            choice: None,
            at_most_once: false,
            started_at,
            deadline,
            link: None,
            upstream: None,
            tried: Vec::new(),
            last_failure: None,
            verdict: Verdict::NotRun,
            waiting_since: None,
            revision: Revision(0),
            first_byte_at: None,
            head_sent: false,
            past_deadline: false,
            parts: 0,
            body: Vec::new(),
            fallback: None,
            status: 0,
            headers: Vec::new(),
            route_state: None,
        }
    }

    pub fn chat(&self) -> Option<&Chat> {
        match &self.request.payload {
            Payload::Chat(chat) => Some(chat),
            Payload::Plain(_) | Payload::Routed(_) => None,
        }
    }

    /// Returns the names under which the request may be held back: its own and those of the parts of
    /// its prompt.
    pub fn names(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        std::iter::once(self.fingerprint).chain(self.prompt_parts.iter().copied())
    }

    /// Returns whether the request may be held back under a name.
    pub fn has(&self, name: Fingerprint) -> bool {
        self.names().any(|own| own == name)
    }

    /// Returns whether the current run is the first attempt.
    pub fn is_first(&self) -> bool {
        self.run.attempt == 0 && self.run.step == 0
    }

    pub fn version(&self) -> Option<&VersionId> {
        self.choice.as_ref().map(|c| &c.version)
    }

    pub fn prompt_tokens(&self) -> u32 {
        match &self.request.payload {
            Payload::Chat(chat) => chat.prompt_tokens,
            Payload::Plain(_) => 0,
            Payload::Routed(routed) => routed.tokens,
        }
    }

    /// Returns the prompt prefixes that may be cached, shortest first.
    pub fn prefixes(&self) -> &[Prefix] {
        match (&self.request.payload, &self.route_state) {
            (Payload::Chat(chat), _) => chat.prefix.as_slice(),
            (Payload::Plain(_), _) => &[],
            (Payload::Routed(_), Some(route_state)) => &route_state.prefixes,
            (Payload::Routed(routed), None) => &routed.prefixes,
        }
    }

    /// Derives the prefix hashes for the current model, since models do not share their prefix
    /// caches.
    pub fn hash_prefixes(&mut self) {
        let (Payload::Routed(routed), Some(route_state)) =
            (&self.request.payload, &mut self.route_state)
        else {
            return;
        };
        let size = route_state.size_index as u32;
        let rehashed = |p: &Prefix| Prefix {
            hash: p.hash.rotate_left(size) ^ u64::from(size),
            tokens: p.tokens,
        };
        route_state.prefixes = routed.prefixes.iter().map(rehashed).collect();
    }

    /// Returns the longest prompt prefix that other requests may share: the one before the last,
    /// which ends with the content of the request or its session.
    pub fn shared_prefix(&self) -> Option<Prefix> {
        let prefixes = self.prefixes();
        let before_last = prefixes.len().checked_sub(2)?;
        prefixes.get(before_last).copied()
    }

    /// Returns the expected cost at an upstream, in generated tokens.
    pub fn cost(&self) -> u32 {
        self.chat().map_or(1, Chat::cost)
    }

    /// Returns whether the answer of the current run is buffered until the cascade accepts or
    /// rejects it.
    pub fn is_buffered(&self) -> bool {
        matches!(self.goal, Goal::Cascade(..)) && self.may_escalate()
    }

    fn may_escalate(&self) -> bool {
        !matches!(
            self.choice.as_ref().map(|c| &c.cause),
            Some(Cause::Session | Cause::Moved(_))
        )
    }

    /// Returns whether the request may have run, including the active run.
    pub fn current_verdict(&self) -> Verdict {
        match self.link {
            Some(_) => self.verdict.raise(Verdict::MayHaveRun),
            None => self.verdict,
        }
    }
}
