//! How an entry takes in requests that a route of the tree describes, and how it
//! sends them straight to upstreams.
//!
//! Such a request carries all that decides about it: the host and path, the time
//! left, the beginnings of its prompt. Upstreams tell their load with each
//! answer and refuse what they cannot take, so no sidecar stands between.

use super::flight::Flight;
use super::*;
use crate::pick::{Near, Place, Prefix};
use crate::tree::{Repeat, Route};
use crate::wire::{Confidence, Header, Load, Order};

/// From what confidence the answer of a smaller model is given, by the rank of
/// the route, where the settings say nothing: measured on quiet days of both
/// sites, where 50 of 100 earned most over all ranks.
pub const ACCEPTED: [Share; 3] = [Share::HALF; 3];
/// How long an upstream may be silent in the middle of a stream before the
/// request goes on elsewhere: events come some 40 ms apart, and an answer is
/// late after a pause of 1.2 s.
const SILENT_MIDWAY: Span = Span::from_millis(700);
/// How long an upstream may be silent before the first event or a plain answer.
const SILENT_BEFORE: Span = Span::from_millis(1200);
/// How long a caller is told to stay away when upstreams are full.
pub(super) const COME_BACK: Span = Span::from_millis(500);
/// The time between two ticks from which this process is taken to have stood
/// still, so that the silence of upstreams says nothing.
const STOOD_STILL: Span = Span::from_millis(250);

/// A request that a route describes.
#[derive(Clone, Debug)]
pub struct Routed {
    /// The name that the caller gave the request.
    pub label: String,
    /// The host asked for.
    pub host: String,
    /// The call, with the headers that are passed on.
    pub call: Call,
    /// How long the caller waits, if it says so.
    pub left: Option<Span>,
    /// Whether the caller leaves the choice of the model to the route.
    pub any_model: bool,
    /// The tokens of the prompt.
    pub tokens: u32,
    /// The beginnings of the prompt that may be cached, the shortest first.
    pub chain: Vec<Prefix>,
    /// What the session is known by.
    pub session: Option<u64>,
}

/// What a route means for one request.
#[derive(Clone, Debug)]
pub(super) struct Terms {
    pub name: RouteId,
    pub route: Arc<Route>,
    /// The place of the present model among the sizes of the route.
    pub size: usize,
    /// The last event that the caller was given.
    pub last: Option<u64>,
    /// When the present run was sent.
    pub sent: Time,
    /// The runs so far.
    pub runs: u16,
}

/// An upstream that is called directly.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name, which changes with each start.
    pub upstream: UpstreamId,
    /// The pool.
    pub pool: PoolId,
    /// Where it is and what it runs.
    pub place: Place,
    /// The requests that it runs at a time, and what else is known of its load.
    pub load: Load,
}

/// What an upstream that is called directly does with a run.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The answer begins.
    Head {
        /// The HTTP status.
        status: u16,
        /// The headers that are passed on.
        headers: Vec<Header>,
        /// How sure the model is of its answer.
        confidence: Option<Confidence>,
        /// What runs and waits there.
        load: Option<(u32, u32, u32)>,
    },
    /// Bytes of the answer; of a stream, whole events.
    Data {
        /// The bytes.
        data: Vec<u8>,
        /// The number of the last event among them.
        last: Option<u64>,
    },
    /// The answer is whole.
    End,
    /// There is no answer, or it broke off.
    Fail(Failure),
}

/// What to do with the head of an answer.
enum Judgement {
    /// Give it to the caller.
    Give,
    /// Ask the next larger model.
    Larger,
    /// Ask another upstream.
    Elsewhere(Failure),
}

impl Entry {
    /// Adds an upstream that is called directly.
    pub(super) fn join(&mut self, link: Link, member: Member, now: Time) {
        self.peers
            .join(link, member.upstream, &member.pool, member.load);
        self.peers.settle(link, member.place);
        self.peers.report(link, member.load, now);
        self.peers.heard(link, now);
        let present: Vec<VersionId> = self
            .peers
            .releases(&member.pool)
            .into_keys()
            .cloned()
            .collect();
        self.releases.settle(&member.pool, &present);
    }

    /// Finds the route and client account of a request.
    pub(super) fn locate(
        &self,
        routed: &Routed,
        key: Option<&str>,
    ) -> Result<(Site, Terms), Failure> {
        if self.tree.revision() == Revision(0) {
            let failure = Failure::not_run(Reason::NotReady, "no configuration is known yet");
            return Err(failure.retry_after(COME_BACK));
        }
        let found = self.tree.route_of(&routed.host, &routed.call.path);
        let (name, route) = found.ok_or_else(|| {
            let message = format!("no route for {}{}", routed.host, routed.call.path);
            Failure::not_run(Reason::UnknownPath, message)
        })?;
        let site = route::guest(&self.tree, route, key)?;
        if !route.sizes.is_empty() && !routed.any_model {
            let message = "this route chooses the model";
            return Err(Failure::not_run(Reason::ModelNamed, message));
        }
        let terms = Terms {
            name: name.clone(),
            route: route.clone(),
            size: 0,
            last: None,
            sent: Time::default(),
            runs: 0,
        };
        Ok((site, terms))
    }

    /// Chooses pool and release for a routed request.
    pub(super) fn choose_routed(&mut self, now: Time, flight: &mut Flight) -> Result<(), Failure> {
        let Some(terms) = &flight.terms else {
            return Ok(());
        };
        let session = flight.routed().and_then(|r| r.session);
        if flight.run.attempt == 0 && flight.run.step == 0 {
            let draw = self.rng.random::<f64>();
            let pool = terms.route.pool(draw).cloned();
            flight.pool = pool.ok_or_else(|| none_left(&flight.pool))?;
        }
        let draw = self.rng.random::<f64>();
        let present = self.peers.releases(&flight.pool);
        let release = self
            .releases
            .choose(&flight.pool, session, draw, now, &present);
        flight.choice = release.map(|version| Choice {
            version,
            why: Why::Split,
        });
        if let (Some(session), Some(choice)) = (session, &flight.choice) {
            self.releases.keep(session, &choice.version, now);
        }
        Ok(())
    }

    /// Sends a routed request to an upstream.
    pub(super) fn send_routed(
        &mut self,
        now: Time,
        flight: &mut Flight,
        out: &mut Outputs,
    ) -> Result<(), Failure> {
        if now >= flight.deadline {
            return Err(timed_out(flight));
        }
        self.choose_routed(now, flight)?;
        let wish = Wish {
            pool: &flight.pool,
            tokens: flight.prompt_tokens(),
            urgent: false,
            chain: flight.chain(),
            last: None,
            tried: &flight.tried,
            near: Near {
                hall: self.settings.hall.as_ref(),
                release: flight.version(),
            },
        };
        let draw = self.rng.random::<f64>();
        let link = self
            .peers
            .pick(&wish, self.settings.policy, now, draw)
            .ok_or_else(|| none_left(&flight.pool))?;
        let once = !flight.once || flight.verdict.may_repeat();
        self.keep(Promise::AtMostOnce, once)?;
        self.note_try(flight, Some(link), String::new());
        let (tokens, chain) = (flight.prompt_tokens(), flight.chain());
        self.peers.sent(link, tokens, chain);
        if let Some(version) = flight.version() {
            *self.running.entry(version.clone()).or_default() += 1;
        }
        flight.at = Some(link);
        flight.upstream = self.peers.get(link).map(|p| p.upstream.clone());
        flight.tried.push(link);
        flight.revision = self.tree.revision();
        flight.parts = 0;
        if let Some(terms) = &mut flight.terms {
            terms.sent = now;
            terms.runs += 1;
        }
        if let Some(start) = self.routed_start(now, flight) {
            out.push(Output::Send(link, Frame::Start(Box::new(start))));
        }
        Ok(())
    }

    fn routed_start(&self, now: Time, flight: &Flight) -> Option<Start> {
        let (routed, terms) = (flight.routed()?, flight.terms.as_ref()?);
        let left = flight.deadline.since(now);
        let account = &flight.site.account;
        let order = Order {
            label: routed.label.clone(),
            account: flight.site.node.account.is_some().then(|| account.clone()),
            upstream: flight.upstream.clone(),
            release: None,
            model: terms.route.sizes.get(terms.size).cloned(),
            rank: rank(&flight.site, &terms.route),
            last: terms.last,
            stream: terms.route.stream,
        };
        Some(Start {
            run: flight.run,
            account: account.clone(),
            weight: flight.site.node.weight(),
            class: flight.site.class,
            version: flight.version().cloned(),
            deadline_us: left.micros(),
            tokens: flight.cost(),
            patient: true,
            revision: self.tree.revision(),
            call: routed.call.clone(),
            order: Some(Box::new(order)),
        })
    }

    /// Takes in what an upstream that is called directly does with a run.
    pub(super) fn reply(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        reply: Reply,
        out: &mut Outputs,
    ) {
        self.peers.heard(link, now);
        match reply {
            Reply::Head {
                status,
                headers,
                confidence,
                load,
            } => {
                if let Some(load) = load {
                    self.report_direct(link, load, now);
                }
                self.routed_head(now, link, run, status, headers, confidence, out);
            }
            Reply::Data { data, last } => self.routed_data(run, data, last, out),
            Reply::End => self.routed_end(now, link, run, out),
            Reply::Fail(failure) => self.routed_fail(now, link, run, failure, out),
        }
    }

    fn report_direct(&mut self, link: Link, load: (u32, u32, u32), now: Time) {
        let Some(peer) = self.peers.get(link) else {
            return;
        };
        let (running, queued, slots) = load;
        let load = Load {
            running,
            queued,
            slots,
            wait: waiting(queued, slots),
            ..peer.load
        };
        self.peers.report(link, load, now);
    }

    #[allow(clippy::too_many_arguments)]
    fn routed_head(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        status: u16,
        headers: Vec<Header>,
        confidence: Option<Confidence>,
        out: &mut Outputs,
    ) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = Verdict::Ran;
        if flight.headed && status < 300 {
            // A stream that goes on elsewhere keeps the head of its first run.
            return;
        }
        if flight.headed {
            let message = format!("the stream could not go on: {status}");
            let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
            self.learn_release(now, run.request, false);
            self.peers.struck(link, now);
            self.drop_run(link, run, out);
            return self.routed_failed(now, run.request, failure, out);
        }
        flight.status = status;
        flight.headers = headers;
        self.learn_release(now, run.request, status < 500);
        self.note_strain(now, run.request);
        match self.judge_head(now, run.request, status, confidence) {
            Judgement::Give => {
                self.history
                    .outcome(run.request, format!("answered {status}"));
                self.give_plain_head(now, run.request, out);
            }
            Judgement::Larger => self.ask_larger(now, link, run, confidence, out),
            Judgement::Elsewhere(failure) => {
                self.history
                    .outcome(run.request, format!("answered {status}, not given"));
                self.peers.struck(link, now);
                self.drop_run(link, run, out);
                self.routed_failed(now, run.request, failure, out);
            }
        }
    }

    /// Tells the releases what the beginning of an answer shows.
    fn learn_release(&mut self, now: Time, request: RequestId, good: bool) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let (Some(terms), Some(release), Some(upstream)) =
            (&flight.terms, flight.version(), &flight.upstream)
        else {
            return;
        };
        let answer = crate::release::Answer {
            pool: &flight.pool,
            release,
            upstream,
            kind: (&terms.name, terms.size),
            first: good.then(|| now.since(terms.sent)),
        };
        if self.releases.learn(&answer) {
            log::warn!(
                "event=release-bad pool={} release={release} upstream={upstream} by=own",
                flight.pool
            );
        }
    }

    /// Notes how long a run took to begin, or has been waited for.
    fn note_strain(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        if let Some(terms) = flight.terms.as_ref().filter(|t| t.route.stream) {
            let waited = now.since(terms.sent);
            self.strains
                .note(&flight.pool, waited, terms.route.objective);
        }
    }

    /// Tells the releases how far apart the events of a whole stream were.
    fn learn_pace(&mut self, now: Time, request: RequestId) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let (Some(terms), Some(release), Some(upstream), Some(first)) = (
            &flight.terms,
            flight.version(),
            &flight.upstream,
            flight.first,
        ) else {
            return;
        };
        // A stream that went on elsewhere paused for a reason of its own.
        if !terms.route.stream || terms.sent > first {
            return;
        }
        let answer = crate::release::Answer {
            pool: &flight.pool,
            release,
            upstream,
            kind: (&terms.name, terms.size),
            first: None,
        };
        let events = u64::from(flight.parts);
        if self.releases.paced(&answer, events, now.since(first)) {
            log::warn!(
                "event=release-bad pool={} release={release} upstream={upstream} by=pace",
                flight.pool
            );
        }
    }

    fn judge_head(
        &mut self,
        now: Time,
        request: RequestId,
        status: u16,
        confidence: Option<Confidence>,
    ) -> Judgement {
        let Some(flight) = self.flights.get(&request) else {
            return Judgement::Give;
        };
        let Some(terms) = &flight.terms else {
            return Judgement::Give;
        };
        let more = terms.runs < terms.route.tries && !flight.once && now < flight.deadline;
        if status >= 500 && more && terms.route.stream {
            let message = format!("the upstream answered {status}");
            let failure = Failure::new(Reason::UpstreamFailed, Verdict::Ran, message);
            return Judgement::Elsewhere(failure);
        }
        let wanted = self.accepted(&terms.route) * self.strains.spare(&flight.pool);
        let wanted = Confidence(wanted);
        let unsure = confidence.is_some_and(|c| c < wanted);
        let larger = terms.size + 1 < terms.route.sizes.len();
        match status < 300 && unsure && larger && more && self.budget.spend() {
            true => Judgement::Larger,
            false => Judgement::Give,
        }
    }

    /// Returns the confidence from which a smaller model's answer is given.
    fn accepted(&self, route: &Route) -> f64 {
        let ranks = &self.settings.accepted;
        let rank = usize::from(route.rank).min(ranks.len() - 1);
        ranks[rank].fraction()
    }

    /// Drops the answer of a smaller model and asks the largest.
    fn ask_larger(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        confidence: Option<Confidence>,
        out: &mut Outputs,
    ) {
        self.peers.succeeded(link);
        self.drop_run(link, run, out);
        let sure = confidence.map_or(0.0, |c| c.0);
        self.history
            .outcome(run.request, format!("dropped, confidence {sure}"));
        let Some(flight) = self.flights.get_mut(&run.request) else {
            return;
        };
        flight.run = flight.run.next_step();
        flight.tried.clear();
        if let Some(terms) = &mut flight.terms {
            terms.size = terms.route.sizes.len() - 1;
        }
        self.dispatch(now, run.request, out);
    }

    /// Stops a run at its upstream and counts it as ended there.
    fn drop_run(&mut self, link: Link, run: Run, out: &mut Outputs) {
        out.push(Output::Send(link, Frame::Cancel(run)));
        self.landed(run.request);
    }

    /// Gives the caller the head as the upstream sent it.
    fn give_plain_head(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.headed = true;
        flight.first = Some(now);
        let status = flight.status;
        let headers = std::mem::take(&mut flight.headers);
        out.push(Output::Answer(request, Part::Head { status, headers }));
    }

    fn routed_data(&mut self, run: Run, data: Vec<u8>, last: Option<u64>, out: &mut Outputs) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.parts += 1;
        if let (Some(terms), Some(last)) = (&mut flight.terms, last) {
            terms.last = Some(last);
        }
        out.push(Output::Answer(run.request, Part::Data(data)));
    }

    fn routed_end(&mut self, now: Time, link: Link, run: Run, out: &mut Outputs) {
        if self.flight(run).is_none() {
            return;
        }
        self.landed(run.request);
        self.peers.succeeded(link);
        self.learn_pace(now, run.request);
        let Some(flight) = self.flights.remove(&run.request) else {
            return;
        };
        if let (Some(session), Some(release)) =
            (flight.routed().and_then(|r| r.session), flight.version())
        {
            self.releases.keep(session, release, now);
        }
        out.push(Output::Answer(run.request, Part::End));
        out.push(Output::Ended(answer::done(&flight, now, None)));
    }

    fn routed_fail(
        &mut self,
        now: Time,
        link: Link,
        run: Run,
        failure: Failure,
        out: &mut Outputs,
    ) {
        let Some(flight) = self.flight(run) else {
            return;
        };
        flight.verdict = flight.verdict.raise(failure.verdict);
        flight.failed = Some(failure.clone());
        if failure.reason != Reason::Cancelled {
            self.peers.struck(link, now);
        }
        self.landed(run.request);
        self.history.outcome(run.request, failure.to_string());
        self.routed_failed(now, run.request, failure, out);
    }

    /// Sends a request on after a run that failed, or ends it.
    fn routed_failed(
        &mut self,
        now: Time,
        request: RequestId,
        failure: Failure,
        out: &mut Outputs,
    ) {
        match self.may_go_on(now, request, &failure) {
            true => {
                if let Some(flight) = self.flights.get_mut(&request) {
                    flight.run = flight.run.again();
                }
                self.dispatch(now, request, out);
            }
            false => self.give_up(now, request, failure, out),
        }
    }

    /// Returns whether a request whose run failed is sent to another upstream.
    fn may_go_on(&mut self, now: Time, request: RequestId, failure: &Failure) -> bool {
        let Some(flight) = self.flights.get(&request) else {
            return false;
        };
        let Some(terms) = &flight.terms else {
            return false;
        };
        let untouched = failure.verdict == Verdict::NotRun;
        if now >= flight.deadline || flight.run.attempt + 1 >= MAX_TRIES {
            return false;
        }
        if untouched && !flight.headed {
            // Nothing ran: no count of runs is touched, only the budget.
            return flight.verdict.may_repeat() || !flight.once;
        }
        let resumable = terms.route.repeat == Repeat::Resume;
        if flight.once || terms.runs >= terms.route.tries || (flight.headed && !resumable) {
            return false;
        }
        self.budget.spend()
    }

    /// Ends what has taken too long and moves what waits at a silent upstream.
    pub(super) fn tick_routed(&mut self, now: Time, out: &mut Outputs) {
        if now.since(self.ticked) > STOOD_STILL {
            self.peers.heard_all(now);
        }
        self.ticked = now;
        let mut due: Vec<RequestId> = Vec::new();
        let mut silent: Vec<(RequestId, Link, Run)> = Vec::new();
        for (request, flight) in &self.flights {
            let Some(terms) = &flight.terms else {
                continue;
            };
            if now >= flight.deadline {
                due.push(*request);
            } else if let Some(link) = self.silent_at(now, flight, terms) {
                silent.push((*request, link, flight.run));
            }
        }
        due.sort_unstable();
        silent.sort_unstable();
        for request in due {
            self.expire(now, request, out);
        }
        for (request, link, run) in silent {
            self.leave_silent(now, request, link, run, out);
        }
    }

    /// Returns the upstream of a request that may run again if nothing has come
    /// from it for too long.
    fn silent_at(&self, now: Time, flight: &Flight, terms: &Terms) -> Option<Link> {
        let link = flight.at?;
        let may_move = match flight.headed {
            true => terms.route.repeat == Repeat::Resume,
            false => !flight.once,
        };
        if !may_move || terms.runs >= terms.route.tries {
            return None;
        }
        let heard = self.peers.get(link).map_or(terms.sent, |p| p.heard);
        let since = now.since(heard.max(terms.sent));
        let limit = match flight.headed {
            true => SILENT_MIDWAY,
            false => SILENT_BEFORE,
        };
        (since > limit).then_some(link)
    }

    fn leave_silent(
        &mut self,
        now: Time,
        request: RequestId,
        link: Link,
        run: Run,
        out: &mut Outputs,
    ) {
        let failure = Failure::new(
            Reason::LinkLost,
            Verdict::MayHaveRun,
            "the upstream is silent",
        );
        if !self.budget.spend() {
            return;
        }
        self.note_strain(now, request);
        self.peers.struck(link, now);
        self.drop_run(link, run, out);
        self.history.outcome(request, failure.to_string());
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        flight.verdict = flight.verdict.raise(Verdict::MayHaveRun);
        flight.failed = Some(failure);
        flight.run = flight.run.again();
        self.dispatch(now, request, out);
    }

    /// Ends a request whose time has passed.
    fn expire(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(flight) = self.flights.get(&request) else {
            return;
        };
        let failure = timed_out(flight);
        if let Some(link) = flight.at {
            let run = flight.run;
            if !flight.headed {
                self.note_strain(now, request);
            }
            self.drop_run(link, run, out);
        }
        self.give_up(now, request, failure, out);
    }

    /// Returns what other entries are to be told of moves.
    pub fn move_reports(&mut self) -> Vec<(PoolId, crate::release::Report)> {
        self.releases.reports()
    }

    /// Returns what ought to be recorded about moves to other releases.
    pub fn propose_moves(&self, now: Time) -> Vec<(crate::release::Order, crate::release::State)> {
        let running = |_: &PoolId, v: &VersionId| self.running.get(v).copied().unwrap_or(0);
        self.releases.propose(now, running)
    }
}

impl Flight {
    pub(super) fn routed(&self) -> Option<&Routed> {
        match &self.ask.what {
            What::Routed(routed) => Some(routed),
            _ => None,
        }
    }
}

fn none_left(pool: &PoolId) -> Failure {
    let message = format!("no upstream of {pool} takes the request");
    Failure::not_run(Reason::NoUpstream, message).retry_after(COME_BACK)
}

fn timed_out(flight: &Flight) -> Failure {
    let verdict = flight.known_verdict();
    let failure = Failure::new(Reason::TimedOut, verdict, "the time allowed has passed");
    match verdict {
        Verdict::NotRun => failure.retry_after(COME_BACK),
        _ => failure,
    }
}

/// Returns the order among waiting requests: that of the client account goes
/// before that of the route.
fn rank(site: &Site, route: &Route) -> u8 {
    /// The ranks of routes that one rank of an account stands above.
    const ROUTES: u8 = 3;
    /// The last rank that engines know.
    const LAST: u8 = 9;
    let account = site.node.rank.unwrap_or(0);
    account
        .saturating_mul(ROUTES)
        .saturating_add(route.rank.min(ROUTES - 1))
        .min(LAST)
}

/// Returns the expected wait behind the requests that are queued.
fn waiting(queued: u32, slots: u32) -> Span {
    /// How long a request holds a slot, about.
    const SERVICE: Span = Span::from_millis(1500);
    Span::from_micros(u64::from(queued) * SERVICE.micros() / u64::from(slots.max(1)))
}
