//! Chooses the version and upstream of a request and sends it.

use super::flight::{Flight, Goal};
use super::*;

impl Entry {
    /// Chooses the version and pool of the current step.
    pub(super) fn select_version(&mut self, flight: &mut Flight) -> Result<(), Failure> {
        let choice = match &flight.goal {
            Goal::Service | Goal::Routed => return Ok(()),
            Goal::Model(model) => {
                let draw = self.rng.random::<f64>();
                let (tree, monitor) = (&self.tree, &self.monitor);
                let sequential = self.settings.judge == Judge::Sequential;
                let running = &self.running;
                let suspect = |v: &VersionId| sequential && monitor.is_suspect(v);
                let session = flight.session.as_ref();
                let new_session = session.is_none_or(|s| suspect(&s.version));
                let exhausted = |v: &VersionId| {
                    let in_flight = running.get(v).copied().unwrap_or(0);
                    sequential && new_session && !monitor.admits(tree, v, in_flight)
                };
                let avoid = |v: &VersionId| suspect(v) || exhausted(v);
                route::version(tree, &flight.context, model, session, draw, avoid)?
            }
            Goal::Cascade(name, step) => {
                let (choice, step) = self.select_step(flight, name, *step)?;
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

    /// Chooses a cascade step with a usable version, starting at `step`.
    pub(super) fn select_step(
        &mut self,
        flight: &Flight,
        name: &CascadeId,
        step: usize,
    ) -> Result<(Choice, usize), Failure> {
        let tree = self.tree.clone();
        let usable = |v: &VersionId| {
            flight.context.node.allows_version(v)
                && route::takes_work(&tree, v)
                && !self.monitor.is_suspect(v)
        };
        let steps = tree.cascade(name.as_str()).map_or(&[][..], |c| &c.steps);
        if let Some(session) = &flight.session {
            if usable(&session.version) {
                let cause = Cause::Session;
                let version = session.version.clone();
                return Ok((Choice { version, cause }, steps.len()));
            }
        }
        let candidates: Vec<usize> = (step..steps.len())
            .filter(|i| usable(&steps[*i].version))
            .collect();
        let draw = self.rng.random::<f64>();
        let class = flight.context.class;
        let selected = candidates.iter().copied().find(|i| {
            let last = candidates.last() == Some(i);
            last || self
                .policy(name, *i, class)
                .is_none_or(|p| p.should_query(draw))
        });
        let index = selected.ok_or_else(|| {
            let message = format!("no version of {name} that the account may use takes new work");
            Failure::not_run(Reason::Withdrawn, message)
        })?;
        let version = steps[index].version.clone();
        let cause = match &flight.session {
            Some(session) => Cause::Moved(session.version.clone()),
            None => Cause::Cascade(name.clone()),
        };
        Ok((Choice { version, cause }, index))
    }

    /// Chooses the version and upstream of a request and sends it, or handles the failure to do so.
    pub(super) fn dispatch(&mut self, now: Time, request: RequestId, out: &mut Outputs) {
        let Some(mut flight) = self.flights.remove(&request) else {
            return;
        };
        let sent = self.check_quarantine(now, &flight);
        let sent = sent.and_then(|()| match (&flight.goal, &flight.choice) {
            (Goal::Routed, _) => self.send_routed(now, &mut flight, out),
            (_, Some(_)) => self.send(now, &mut flight, out),
            (_, None) => self
                .select_version(&mut flight)
                .and_then(|()| self.send(now, &mut flight, out)),
        });
        self.flights.insert(request, flight);
        if let Err(failure) = sent {
            self.retry_or_fail(now, request, failure, out);
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
        let avoided = self.avoided(now, flight);
        let criteria = Criteria {
            pool: &flight.pool,
            tokens: flight.prompt_tokens(),
            urgent: flight.context.class == Class::Priority,
            // Upstreams behind sidecars announce no rate limits, so the rank has no effect.
            rank: 0,
            prefixes: flight.prefixes(),
            shared_prefix: None,
            last_upstream: flight.session.as_ref().and_then(|s| s.upstream.as_ref()),
            tried: &avoided,
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
            .choose_distinct(&criteria, &flight.tried, self.settings.policy, now, draw)
            .map(|chosen| chosen.link)
            .ok_or_else(|| {
                let available = self.peers.available_in(&flight.pool, now);
                let wait = available.or_else(|| self.peers.min_wait(&flight.pool));
                let wait = wait.unwrap_or(RETRY_AFTER).max(RETRY_AFTER);
                routed::no_upstream(&flight.pool).retry_after(wait)
            })?;
        self.begin_run(now, flight, link)?;
        let start = self.start_frame(now, flight);
        out.push(Output::Send(link, Frame::Start(Box::new(start))));
        Ok(())
    }

    /// Checks the invariants of sending a request to an upstream and records the attempt.
    pub(super) fn begin_run(
        &mut self,
        now: Time,
        flight: &mut Flight,
        link: Link,
    ) -> Result<(), Failure> {
        let available = self.peers.gets_work(link);
        self.ensure(Invariant::Leaving, available)?;
        let may_run = !flight.at_most_once || flight.verdict.may_repeat();
        self.ensure(Invariant::AtMostOnce, may_run)?;
        self.record_attempt(now, flight, Some(link), String::new());
        self.peers
            .sent(link, flight.prompt_tokens(), flight.prefixes(), now);
        if let Some(version) = flight.version() {
            *self.running.entry(version.clone()).or_default() += 1;
        }
        flight.link = Some(link);
        flight.upstream = self.peers.get(link).map(|p| p.upstream.clone());
        flight.tried.push(link);
        flight.revision = self.tree.revision();
        flight.parts = 0;
        flight.body.clear();
        Ok(())
    }

    pub(super) fn ensure(&mut self, invariant: Invariant, held: bool) -> Result<(), Failure> {
        match self.invariants.check(invariant, held) {
            true => Ok(()),
            false => {
                let message = format!("promise {invariant} would be broken");
                Err(Failure::not_run(Reason::Invariant, message))
            }
        }
    }

    pub(super) fn check_dispatch(&mut self, flight: &Flight) -> Result<(), Failure> {
        let Some(choice) = &flight.choice else {
            return Ok(());
        };
        let version = &choice.version;
        let allowed = flight.context.node.allows_version(version);
        self.ensure(Invariant::AllowedVersion, allowed)?;
        let serving = route::takes_work(&self.tree, version);
        if !serving && flight.run.attempt > 0 {
            // The version was withdrawn during an earlier attempt, which does not violate the
            // invariant.
            return Err(Failure::not_run(
                Reason::Withdrawn,
                "the version was withdrawn",
            ));
        }
        self.ensure(Invariant::Withdrawn, serving)?;
        if let Some(session) = &flight.session {
            let same_version = session.version == *version;
            let moved = choice.cause == Cause::Moved(session.version.clone());
            let unusable = !flight.context.node.allows_version(&session.version)
                || !route::takes_work(&self.tree, &session.version)
                || self.monitor.is_suspect(&session.version);
            self.ensure(Invariant::Session, same_version || (moved && unusable))?;
        }
        Ok(())
    }

    pub(super) fn start_frame(&self, now: Time, flight: &Flight) -> Start {
        let call = match (&flight.request.payload, flight.version()) {
            (Payload::Chat(chat), Some(version)) => {
                let buffered = flight.is_buffered();
                chat.call(version, chat.stream && !buffered, buffered)
            }
            (Payload::Chat(_), None) => unreachable!("a chat is sent after its version is chosen"),
            (Payload::Plain(call), _) => self.plain_call(call),
            (Payload::Routed(routed), _) => routed.call.clone(),
        };
        Start {
            run: flight.run,
            account: flight.context.account.clone(),
            weight: flight.context.node.weight(),
            class: flight.context.class,
            version: flight.version().cloned(),
            deadline_us: flight.deadline.since(now).micros(),
            tokens: flight.cost(),
            may_queue: self.may_queue(flight),
            revision: self.tree.revision(),
            call,
            metadata: None,
        }
    }

    /// Returns whether a request may queue at its upstream. A priority request first tries a few
    /// upstreams for a free slot: another attempt takes about 1 ms, while a slot becomes free after
    /// about 100 ms.
    pub(super) fn may_queue(&self, flight: &Flight) -> bool {
        let urgent = flight.context.class == Class::Priority;
        let others = self.peers.available_count(&flight.pool) > flight.tried.len();
        !urgent || !others || flight.run.attempt + 1 >= MAX_ATTEMPTS
    }

    /// Returns the call with the path prefix of the service removed.
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

    pub(super) fn record_attempt(
        &mut self,
        now: Time,
        flight: &Flight,
        link: Option<Link>,
        outcome: String,
    ) {
        let peer = link.and_then(|l| self.peers.get(l));
        let upstream = match peer {
            Some(peer) => peer.upstream.clone(),
            None => "none".parse().expect("a valid name"),
        };
        let attempt = Attempt {
            step: flight.run.step,
            version: flight.version().cloned(),
            why: flight.choice.as_ref().map(|c| c.cause.clone()),
            upstream,
            snapshot: peer.map(|peer| peer.known(now)),
            forecast: None,
            outcome,
        };
        self.history
            .update(flight.request.request, |d| d.attempts.push(attempt));
    }
}
