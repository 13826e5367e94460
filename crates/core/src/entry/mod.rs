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

mod admit;
mod answer;
mod ask;
mod decision;
mod dispatch;
mod early;
mod flight;
mod guard;
mod learn;
mod routed;
mod watch;

pub use ask::{Chat, Part, Payload, Request};
pub use decision::{Attempt, Decision, Forecast, History, Snapshot};
pub use routed::{Head, Member, Reply, Routed, CONFIDENCE_THRESHOLDS};
pub use watch::{rollout_of, thresholds, Aggregate, Judge, Monitor};

use crate::bill::Record;
use crate::cascade;
use crate::failover::Outcomes;
use crate::failure::{Failure, Reason};
use crate::halls;
use crate::id::*;
use crate::invariant::{Invariant, Invariants};
use crate::latency::Estimator;
use crate::limit::Limits;
use crate::notice;
use crate::pick::{Constraints, Criteria, Link, Peers, Policy};
use crate::quarantine::{self, Fingerprint, Quarantine};
use crate::release::{self, Releases};
use crate::retry;
use crate::retry::{Allowance, Budget};
use crate::reuse::{Reuse, Scope};
use crate::route::{self, Caller, Cause, Choice, Context, Target};
use crate::saturation::Tracker;
use crate::session::{Keyring, Session};
use crate::spool::{Batch, Spool};
use crate::tree::{Action, Class, Kind, Tree};
use crate::unit::*;
use crate::verdict::Verdict;
use crate::wire::{Call, Frame, Run, Start};
use early::Early;
use flight::Flight;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
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
    /// The data hall of this process, where that matters.
    pub hall: Option<Hall>,
    /// How many requests may be sent once more, over all entries.
    pub retries: Allowance,
    /// The share of requests that an unproven release may get while it is moved to.
    pub exposure: Share,
    /// From what confidence the answer of a smaller model is given, by the rank
    /// of the route.
    pub confidence_thresholds: [Share; 3],
    /// Whether it is told which client accounts' requests begin to run.
    pub reports_starts: bool,
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
            hall: None,
            retries: retry::DEFAULT_ALLOWANCE,
            exposure: release::DEFAULT_EXPOSURE,
            confidence_thresholds: routed::CONFIDENCE_THRESHOLDS,
            reports_starts: false,
        }
    }
}

/// What an entry is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller asks.
    Request(Box<Request>),
    /// A caller went away.
    Disconnected(RequestId),
    /// A frame came in.
    Frame(Link, Frame),
    /// A link broke or was closed.
    LinkDown(Link),
    /// A configuration is in force.
    Tree(Arc<Tree>),
    /// An upstream can be called directly.
    Join(Link, Box<Member>),
    /// An upstream takes no new work; what runs there goes on.
    Retire(Link),
    /// What an upstream that is called directly does with a run.
    Reply(Link, Run, Reply),
    /// A move to another release, and what is recorded of it.
    Move(release::Order, Option<release::State>, Option<Time>),
    /// What the other entries of a data hall tell of a move.
    ReleaseReport(PoolId, Hall, release::Report),
    /// Another entry sent an upstream, which a number stands for, a prompt that takes this
    /// long to be read.
    Prefill(u64, Span),
    /// Another entry serves a session at a release.
    SessionAffinity(release::Affinity),
    /// Another entry tells of requests and the upstreams that crashed under them.
    QuarantineUpdate(quarantine::Update),
    /// Another entry tells what an upstream said of itself.
    Notice(notice::Update),
    /// It is recorded that a request is held back.
    Quarantined(Fingerprint, quarantine::Hold),
    /// The record of a request that is held back is gone.
    QuarantineRemoved(Fingerprint),
    /// The entries that take requests and share the limits, with or without this one.
    Entries(Vec<InstanceId>),
    /// The data halls that are ordered to be empty, apart from the configuration.
    Evacuate(BTreeSet<Hall>),
    /// An upstream is cold for so long yet.
    Cold(Link, Span),
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
    /// The machine was suspended: what is known may be that much older.
    Suspended,
    /// What is known has been heard anew since.
    Resynced,
    /// The process is to stop when its work is done.
    Drain,
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
    pub delivered: bool,
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
    /// Tell other entries that an upstream, which a number stands for, has a prompt to read
    /// that takes this long.
    Prefill(u64, Span),
    /// Tell other entries that a session stays at a release.
    SessionAffinity(release::Affinity),
    /// Tell other entries of requests and the upstreams that crashed under them.
    QuarantineUpdate(quarantine::Update),
    /// Tell other entries what an upstream said of itself.
    Notice(notice::Update),
    /// A request of a client account began to run.
    RequestStarted(AccountId),
    /// Record that a request is held back, or that it is not any more.
    RecordQuarantine(quarantine::Change),
    /// A request has ended, for the histograms.
    RequestEnded(Summary),
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The request.
    pub request: RequestId,
    /// The client account, or `None` if it was not found.
    pub account: Option<AccountId>,
    /// The class.
    pub class: Class,
    /// Whether it was a call of a plain service.
    pub plain: bool,
    /// The time from the request to the first part of the answer.
    pub first_byte: Option<Span>,
    /// The time from the request to its end.
    pub duration: Span,
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
    /// Requests that wait for the first configuration and upstream.
    early: Vec<Early>,
    running: BTreeMap<VersionId, u64>,
    limits: Limits,
    /// What may be sent once more, by pool.
    budgets: HashMap<PoolId, Budget>,
    watch: Monitor,
    cascades: HashMap<(CascadeId, usize, Class), cascade::Policy>,
    releases: Releases,
    strains: Tracker,
    merits: Outcomes,
    readings: Estimator,
    reuse: Reuse,
    quarantine: Quarantine,
    /// How many entries take requests, as far as this one knows.
    entries: usize,
    ticked: Time,
    /// Whether nothing was heard since a suspension of the machine.
    suspended: bool,
    held: Spool,
    history: History,
    promises: Invariants,
    reported: Time,
    resent: Time,
    leaving: bool,
}

type Outputs = Vec<Output>;

impl Entry {
    /// Creates an entry without a configuration.
    pub fn new(settings: Settings) -> Entry {
        let watch = Monitor::new(settings.judge);
        Entry {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            held: Spool::new(settings.incarnation),
            tree: Arc::default(),
            peers: Peers::default(),
            flights: HashMap::new(),
            early: Vec::new(),
            running: BTreeMap::new(),
            limits: Limits::default(),
            budgets: HashMap::new(),
            watch,
            cascades: HashMap::new(),
            releases: Releases::new(settings.exposure),
            strains: Tracker::default(),
            merits: Outcomes::default(),
            readings: Estimator::default(),
            reuse: Reuse::default(),
            quarantine: Quarantine::default(),
            entries: 1,
            ticked: Time::default(),
            suspended: false,
            history: History::default(),
            promises: Invariants::default(),
            reported: Time::default(),
            resent: Time::default(),
            leaving: false,
            settings,
        }
    }

    /// Takes an input and returns what is to be done, in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Outputs {
        let mut out = Vec::new();
        match input {
            Input::Request(ask) => self.ask_or_wait(now, *ask, &mut out),
            Input::Disconnected(request) => self.gone(now, request, &mut out),
            Input::Frame(link, frame) => self.frame(now, link, frame, &mut out),
            Input::LinkDown(link) => self.link_down(now, link, &mut out),
            Input::Tree(tree) => self.adopt(now, tree, &mut out),
            Input::Join(link, member) => self.join(link, *member, now),
            Input::Retire(link) => self.peers.retire(link),
            Input::Reply(link, run, reply) => self.reply(now, link, run, reply, &mut out),
            Input::Move(order, state, began) => self.releases.set_order(order, state, began),
            Input::ReleaseReport(pool, hall, report) => {
                if self.releases.merge(&pool, hall, report) {
                    log::warn!("event=release-bad pool={pool} by=others");
                }
            }
            Input::Prefill(number, reading) => self.peers.add_remote_prefill(number, reading, now),
            Input::SessionAffinity(stay) => self.releases.merge_affinity(stay, now),
            Input::QuarantineUpdate(word) => self.take_word(now, word),
            Input::Notice(word) => self.peers.apply_remote_notice(word, now),
            Input::Quarantined(fingerprint, hold) => {
                self.quarantine.restore_hold(fingerprint, hold, now)
            }
            Input::QuarantineRemoved(fingerprint) => self.quarantine.remove_hold(fingerprint),
            Input::Entries(entries) => self.set_entries(&entries, now),
            Input::Evacuate(halls) => self.evacuate(now, halls),
            Input::Cold(link, left) => self.peers.mark_cold(link, left, now),
            Input::Claimed(request, claim) => self.claimed(now, request, claim, &mut out),
            Input::Rated(rating) => self.rated(rating, &mut out),
            Input::Written(batch) => drop(self.held.on_written(batch)),
            Input::NotWritten(batch) => self.held.on_write_failed(batch, now),
            Input::Tick => self.tick(now, &mut out),
            Input::Suspended => self.suspended = true,
            Input::Resynced => self.suspended = false,
            Input::Drain => self.leaving = true,
        }
        self.tell_of_quarantine(now, &mut out);
        out.extend(self.peers.take_updates().into_iter().map(Output::Notice));
        out.extend(
            self.releases
                .take_affinities(now)
                .into_iter()
                .map(Output::SessionAffinity),
        );
        out
    }

    /// Returns whether no request is under way.
    pub fn is_idle(&self) -> bool {
        self.flights.is_empty() && self.early.is_empty()
    }

    /// Notes that the process ends; returns whether no request was cut.
    pub fn record_stop(&mut self) -> bool {
        let idle = self.is_idle();
        self.promises.check(Invariant::PlannedStop, idle)
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
    pub fn invariants(&self) -> &Invariants {
        &self.promises
    }

    /// Returns the decisions about the latest requests.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns what is known about how good versions are, for the controller
    /// of roll-outs.
    pub fn monitor(&mut self) -> &mut Monitor {
        &mut self.watch
    }

    /// Returns how many requests are held back, since they crash upstreams.
    pub fn quarantined(&self, now: Time) -> usize {
        self.quarantine.held_count(now)
    }

    /// Returns how many requests are under way.
    pub fn in_flight(&self) -> usize {
        self.flights.len() + self.early.len()
    }

    /// Returns how many bill records wait to be written by someone.
    pub fn unbilled(&self) -> usize {
        self.held.len()
    }

    /// Returns what may be sent once more to a pool.
    fn budget(&mut self, pool: &PoolId) -> &mut Budget {
        let allowance = self.settings.retries;
        let budget = self.budgets.entry(pool.clone());
        budget.or_insert_with(|| Budget::new(allowance))
    }

    /// Takes a repeat from the budget of a pool; returns whether there was one.
    fn spend(&mut self, now: Time, pool: &PoolId) -> bool {
        let entries = self.entries;
        self.budget(pool).withdraw(now, entries)
    }

    fn set_entries(&mut self, entries: &[InstanceId], now: Time) {
        let own = &self.settings.instance;
        self.peers.set_entries(own, entries.iter(), now);
        let n = 1 + entries.iter().filter(|name| *name != own).count();
        self.entries = n;
        self.limits.set_entries(n);
        self.watch.set_entries(n);
    }

    fn adopt(&mut self, now: Time, tree: Arc<Tree>, out: &mut Outputs) {
        let ahead = tree.revision() >= self.tree.revision();
        if !self.promises.check(Invariant::Configuration, ahead) {
            return;
        }
        self.tree = tree;
        let change = self.peers.configure(&self.tree, now);
        self.tell_of_halls(&change);
        self.watch.retain_watched(&self.tree);
        let revision = self.tree.revision();
        for (link, _) in self.peers.iter() {
            out.push(Output::Send(link, Frame::Revision(revision)));
        }
        for request in self.waiting(|_| true) {
            self.rechoose(now, request, out);
        }
    }

    fn evacuate(&mut self, now: Time, halls: BTreeSet<Hall>) {
        let change = self.peers.evacuate(halls, now);
        self.tell_of_halls(&change);
    }

    /// Writes what changed about data halls, and what that leaves nothing of.
    fn tell_of_halls(&self, change: &halls::Change) {
        for hall in &change.evacuated {
            log::info!("event=hall hall={hall} state=evacuated");
        }
        for hall in &change.restored {
            log::info!("event=hall hall={hall} state=restored");
        }
        if change.evacuated.is_empty() {
            return;
        }
        for pool in self.peers.pools_without_upstream() {
            log::warn!("event=pool-without-work pool={pool} effect=refused");
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
            flight.run = flight.run.next_attempt();
            flight.choice = None;
            flight.waiting = None;
            flight.tried.clear();
        }
        self.dispatch(now, request, out);
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
    pub fn explain(&mut self, now: Time, site: Context, ask: Request) -> Result<Decision, Failure> {
        let asked = ask.payload.name();
        let request = ask.request;
        let mut flight = self.prepare(now, ask, site)?;
        self.choose(&mut flight)?;
        let wish = Criteria {
            pool: &flight.pool,
            tokens: flight.prompt_tokens(),
            urgent: flight.site.class == Class::Priority,
            // Upstreams behind sidecars name no rates.
            rank: 0,
            prefixes: flight.chain(),
            shared_prefix: None,
            last_upstream: None,
            tried: &[],
            constraints: Constraints {
                regions: flight.regions(),
                ..Constraints::default()
            },
            prefill_rate: None,
            scope: Scope::Hall,
        };
        let link = self.peers.pick(&wish, self.settings.policy, now, 0.0);
        self.history.begin(request, self.tree.revision(), asked);
        self.note_try(now, &flight, link, "not sent".into());
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

impl Payload {
    /// Returns the model or path asked for.
    pub fn name(&self) -> String {
        match self {
            Payload::Chat(chat) => chat.model.clone(),
            Payload::Plain(call) => format!("{} {}", call.method, call.path),
            Payload::Routed(routed) => format!("{} {}", routed.call.method, routed.call.path),
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
