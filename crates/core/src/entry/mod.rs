//! The routing state machine of an entry: chooses the model, version and upstream of each request.
//!
//! It performs no I/O: the caller passes inputs with the current time and executes the outputs.
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
mod decision;
mod dispatch;
mod flight;
mod guard;
mod learn;
mod monitor;
mod pending;
mod request;
mod routed;
mod stop;

pub use decision::{Attempt, Decision, Forecast, History, Snapshot};
pub use monitor::{rollout_of, thresholds, Aggregate, Judge, Monitor};
pub use request::{Chat, Part, Payload, Request};
pub use routed::{Head, Member, Reply, Routed, CONFIDENCE_THRESHOLDS};
pub use stop::Stop;

use crate::admission::{self, Gates};
use crate::bill::Record;
use crate::cascade;
use crate::escalation::{Decider, ModelChoice, Pricing};
use crate::failover::Outcomes;
use crate::failure::{Failure, Reason};
use crate::halls;
use crate::id::*;
use crate::invariant::{Invariant, Invariants};
use crate::latency::Estimator;
use crate::limit::Limits;
use crate::notice;
use crate::pick::{Constraints, Contention, Criteria, Link, Peers, Policy, SpeedSum};
use crate::quarantine::{self, Fingerprint, Quarantine};
use crate::release::{self, Releases};
use crate::retry;
use crate::retry::{Allowance, Budget};
use crate::reuse::{Reuse, Scope};
use crate::route::{self, Caller, Cause, Choice, Context, Target};
use crate::saturation::Tracker;
use crate::session::{Keyring, Session};
use crate::silence::Intervals;
use crate::spool::{Batch, Spool};
use crate::tree::{Action, Class, Kind, Tree};
use crate::unit::*;
use crate::verdict::Verdict;
use crate::wire::{Call, Frame, Run, Start};
use flight::Flight;
use pending::Pending;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The maximum number of attempts per step.
const MAX_ATTEMPTS: u16 = 4;
/// The `Retry-After` of a refusal unless upstreams report a longer wait.
const RETRY_AFTER: Span = Span::from_millis(1000);

/// The process settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The keys that encrypt session tokens.
    pub keys: Keyring,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The load-balancing policy.
    pub policy: Policy,
    /// The fraction of answers that are sent to the rating service.
    pub sample: Share,
    /// The method that evaluates a new version.
    pub judge: Judge,
    /// Whether limits are divided evenly between entries regardless of demand (a baseline).
    pub even_limits: bool,
    /// The data hall of this process, if upstreams of the same hall are preferred.
    pub hall: Option<Hall>,
    /// The retry allowance over all entries.
    pub retries: Allowance,
    /// The maximum fraction of requests that a release on trial receives during a move.
    pub exposure: Share,
    /// The minimum confidence at which the answer of a smaller model is delivered, indexed by the
    /// rank of the route.
    pub confidence_thresholds: [Share; 3],
    /// Whether [`Output::RequestStarted`] is emitted.
    pub reports_starts: bool,
    /// For which pools the decisions under contention are made.
    pub contention: Contention,
    /// For what requests to contended pools are refused.
    pub admission: admission::Scope,
    /// How the models of contended pools are chosen.
    pub model_choice: ModelChoice,
}

impl Settings {
    /// Creates settings with the default policy and every answer rated.
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
            contention: Contention::default(),
            admission: admission::Scope::default(),
            model_choice: ModelChoice::default(),
        }
    }
}

/// An event that an entry handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller sent a request.
    Request(Box<Request>),
    /// A caller disconnected.
    Disconnected(RequestId),
    /// A frame arrived on a link.
    Frame(Link, Frame),
    /// A link failed or was closed.
    LinkDown(Link),
    /// A new configuration takes effect.
    Tree(Arc<Tree>),
    /// An upstream that is called directly, without a sidecar, became available.
    Join(Link, Box<Member>),
    /// An upstream accepts no new work; its active runs continue.
    Retire(Link),
    /// An event of a run at an upstream that is called directly.
    Reply(Link, Run, Reply),
    /// An order to move to another release, with the recorded state and start of the move.
    Move(release::Order, Option<release::State>, Option<Time>),
    /// The combined report of the other entries of a data hall about a move.
    ReleaseReport(PoolId, Hall, release::Report),
    /// Another entry sent a prompt with this prefill time to the upstream with this start
    /// identifier.
    Prefill(u64, Span),
    /// Other entries reported how long their runs took to start, by upstream.
    SpeedSums(Vec<SpeedSum>),
    /// Another entry reported that the upstream with this start identifier has prompts to read for
    /// this long at least.
    Overdue(u64, Span),
    /// Another entry reported the affinity of a session to a release.
    SessionAffinity(release::Affinity),
    /// Another entry reported an upstream crash with the requests that ran there, or that a suspect
    /// request was answered.
    QuarantineUpdate(quarantine::Update),
    /// Another entry relayed a notice of an upstream.
    Notice(notice::Update),
    /// The store holds a record that quarantines a request.
    Quarantined(Fingerprint, quarantine::Hold),
    /// The record that quarantined a request was removed.
    QuarantineRemoved(Fingerprint),
    /// An operator lifts the quarantine of a request or part.
    LiftQuarantine(Fingerprint),
    /// The entries that take requests and share the limits; this entry may be missing from the
    /// list.
    Entries(Vec<InstanceId>),
    /// The data halls that an order evacuates, in addition to those of the configuration.
    Evacuate(BTreeSet<Hall>),
    /// An upstream remains cold for this long.
    Cold(Link, Span),
    /// The result of claiming an idempotency key.
    Claimed(RequestId, Result<(), Failure>),
    /// An answer was rated.
    Rated(Rating),
    /// A batch of records was written to the platform's store.
    Written(u64),
    /// Writing a batch of records failed or its outcome is unknown.
    NotWritten(u64),
    /// Whether an upstream is gone, after [`Output::Probe`].
    Probed(Link, bool),
    /// The periodic timer fired.
    Tick,
    /// The machine resumed from a suspension, so all state may be stale by its duration.
    Suspended,
    /// The state has been refreshed since the suspension.
    Resynced,
    /// The process stops once its in-flight requests have ended.
    Drain,
    /// The process stops at a time that is known, and takes requests until then.
    Stop(Stop),
}

/// A rating of one answer.
#[derive(Clone, Debug)]
pub struct Rating {
    /// The answer that was rated.
    pub sample: Sample,
    /// The rating in `[0, 1]`.
    pub score: f64,
}

/// An answer sampled for rating.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The run.
    pub run: Run,
    /// The version.
    pub version: VersionId,
    /// The class.
    pub class: Class,
    /// The cascade and the index of the step that gave the answer, if any.
    pub cascade: Option<(CascadeId, usize)>,
    /// The confidence of the model.
    pub confidence: Option<f64>,
    /// Whether the answer was delivered to the caller.
    pub delivered: bool,
    /// The body as the engine sent it.
    pub answer: Vec<u8>,
}

/// An action that the caller of [`Entry::handle`] executes.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a frame.
    Send(Link, Frame),
    /// Send a caller a part of its answer.
    Answer(RequestId, Part),
    /// Forward a call to the legacy scripts at an address; their answer goes directly to the
    /// caller.
    Forward(RequestId, String),
    /// Claim an idempotency key in the platform's table.
    Claim(RequestId, String),
    /// Submit an answer for rating.
    Rate(Sample),
    /// Write records to the platform's store.
    Write(Batch),
    /// The configuration is older than that of a link.
    Behind(Link),
    /// The configuration is newer than that of a link, which has this revision.
    Ahead(Link, Revision),
    /// A version became suspect.
    Suspect(VersionId),
    /// Report to the other entries that the upstream with this start identifier received a prompt
    /// with this prefill time.
    Prefill(u64, Span),
    /// Report to the other entries how long runs took to start, by upstream.
    SpeedSums(Vec<SpeedSum>),
    /// Report to the other entries that the upstream with this start identifier has prompts to read
    /// for this long at least.
    Overdue(u64, Span),
    /// Report the affinity of a session to a release to the other entries.
    SessionAffinity(release::Affinity),
    /// Report to the other entries an upstream crash with the requests that ran there, or that a
    /// suspect request was answered.
    QuarantineUpdate(quarantine::Update),
    /// Relay a notice of an upstream to the other entries.
    Notice(notice::Update),
    /// A request of a client account started to run.
    RequestStarted(AccountId),
    /// Record in the store that a request is quarantined or released from quarantine.
    RecordQuarantine(quarantine::Change),
    /// A request ended.
    RequestEnded(Summary),
    /// Find out whether an upstream is there.
    Probe(Link),
}

/// How many second runs were started beside silent ones, and what came of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondRuns {
    /// The second runs that were started.
    pub started: u64,
    /// Those that went on with the answer while the first was silent.
    pub went_on: u64,
    /// Those that were refused or failed.
    pub failed: u64,
}

/// The summary of an ended request, for metrics and the request log.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The identifier of the request.
    pub request: RequestId,
    /// The client account, or `None` if it was not found.
    pub account: Option<AccountId>,
    /// The class.
    pub class: Class,
    /// Whether it called a plain service.
    pub plain: bool,
    /// The time to the first part of the answer.
    pub first_byte: Option<Span>,
    /// The total duration.
    pub duration: Span,
    /// Why no complete answer was delivered.
    pub failure: Option<Reason>,
}

/// The routing state machine of an entry.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    tree: Arc<Tree>,
    rng: ChaCha8Rng,
    peers: Peers,
    flights: HashMap<RequestId, Flight>,
    /// Requests whose answers ended with their connections, until it is known whether their
    /// upstreams are gone.
    unchecked: BTreeMap<Run, Flight>,
    /// Requests that wait for the first configuration and the first upstream.
    pending: Vec<Pending>,
    running: BTreeMap<VersionId, u64>,
    limits: Limits,
    /// The retry budget of each pool.
    budgets: HashMap<PoolId, Budget>,
    monitor: Monitor,
    cascades: HashMap<(CascadeId, usize, Class), cascade::Policy>,
    releases: Releases,
    saturation: Tracker,
    retry_outcomes: Outcomes,
    gates: Gates,
    latencies: Estimator,
    /// The usual intervals between events.
    intervals: Intervals,
    second_runs: SecondRuns,
    /// The choice of models in contended pools.
    decider: Decider,
    pricing: Pricing,
    reuse: Reuse,
    quarantine: Quarantine,
    /// The known number of entries that take requests, including this one.
    entries: usize,
    last_tick: Time,
    /// Whether the state has not been refreshed since the machine was suspended.
    suspended: bool,
    spool: Spool,
    history: History,
    invariants: Invariants,
    last_report: Time,
    last_resend: Time,
    /// When the slowdowns of upstreams were last updated.
    speeds_refreshed: Time,
    /// When overdue answers were last looked for.
    overdue_checked: Time,
    draining: bool,
    stop: Option<Stop>,
}

type Outputs = Vec<Output>;

impl Entry {
    /// Creates an entry without a configuration.
    pub fn new(settings: Settings) -> Entry {
        let monitor = Monitor::new(settings.judge);
        let mut peers = Peers::default();
        peers.set_contention(settings.contention);
        Entry {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            spool: Spool::new(settings.incarnation),
            tree: Arc::default(),
            peers,
            flights: HashMap::new(),
            unchecked: BTreeMap::new(),
            pending: Vec::new(),
            running: BTreeMap::new(),
            limits: Limits::default(),
            budgets: HashMap::new(),
            monitor,
            cascades: HashMap::new(),
            releases: Releases::new(settings.exposure),
            saturation: Tracker::default(),
            retry_outcomes: Outcomes::default(),
            gates: Gates::new(settings.admission),
            latencies: Estimator::default(),
            intervals: Intervals::default(),
            second_runs: SecondRuns::default(),
            decider: Decider::default(),
            pricing: Pricing::default(),
            reuse: Reuse::default(),
            quarantine: Quarantine::new(settings.incarnation),
            entries: 1,
            last_tick: Time::default(),
            suspended: false,
            history: History::default(),
            invariants: Invariants::default(),
            last_report: Time::default(),
            last_resend: Time::default(),
            speeds_refreshed: Time::default(),
            overdue_checked: Time::default(),
            draining: false,
            stop: None,
            settings,
        }
    }

    /// Handles an input and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Outputs {
        let mut out = Vec::new();
        match input {
            Input::Request(incoming) => self.handle_or_queue(now, *incoming, &mut out),
            Input::Disconnected(request) => self.on_disconnect(now, request, &mut out),
            Input::Frame(link, frame) => self.on_frame(now, link, frame, &mut out),
            Input::LinkDown(link) => self.on_link_down(now, link, &mut out),
            Input::Tree(tree) => self.set_tree(now, tree, &mut out),
            Input::Join(link, member) => self.join(link, *member, now),
            Input::Retire(link) => self.peers.retire(link),
            Input::Reply(link, run, reply) => self.on_reply(now, link, run, reply, &mut out),
            Input::Move(order, state, started_at) => {
                self.releases.set_order(order, state, started_at)
            }
            Input::ReleaseReport(pool, hall, report) => {
                if self.releases.merge(&pool, hall, report) {
                    let totals = self.releases.totals(&pool);
                    log::warn!("event=release-bad pool={pool} by=others {totals}");
                }
            }
            Input::Prefill(start_id, prefill) => {
                self.peers.add_remote_prefill(start_id, prefill, now)
            }
            Input::Overdue(start_id, left) => self.peers.extend_remote_queue(start_id, left, now),
            Input::SpeedSums(sums) => self.peers.merge_speeds(&sums, now),
            Input::SessionAffinity(affinity) => self.releases.merge_affinity(affinity, now),
            Input::QuarantineUpdate(update) => self.apply_quarantine_update(now, update),
            Input::Notice(update) => self.peers.apply_remote_notice(update, now),
            Input::Quarantined(fingerprint, hold) => {
                self.quarantine.restore_hold(fingerprint, hold, now)
            }
            Input::QuarantineRemoved(fingerprint) => self.quarantine.remove_hold(fingerprint),
            Input::LiftQuarantine(fingerprint) => {
                self.quarantine.lift(fingerprint, now);
            }
            Input::Entries(entries) => self.set_entries(&entries, now),
            Input::Evacuate(halls) => self.evacuate(now, halls),
            Input::Cold(link, left) => self.peers.mark_cold(link, left, now),
            Input::Probed(link, is_gone) => self.peers.probed(link, is_gone),
            Input::Claimed(request, claim) => self.on_claimed(now, request, claim, &mut out),
            Input::Rated(rating) => self.on_rated(rating, &mut out),
            Input::Written(batch) => drop(self.spool.on_written(batch)),
            Input::NotWritten(batch) => self.spool.on_write_failed(batch, now),
            Input::Tick => self.tick(now, &mut out),
            Input::Suspended => self.suspended = true,
            Input::Resynced => self.suspended = false,
            Input::Drain => self.draining = true,
            Input::Stop(stop) => self.stop = Some(stop),
        }
        self.emit_quarantine(now, &mut out);
        out.extend(self.peers.take_updates().into_iter().map(Output::Notice));
        out.extend(
            self.releases
                .take_affinities(now)
                .into_iter()
                .map(Output::SessionAffinity),
        );
        out
    }

    /// Returns whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.flights.is_empty() && self.pending.is_empty()
    }

    /// Records that the process stops; returns whether no request was cut off.
    pub fn record_stop(&mut self) -> bool {
        let idle = self.is_idle();
        self.invariants.check(Invariant::PlannedStop, idle)
    }

    /// Returns whether the entry is ready to take requests.
    pub fn is_ready(&self) -> bool {
        let linked = self.peers.iter().any(|(_, p)| !p.leaving);
        !self.draining && self.tree.is_known() && linked
    }

    /// Returns the configuration in force.
    pub fn tree(&self) -> &Arc<Tree> {
        &self.tree
    }

    /// Returns the reachable upstreams.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns how many second runs were started and what came of them.
    pub fn second_runs(&self) -> SecondRuns {
        self.second_runs
    }

    /// Returns the invariants with the counts of their checks and violations.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Returns the decisions on recent requests.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the monitor of version quality, which the roll-out controller reads.
    pub fn monitor(&mut self) -> &mut Monitor {
        &mut self.monitor
    }

    /// Returns the number of requests that are quarantined because upstreams crashed under them.
    pub fn quarantined(&self, now: Time) -> usize {
        self.quarantine.held_count(now)
    }

    /// Returns what is quarantined or on trial.
    pub fn quarantine(&self, now: Time) -> Vec<quarantine::Held> {
        self.quarantine.held(now)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len() + self.pending.len()
    }

    /// Returns the number of bill records that are not yet known to be written, by this entry or a
    /// sidecar.
    pub fn unbilled(&self) -> usize {
        self.spool.len()
    }

    /// Returns the retry budget of a pool.
    fn budget(&mut self, pool: &PoolId) -> &mut Budget {
        let allowance = self.settings.retries;
        let budget = self.budgets.entry(pool.clone());
        budget.or_insert_with(|| Budget::new(allowance))
    }

    /// Withdraws one retry from the budget of a pool; returns whether one was available.
    fn withdraw_retry(&mut self, now: Time, pool: &PoolId) -> bool {
        let entries = self.entries;
        self.budget(pool).withdraw(now, entries)
    }

    fn set_entries(&mut self, entries: &[InstanceId], now: Time) {
        let own = &self.settings.instance;
        self.peers.set_entries(own, entries.iter(), now);
        let count = 1 + entries.iter().filter(|name| *name != own).count();
        self.entries = count;
        self.limits.set_entries(count);
        self.monitor.set_entries(count);
    }

    fn set_tree(&mut self, now: Time, tree: Arc<Tree>, out: &mut Outputs) {
        let ahead = tree.revision() >= self.tree.revision();
        if !self.invariants.check(Invariant::Configuration, ahead) {
            return;
        }
        self.tree = tree;
        let change = self.peers.configure(&self.tree, now);
        self.log_hall_change(&change);
        self.monitor.retain_watched(&self.tree);
        let revision = self.tree.revision();
        for (link, _) in self.peers.iter() {
            out.push(Output::Send(link, Frame::Revision(revision)));
        }
        for request in self.waiting_requests(|_| true) {
            self.reselect(now, request, out);
        }
    }

    fn evacuate(&mut self, now: Time, halls: BTreeSet<Hall>) {
        let change = self.peers.evacuate(halls, now);
        self.log_hall_change(&change);
    }

    /// Logs evacuated and restored data halls and the pools that an evacuation leaves without a
    /// usable upstream.
    fn log_hall_change(&self, change: &halls::Change) {
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

    /// Returns the requests that wait for a newer configuration since a time that matches.
    fn waiting_requests(&self, matches: impl Fn(Time) -> bool) -> Vec<RequestId> {
        let mut waiting: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, f)| f.waiting_since.is_some_and(&matches))
            .map(|(request, _)| *request)
            .collect();
        waiting.sort_unstable();
        waiting
    }

    /// Retries a request with a newly chosen version.
    fn reselect(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        if let Some(flight) = self.flights.get_mut(&request) {
            flight.run = flight.run.next_attempt();
            flight.choice = None;
            flight.waiting_since = None;
            flight.tried.clear();
        }
        self.dispatch(now, request, out);
    }

    /// Stores a copy of a bill record whose original the sidecar keeps.
    fn spool_record(&mut self, record: Record, link: Link, now: Time) {
        self.spool.add(record, Some(link), now);
    }

    /// Returns the decision that a request would get now, without sending it.
    ///
    /// # Errors
    ///
    /// Returns the failure that the caller would get.
    pub fn explain(
        &mut self,
        now: Time,
        context: Context,
        incoming: Request,
    ) -> Result<Decision, Failure> {
        let requested = incoming.payload.name();
        let request = incoming.request;
        let mut flight = self.prepare(now, incoming, context)?;
        self.select_version(&mut flight)?;
        let criteria = Criteria {
            pool: &flight.pool,
            tokens: flight.prompt_tokens(),
            urgent: flight.context.class == Class::Priority,
            // Upstreams behind sidecars announce no rate limits, so the rank has no effect.
            rank: 0,
            prefixes: flight.prefixes(),
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
        let link = self.peers.pick(&criteria, self.settings.policy, now, 0.0);
        self.history.begin(request, self.tree.revision(), requested);
        self.record_attempt(now, &flight, link, "not sent".into());
        self.history.update(request, |d| {
            d.node = Some(flight.context.path.clone());
            d.account = Some(flight.context.account.clone());
            d.class = Some(flight.context.class);
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
    /// Returns the requested model, or the method and path of a call.
    pub fn name(&self) -> String {
        match self {
            Payload::Chat(chat) => chat.model.clone(),
            Payload::Plain(call) => format!("{} {}", call.method, call.path),
            Payload::Routed(routed) => format!("{} {}", routed.call.method, routed.call.path),
        }
    }
}

impl Target {
    /// Returns the name that callers request.
    pub fn as_str(&self) -> &str {
        match self {
            Target::Model(model) => model.as_str(),
            Target::Cascade(cascade) => cascade.as_str(),
        }
    }
}
