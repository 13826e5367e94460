//! The decisions of an entry: which model, version and upstream answer.
//!
//! Inputs go in with the time, outputs come out; sockets are the shell's.
//!
//! ```
//! use sorreldeck::entry::{Entry, Input, Settings};
//! use sorreldeck::{Incarnation, Time};
//!
//! let keys = format!("1:{}", "00".repeat(32)).parse()?;
//! let mut entry = Entry::new(Settings::new("e1".parse()?, Incarnation(1), keys, 7));
//! assert!(entry.handle(Time(0), Input::Tick).is_empty());
//! # Ok::<(), sorreldeck::Error>(())
//! ```

mod answer;
mod ask;
mod decision;
mod flight;
mod learn;
mod watch;

pub use ask::{Ask, Chat, Part, What};
pub use decision::{Decision, History, Try};
pub use watch::{bar, rollout_of, Judge, Pool, Watch};

use crate::bill::Record;
use crate::cascade;
use crate::failure::{Failure, Reason};
use crate::id::*;
use crate::limit::Limits;
use crate::pick::{Link, Peers, Policy, Wish};
use crate::promise::{Promise, Promises};
use crate::retry::Budget;
use crate::route::{self, Caller, Choice, Site, Target, Why};
use crate::session::{Keyring, Session};
use crate::store::{Batch, Held};
use crate::tree::{Action, Class, Kind, Tree};
use crate::unit::*;
use crate::verdict::Verdict;
use crate::wire::{Call, Frame, Run, Start};
use flight::{Flight, Goal};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The most tries of one step.
const MAX_TRIES: u16 = 4;
/// How long a caller is told to stay away where nothing better is known.
const RETRY_AFTER: Span = Span::from_millis(1000);

/// What an entry knows from its process settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance.
    pub instance: InstanceId,
    /// The run of this process.
    pub incarnation: Incarnation,
    /// The keys of session tokens.
    pub keys: Keyring,
    /// The seed of all random draws.
    pub seed: u64,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// The share of answers that are sent to the rating service.
    pub sample: Share,
    /// How a new version is judged.
    pub judge: Judge,
    /// Whether a limit is divided evenly, whatever the demand: a baseline.
    pub even_limits: bool,
}

impl Settings {
    /// Creates settings with the usual policy and every answer rated.
    pub fn new(instance: InstanceId, incarnation: Incarnation, keys: Keyring, seed: u64) -> Self {
        Settings {
            instance,
            incarnation,
            keys,
            seed,
            policy: Policy::FirstToken,
            sample: Share::ALL,
            judge: Judge::Sequential,
            even_limits: false,
        }
    }
}

/// What an entry is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller asks.
    Ask(Box<Ask>),
    /// A caller went away.
    Gone(RequestId),
    /// A frame came in.
    Frame(Link, Frame),
    /// A link broke or was closed.
    LinkDown(Link),
    /// A configuration is in force.
    Tree(Arc<Tree>),
    /// The number of entries that share the limits.
    Entries(usize),
    /// The claim of an idempotency key succeeded or failed.
    Claimed(RequestId, Result<(), Failure>),
    /// An answer was rated.
    Rated(Rating),
    /// A batch of records is in the platform's store.
    Written(u64),
    /// A batch of records could not be written, as far as is known.
    NotWritten(u64),
    /// Time passed.
    Tick,
    /// The process is to stop when its work is done.
    Leave,
}

/// A rating of one answer.
#[derive(Clone, Debug)]
pub struct Rating {
    /// What was rated.
    pub sample: Sample,
    /// The rating, from 0 to 1.
    pub score: f64,
}

/// An answer that is to be rated.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The run.
    pub run: Run,
    /// The version.
    pub version: VersionId,
    /// The class.
    pub class: Class,
    /// The cascade that the answer belongs to and its step.
    pub cascade: Option<(CascadeId, usize)>,
    /// How sure the model was.
    pub confidence: Option<f64>,
    /// Whether the caller got this answer.
    pub given: bool,
    /// The answer as the engine sent it.
    pub answer: Vec<u8>,
}

/// What an entry wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a frame.
    Send(Link, Frame),
    /// Give a caller a part of its answer.
    Answer(RequestId, Part),
    /// Hand a call to the old scripts; the answer goes straight to the caller.
    Forward(RequestId, String),
    /// Claim an idempotency key in the platform's table.
    Claim(RequestId, String),
    /// Have an answer rated.
    Rate(Sample),
    /// Write records to the platform's store.
    Write(Batch),
    /// A link knows a newer configuration.
    Behind(Link),
    /// A link knows an older configuration.
    Ahead(Link, Revision),
    /// A version has just become suspect.
    Suspect(VersionId),
    /// A request has ended, for the histograms.
    Ended(Done),
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct Done {
    /// The client account, or `None` if it was not found.
    pub account: Option<AccountId>,
    /// The class.
    pub class: Class,
    /// Whether it was a call of a plain service.
    pub plain: bool,
    /// The time from the request to the first part of the answer.
    pub first: Option<Span>,
    /// The time from the request to its end.
    pub whole: Span,
    /// Why there was no whole answer.
    pub failure: Option<Reason>,
}

/// The decisions of an entry.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    tree: Arc<Tree>,
    rng: ChaCha8Rng,
    peers: Peers,
    flights: HashMap<RequestId, Flight>,
    running: BTreeMap<VersionId, u64>,
    limits: Limits,
    budget: Budget,
    watch: Watch,
    cascades: HashMap<(CascadeId, usize, Class), cascade::Policy>,
    held: Held,
    history: History,
    promises: Promises,
    reported: Time,
    resent: Time,
    leaving: bool,
}

type Outputs = Vec<Output>;

impl Entry {
    /// Creates an entry without a configuration.
    pub fn new(settings: Settings) -> Entry {
        let watch = Watch::new(settings.judge);
        Entry {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            held: Held::new(settings.incarnation),
            settings,
            tree: Arc::default(),
            peers: Peers::default(),
            flights: HashMap::new(),
            running: BTreeMap::new(),
            limits: Limits::default(),
            budget: Budget::default(),
            watch,
            cascades: HashMap::new(),
            history: History::default(),
            promises: Promises::default(),
            reported: Time::default(),
            resent: Time::default(),
            leaving: false,
        }
    }

    /// Takes an input and returns what is to be done, in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Outputs {
        let mut out = Vec::new();
        match input {
            Input::Ask(ask) => self.ask(now, *ask, &mut out),
            Input::Gone(request) => self.gone(now, request, &mut out),
            Input::Frame(link, frame) => self.frame(now, link, frame, &mut out),
            Input::LinkDown(link) => self.link_down(now, link, &mut out),
            Input::Tree(tree) => self.adopt(now, tree, &mut out),
            Input::Entries(n) => self.set_entries(n),
            Input::Claimed(request, claim) => self.claimed(now, request, claim, &mut out),
            Input::Rated(rating) => self.rated(rating, &mut out),
            Input::Written(batch) => drop(self.held.written(batch)),
            Input::NotWritten(batch) => self.held.not_written(batch, now),
            Input::Tick => self.tick(now, &mut out),
            Input::Leave => self.leaving = true,
        }
        out
    }

    /// Returns whether no request is under way.
    pub fn is_idle(&self) -> bool {
        self.flights.is_empty()
    }

    /// Notes that the process ends; returns whether no request was cut.
    pub fn stopped(&mut self) -> bool {
        let idle = self.is_idle();
        self.promises.check(Promise::PlannedStop, idle)
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let linked = self.peers.iter().any(|(_, p)| !p.leaving);
        !self.leaving && self.tree.revision() > Revision(0) && linked
    }

    /// Returns the configuration in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the upstreams in reach.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the counts of the promises.
    pub fn promises(&self) -> &Promises {
        &self.promises
    }

    /// Returns the decisions about the latest requests.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns what is known about how good versions are, for the controller
    /// of roll-outs.
    pub fn watch(&mut self) -> &mut Watch {
        &mut self.watch
    }

    /// Returns how many requests are under way.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns how many bill records wait to be written by someone.
    pub fn unbilled(&self) -> usize {
        self.held.len()
    }

    fn set_entries(&mut self, n: usize) {
        self.limits.set_entries(n);
        self.watch.set_entries(n);
    }

    fn adopt(&mut self, now: Time, tree: Arc<Tree>, out: &mut Outputs) {
        let ahead = tree.revision() >= self.tree.revision();
        if !self.promises.check(Promise::Configuration, ahead) {
            return;
        }
        self.tree = tree;
        self.watch.adopt(&self.tree);
        let revision = self.tree.revision();
        for (link, _) in self.peers.iter() {
            out.push(Output::Send(link, Frame::Revision(revision)));
        }
        for request in self.waiting(|_| true) {
            self.rechoose(now, request, out);
        }
    }

    /// Returns the requests that wait for a newer configuration.
    fn waiting(&self, among: impl Fn(Time) -> bool) -> Vec<RequestId> {
        let mut waiting: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, f)| f.waiting.is_some_and(&among))
            .map(|(request, _)| *request)
            .collect();
        waiting.sort_unstable();
        waiting
    }

    /// Tries again with a version chosen anew.
    fn rechoose(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.run = flight.run.again();
            flight.choice = None;
            flight.waiting = None;
            flight.tried.clear();
        }
        self.dispatch(now, request, out);
    }

    fn ask(&mut self, now: Time, ask: Ask, out: &mut Outputs) {
        let request = ask.request;
        self.history
            .begin(request, self.tree.revision(), ask.what.name());
        self.budget.earn();
        match self.admit(now, ask) {
            Ok((flight, Action::Route)) => self.begin(now, flight, out),
            Ok((flight, action)) => self.forward(flight, action, out),
            Err((class, plain, failure)) => {
                self.history
                    .note(request, |d| d.failure = Some(failure.clone()));
                let done = Done {
                    account: None,
                    class,
                    plain,
                    first: None,
                    whole: Span::default(),
                    failure: Some(failure.reason),
                };
                out.push(Output::Answer(request, Part::Fail(failure)));
                out.push(Output::Ended(done));
            }
        }
    }

    /// Finds what the request is to get, and takes it in if its client account
    /// and the limits allow.
    fn admit(&mut self, now: Time, ask: Ask) -> Result<(Flight, Action), (Class, bool, Failure)> {
        let plain = matches!(ask.what, What::Plain(_));
        let refused = |failure| (Class::default(), plain, failure);
        if self.leaving {
            let failure = Failure::not_run(Reason::Leaving, "this entry is about to stop");
            return Err(refused(failure.retry_after(Span::default())));
        }
        let caller = Caller {
            key: ask.key.as_deref(),
            route: ask.route.as_deref(),
            class: ask.class.as_deref(),
        };
        let site = route::identify(&self.tree, &caller).map_err(refused)?;
        self.history.note(ask.request, |d| {
            d.node = Some(site.path.clone());
            d.account = Some(site.account.clone());
            d.class = Some(site.class);
        });
        let class = site.class;
        let refused = |failure| (class, plain, failure);
        let action = site.node.action();
        let flight = self.prepare(now, ask, site).map_err(refused)?;
        if action == Action::Route {
            let tokens = flight.prompt_tokens() + flight.chat().map_or(0, |c| c.max_tokens);
            self.limits
                .admit(&flight.site.account, &flight.site.node, tokens, now)
                .map_err(refused)?;
        }
        Ok((flight, action))
    }

    fn prepare(&self, now: Time, ask: Ask, site: Site) -> Result<Flight, Failure> {
        let (goal, pool, once) = match &ask.what {
            What::Chat(chat) => {
                let goal = route::target(&self.tree, &site, &chat.model)?;
                (Goal::from(goal), None, false)
            }
            What::Plain(call) => {
                let (pool, once) = self.service(&site, call)?;
                (Goal::Service, Some(pool), once)
            }
        };
        let session = self.open_session(&ask, &site)?;
        let deadline = now + site.node.deadline();
        let once = once || ask.once;
        Ok(Flight {
            run: Run::first(ask.request),
            ask,
            site,
            session,
            goal,
            // A model's pool is known when its version is chosen.
            pool: pool.unwrap_or_else(|| "none".parse().expect("a legal name")),
            choice: None,
            once,
            began: now,
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
        })
    }

    fn service(&self, site: &Site, call: &Call) -> Result<(PoolId, bool), Failure> {
        let unknown =
            || Failure::not_run(Reason::UnknownPath, format!("there is no {}", call.path));
        let (name, pool) = self.tree.service_of_path(&call.path).ok_or_else(unknown)?;
        debug_assert_eq!(pool.kind, Kind::Plain);
        if !site.node.allows_service(name) {
            let message = format!("client account {} may not call {name}", site.account);
            return Err(Failure::not_run(Reason::NotAllowed, message));
        }
        Ok((name.clone(), !pool.may_repeat(&call.method)))
    }

    fn open_session(&self, ask: &Ask, site: &Site) -> Result<Option<Session>, Failure> {
        let (Some(token), What::Chat(chat)) = (&ask.session, &ask.what) else {
            return Ok(None);
        };
        let bad = |message: &str| Failure::not_run(Reason::BadSession, message);
        let session = self
            .settings
            .keys
            .open(token)
            .map_err(|e| bad(&e.to_string()))?;
        if session.account != site.account {
            return Err(bad("the session belongs to another client account"));
        }
        if session.model != chat.model {
            return Err(bad("the session belongs to another model"));
        }
        Ok(Some(session))
    }

    /// Hands a request to the old scripts, with our own decision noted.
    fn forward(&mut self, mut flight: Flight, action: Action, out: &mut Outputs) {
        let request = flight.ask.request;
        if action == Action::Observe {
            let outcome = match self.choose(&mut flight) {
                Ok(()) => "observed only".to_owned(),
                Err(failure) => failure.to_string(),
            };
            self.note_try(&flight, None, outcome);
        }
        let address = flight.site.node.forward_to.clone().unwrap_or_default();
        out.push(Output::Forward(request, address));
    }

    fn begin(&mut self, now: Time, flight: Flight, out: &mut Outputs) {
        let request = flight.ask.request;
        let claim = match (&flight.ask.idempotency, flight.once) {
            (Some(key), true) => Some(format!("claim/{}/{key}", flight.site.account)),
            _ => None,
        };
        self.flights.insert(request, flight);
        match claim {
            Some(claim) => out.push(Output::Claim(request, claim)),
            None => self.dispatch(now, request, out),
        }
    }

    fn claimed(
        &mut self,
        now: Time,
        request: RequestId,
        claim: Result<(), Failure>,
        out: &mut Outputs,
    ) {
        match claim {
            Ok(()) => self.dispatch(now, request, out),
            Err(failure) => self.give_up(now, request, failure, out),
        }
    }

    /// Chooses version and pool for the present step.
    fn choose(&mut self, flight: &mut Flight) -> Result<(), Failure> {
        let choice = match &flight.goal {
            Goal::Service => return Ok(()),
            Goal::Model(model) => {
                let draw = self.rng.random::<f64>();
                let (tree, watch) = (&self.tree, &self.watch);
                let hold = self.settings.judge == Judge::Sequential;
                let running = &self.running;
                let suspect = |v: &VersionId| hold && watch.suspects(v);
                let session = flight.session.as_ref();
                let fresh = session.is_none_or(|s| suspect(&s.version));
                let over = |v: &VersionId| {
                    let in_flight = running.get(v).copied().unwrap_or(0);
                    hold && fresh && !watch.allows_more(tree, v, in_flight)
                };
                let avoid = |v: &VersionId| suspect(v) || over(v);
                route::version(tree, &flight.site, model, session, draw, avoid)?
            }
            Goal::Cascade(name, step) => {
                let (choice, step) = self.step_of(flight, name, *step)?;
                flight.goal = Goal::Cascade(name.clone(), step);
                flight.run.step = step as u16;
                choice
            }
        };
        let pool = self.tree.version(&choice.version).map(|v| v.pool.clone());
        flight.pool =
            pool.ok_or_else(|| Failure::not_run(Reason::Withdrawn, "the version is gone"))?;
        flight.choice = Some(choice);
        Ok(())
    }

    /// Chooses the version of a cascade's step, from `step` on.
    fn step_of(
        &mut self,
        flight: &Flight,
        name: &CascadeId,
        step: usize,
    ) -> Result<(Choice, usize), Failure> {
        let tree = self.tree.clone();
        let usable = |v: &VersionId| {
            flight.site.node.allows_version(v)
                && route::takes_work(&tree, v)
                && !self.watch.suspects(v)
        };
        let steps = tree.cascade(name.as_str()).map_or(&[][..], |c| &c.steps);
        if let Some(session) = &flight.session {
            if usable(&session.version) {
                let why = Why::Session;
                let version = session.version.clone();
                return Ok((Choice { version, why }, steps.len()));
            }
        }
        let left: Vec<usize> = (step..steps.len())
            .filter(|i| usable(&steps[*i].version))
            .collect();
        let draw = self.rng.random::<f64>();
        let class = flight.site.class;
        let asked = left.iter().copied().find(|i| {
            let last = left.last() == Some(i);
            last || self.policy(name, *i, class).is_none_or(|p| p.asks(draw))
        });
        let index = asked.ok_or_else(|| {
            let message = format!("no version of {name} that the account may use takes new work");
            Failure::not_run(Reason::Withdrawn, message)
        })?;
        let version = steps[index].version.clone();
        let why = match &flight.session {
            Some(session) => Why::Moved(session.version.clone()),
            None => Why::Cascade(name.clone()),
        };
        Ok((Choice { version, why }, index))
    }

    /// Chooses version and upstream and sends the request there.
    fn dispatch(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(mut flight) = self.flights.remove(&request) else {
            return;
        };
        let sent = match flight.choice {
            Some(_) => Ok(()),
            None => self.choose(&mut flight),
        };
        let sent = sent.and_then(|()| self.send(now, &mut flight, out));
        self.flights.insert(request, flight);
        if let Err(failure) = sent {
            self.settle(now, request, failure, out);
        }
    }

    fn send(&mut self, now: Time, flight: &mut Flight, out: &mut Outputs) -> Result<(), Failure> {
        self.check_dispatch(flight)?;
        let wish = Wish {
            pool: &flight.pool,
            tokens: flight.prompt_tokens(),
            urgent: flight.site.class == Class::Priority,
            prefix: flight.prefix(),
            last: flight.session.as_ref().and_then(|s| s.upstream.as_ref()),
            tried: &flight.tried,
        };
        let draw = self.rng.random::<f64>();
        let link = self
            .peers
            .pick(&wish, self.settings.policy, now, draw)
            .ok_or_else(|| {
                let wait = self.peers.least_wait(&flight.pool).unwrap_or(RETRY_AFTER);
                let message = format!("no upstream of {} takes the request", flight.pool);
                Failure::not_run(Reason::NoUpstream, message).retry_after(wait.max(RETRY_AFTER))
            })?;
        let staying = self.peers.get(link).is_some_and(|p| !p.leaving);
        self.keep(Promise::Leaving, staying)?;
        let once = !flight.once || flight.verdict.may_repeat();
        self.keep(Promise::AtMostOnce, once)?;
        self.note_try(flight, Some(link), String::new());
        self.peers
            .sent(link, flight.prompt_tokens(), flight.prefix());
        if let Some(version) = flight.version() {
            *self.running.entry(version.clone()).or_default() += 1;
        }
        flight.at = Some(link);
        flight.upstream = self.peers.get(link).map(|p| p.upstream.clone());
        flight.tried.push(link);
        flight.revision = self.tree.revision();
        flight.parts = 0;
        flight.text.clear();
        let start = self.start_of(now, flight);
        out.push(Output::Send(link, Frame::Start(Box::new(start))));
        Ok(())
    }

    fn keep(&mut self, promise: Promise, held: bool) -> Result<(), Failure> {
        match self.promises.check(promise, held) {
            true => Ok(()),
            false => {
                let message = format!("promise {promise} would be broken");
                Err(Failure::not_run(Reason::Invariant, message))
            }
        }
    }

    fn check_dispatch(&mut self, flight: &Flight) -> Result<(), Failure> {
        let Some(choice) = &flight.choice else {
            return Ok(());
        };
        let version = &choice.version;
        let allowed = flight.site.node.allows_version(version);
        self.keep(Promise::AllowedVersion, allowed)?;
        let serving = route::takes_work(&self.tree, version);
        if !serving && flight.run.attempt > 0 {
            // Withdrawn while another upstream was tried: a refusal, no breach.
            return Err(Failure::not_run(
                Reason::Withdrawn,
                "the version was withdrawn",
            ));
        }
        self.keep(Promise::Withdrawn, serving)?;
        if let Some(session) = &flight.session {
            let kept = session.version == *version;
            let moved = choice.why == Why::Moved(session.version.clone());
            let gone = !flight.site.node.allows_version(&session.version)
                || !route::takes_work(&self.tree, &session.version)
                || self.watch.suspects(&session.version);
            self.keep(Promise::Session, kept || (moved && gone))?;
        }
        Ok(())
    }

    fn start_of(&self, now: Time, flight: &Flight) -> Start {
        let call = match (&flight.ask.what, flight.version()) {
            (What::Chat(chat), Some(version)) => {
                let judged = flight.is_judged();
                chat.call(version, chat.stream && !judged, judged)
            }
            (What::Chat(_), None) => unreachable!("a chat is sent after its version is chosen"),
            (What::Plain(call), _) => self.plain_call(call),
        };
        Start {
            run: flight.run,
            account: flight.site.account.clone(),
            weight: flight.site.node.weight(),
            class: flight.site.class,
            version: flight.version().cloned(),
            deadline_us: flight.deadline.since(now).micros(),
            tokens: flight.cost(),
            patient: self.is_patient(flight),
            revision: self.tree.revision(),
            call,
        }
    }

    /// Returns whether a request is to wait where it is sent. Urgent ones try
    /// a few upstreams for a free place first: another try takes a millisecond,
    /// a place falls free after some hundred.
    fn is_patient(&self, flight: &Flight) -> bool {
        let urgent = flight.site.class == Class::Priority;
        let others = self.peers.in_pool(&flight.pool) > flight.tried.len();
        !urgent || !others || flight.run.attempt + 1 >= MAX_TRIES
    }

    /// Returns the call as the service sees it, without the prefix.
    fn plain_call(&self, call: &Call) -> Call {
        let mut call = call.clone();
        let pool = self.tree.service_of_path(&call.path);
        let prefix = pool.and_then(|(_, p)| p.prefix.as_deref()).unwrap_or("");
        let rest = call.path[prefix.len()..].to_owned();
        call.path = match rest.starts_with('/') {
            true => rest,
            false => format!("/{rest}"),
        };
        call
    }

    fn note_try(&mut self, flight: &Flight, link: Option<Link>, outcome: String) {
        let upstream = link
            .and_then(|l| self.peers.get(l))
            .map(|p| p.upstream.clone())
            .unwrap_or_else(|| "none".parse().expect("a legal name"));
        let try_ = Try {
            step: flight.run.step,
            version: flight.version().cloned(),
            why: flight.choice.as_ref().map(|c| c.why.clone()),
            upstream,
            outcome,
        };
        self.history
            .note(flight.ask.request, |d| d.tries.push(try_));
    }

    /// Takes in a record of an answer given here, as the sidecar's second copy.
    fn hold_record(&mut self, record: Record, link: Link, now: Time) {
        self.held.add(record, Some(link), now);
    }

    /// Explains what a request of this description would get now, without
    /// running it.
    ///
    /// # Errors
    ///
    /// Fails with the failure that the caller would get.
    pub fn explain(&mut self, now: Time, site: Site, ask: Ask) -> Result<Decision, Failure> {
        let asked = ask.what.name();
        let request = ask.request;
        let mut flight = self.prepare(now, ask, site)?;
        self.choose(&mut flight)?;
        let wish = Wish {
            pool: &flight.pool,
            tokens: flight.prompt_tokens(),
            urgent: flight.site.class == Class::Priority,
            prefix: flight.prefix(),
            last: None,
            tried: &[],
        };
        let link = self.peers.pick(&wish, self.settings.policy, now, 0.0);
        self.history.begin(request, self.tree.revision(), asked);
        self.note_try(&flight, link, "not sent".into());
        self.history.note(request, |d| {
            d.node = Some(flight.site.path.clone());
            d.account = Some(flight.site.account.clone());
            d.class = Some(flight.site.class);
        });
        let decision = self.history.get(request).cloned();
        decision.ok_or_else(|| Failure::not_run(Reason::Invariant, "the decision was not kept"))
    }

    fn nonce(&mut self) -> [u8; 24] {
        let mut nonce = [0; 24];
        self.rng.fill_bytes(&mut nonce);
        nonce
    }
}

impl What {
    /// Returns the model or path asked for.
    pub fn name(&self) -> String {
        match self {
            What::Chat(chat) => chat.model.clone(),
            What::Plain(call) => format!("{} {}", call.method, call.path),
        }
    }
}

impl Target {
    /// Returns the name that callers use.
    pub fn as_str(&self) -> &str {
        match self {
            Target::Model(model) => model.as_str(),
            Target::Cascade(cascade) => cascade.as_str(),
        }
    }
}
