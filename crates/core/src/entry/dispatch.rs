//! How an entry chooses version and upstream and sends a request there.

use super::flight::{Flight, Goal};
use super::*;

impl Entry {
    /// Chooses version and pool for the present step.
    pub(super) fn choose(&mut self, flight: &mut Flight) -> Result<(), Failure> {
        let choice = match &flight.goal {
            Goal::Service | Goal::Routed => return Ok(()),
            Goal::Model(model) => {
                let draw = self.rng.random::<f64>();
                let (tree, watch) = (&self.tree, &self.watch);
                let hold = self.settings.judge == Judge::Sequential;
                let running = &self.running;
                let suspect = |v: &VersionId| hold && watch.is_suspect(v);
                let session = flight.session.as_ref();
                let fresh = session.is_none_or(|s| suspect(&s.version));
                let over = |v: &VersionId| {
                    let in_flight = running.get(v).copied().unwrap_or(0);
                    hold && fresh && !watch.admits(tree, v, in_flight)
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
    pub(super) fn step_of(
        &mut self,
        flight: &Flight,
        name: &CascadeId,
        step: usize,
    ) -> Result<(Choice, usize), Failure> {
        let tree = self.tree.clone();
        let usable = |v: &VersionId| {
            flight.site.node.allows_version(v)
                && route::takes_work(&tree, v)
                && !self.watch.is_suspect(v)
        };
        let steps = tree.cascade(name.as_str()).map_or(&[][..], |c| &c.steps);
        if let Some(session) = &flight.session {
            if usable(&session.version) {
                let why = Cause::Session;
                let version = session.version.clone();
                return Ok((
                    Choice {
                        version,
                        cause: why,
                    },
                    steps.len(),
                ));
            }
        }
        let left: Vec<usize> = (step..steps.len())
            .filter(|i| usable(&steps[*i].version))
            .collect();
        let draw = self.rng.random::<f64>();
        let class = flight.site.class;
        let asked = left.iter().copied().find(|i| {
            let last = left.last() == Some(i);
            last || self
                .policy(name, *i, class)
                .is_none_or(|p| p.should_query(draw))
        });
        let index = asked.ok_or_else(|| {
            let message = format!("no version of {name} that the account may use takes new work");
            Failure::not_run(Reason::Withdrawn, message)
        })?;
        let version = steps[index].version.clone();
        let why = match &flight.session {
            Some(session) => Cause::Moved(session.version.clone()),
            None => Cause::Cascade(name.clone()),
        };
        Ok((
            Choice {
                version,
                cause: why,
            },
            index,
        ))
    }

    /// Chooses version and upstream and sends the request there.
    pub(super) fn dispatch(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(mut flight) = self.flights.remove(&request) else {
            return;
        };
        let sent = self.admit_again(now, &flight);
        let sent = sent.and_then(|()| match (&flight.goal, &flight.choice) {
            (Goal::Routed, _) => self.send_routed(now, &mut flight, out),
            (_, Some(_)) => self.send(now, &mut flight, out),
            (_, None) => self
                .choose(&mut flight)
                .and_then(|()| self.send(now, &mut flight, out)),
        });
        self.flights.insert(request, flight);
        if let Err(failure) = sent {
            self.settle(now, request, failure, out);
        }
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        flight: &mut Flight,
        out: &mut Outputs,
    ) -> Result<(), Failure> {
        self.check_dispatch(flight)?;
        if flight.is_first() {
            self.budget(&flight.pool).deposit(now);
        }
        let apart = self.apart(now, flight);
        let wish = Criteria {
            pool: &flight.pool,
            tokens: flight.prompt_tokens(),
            urgent: flight.site.class == Class::Priority,
            // Upstreams behind sidecars name no rates.
            rank: 0,
            prefixes: flight.chain(),
            shared_prefix: None,
            last_upstream: flight.session.as_ref().and_then(|s| s.upstream.as_ref()),
            tried: &apart,
            constraints: Constraints {
                regions: flight.regions(),
                ..Constraints::default()
            },
            prefill_rate: None,
            scope: Scope::Hall,
        };
        let draw = self.rng.random::<f64>();
        let link = self
            .peers
            .choose_distinct(&wish, &flight.tried, self.settings.policy, now, draw)
            .map(|chosen| chosen.link)
            .ok_or_else(|| {
                let opens = self.peers.available_in(&flight.pool, now);
                let wait = opens.or_else(|| self.peers.min_wait(&flight.pool));
                let wait = wait.unwrap_or(RETRY_AFTER).max(RETRY_AFTER);
                routed::none_left(&flight.pool).retry_after(wait)
            })?;
        self.begin_run(now, flight, link)?;
        let start = self.start_of(now, flight);
        out.push(Output::Send(link, Frame::Start(Box::new(start))));
        Ok(())
    }

    /// Checks that a request may go to an upstream and notes that it goes there.
    pub(super) fn begin_run(
        &mut self,
        now: Time,
        flight: &mut Flight,
        link: Link,
    ) -> Result<(), Failure> {
        let working = self.peers.gets_work(link);
        self.keep(Invariant::Leaving, working)?;
        let once = !flight.once || flight.verdict.may_repeat();
        self.keep(Invariant::AtMostOnce, once)?;
        self.note_try(now, flight, Some(link), String::new());
        self.peers
            .sent(link, flight.prompt_tokens(), flight.chain(), now);
        if let Some(version) = flight.version() {
            *self.running.entry(version.clone()).or_default() += 1;
        }
        flight.at = Some(link);
        flight.upstream = self.peers.get(link).map(|p| p.upstream.clone());
        flight.tried.push(link);
        flight.revision = self.tree.revision();
        flight.parts = 0;
        flight.text.clear();
        Ok(())
    }

    pub(super) fn keep(&mut self, promise: Invariant, held: bool) -> Result<(), Failure> {
        match self.promises.check(promise, held) {
            true => Ok(()),
            false => {
                let message = format!("promise {promise} would be broken");
                Err(Failure::not_run(Reason::Invariant, message))
            }
        }
    }

    pub(super) fn check_dispatch(&mut self, flight: &Flight) -> Result<(), Failure> {
        let Some(choice) = &flight.choice else {
            return Ok(());
        };
        let version = &choice.version;
        let allowed = flight.site.node.allows_version(version);
        self.keep(Invariant::AllowedVersion, allowed)?;
        let serving = route::takes_work(&self.tree, version);
        if !serving && flight.run.attempt > 0 {
            // Withdrawn while another upstream was tried: a refusal, no breach.
            return Err(Failure::not_run(
                Reason::Withdrawn,
                "the version was withdrawn",
            ));
        }
        self.keep(Invariant::Withdrawn, serving)?;
        if let Some(session) = &flight.session {
            let kept = session.version == *version;
            let moved = choice.cause == Cause::Moved(session.version.clone());
            let gone = !flight.site.node.allows_version(&session.version)
                || !route::takes_work(&self.tree, &session.version)
                || self.watch.is_suspect(&session.version);
            self.keep(Invariant::Session, kept || (moved && gone))?;
        }
        Ok(())
    }

    pub(super) fn start_of(&self, now: Time, flight: &Flight) -> Start {
        let call = match (&flight.ask.payload, flight.version()) {
            (Payload::Chat(chat), Some(version)) => {
                let judged = flight.is_judged();
                chat.call(version, chat.stream && !judged, judged)
            }
            (Payload::Chat(_), None) => unreachable!("a chat is sent after its version is chosen"),
            (Payload::Plain(call), _) => self.plain_call(call),
            (Payload::Routed(routed), _) => routed.call.clone(),
        };
        Start {
            run: flight.run,
            account: flight.site.account.clone(),
            weight: flight.site.node.weight(),
            class: flight.site.class,
            version: flight.version().cloned(),
            deadline_us: flight.deadline.since(now).micros(),
            tokens: flight.cost(),
            may_queue: self.is_patient(flight),
            revision: self.tree.revision(),
            call,
            metadata: None,
        }
    }

    /// Returns whether a request is to wait where it is sent. Urgent ones try
    /// a few upstreams for a free place first: another try takes a millisecond,
    /// a place falls free after some hundred.
    pub(super) fn is_patient(&self, flight: &Flight) -> bool {
        let urgent = flight.site.class == Class::Priority;
        let others = self.peers.available_count(&flight.pool) > flight.tried.len();
        !urgent || !others || flight.run.attempt + 1 >= MAX_TRIES
    }

    /// Returns the call as the service sees it, without the prefix.
    pub(super) fn plain_call(&self, call: &Call) -> Call {
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

    pub(super) fn note_try(
        &mut self,
        now: Time,
        flight: &Flight,
        link: Option<Link>,
        outcome: String,
    ) {
        let peer = link.and_then(|l| self.peers.get(l));
        let upstream = match peer {
            Some(peer) => peer.upstream.clone(),
            None => "none".parse().expect("a legal name"),
        };
        let try_ = Attempt {
            step: flight.run.step,
            version: flight.version().cloned(),
            why: flight.choice.as_ref().map(|c| c.cause.clone()),
            upstream,
            snapshot: peer.map(|peer| peer.known(now)),
            forecast: None,
            outcome,
        };
        self.history
            .note(flight.ask.request, |d| d.attempts.push(try_));
    }
}
