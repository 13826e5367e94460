//! Sends routed requests to upstreams.

use super::*;
use crate::pick::{Chosen, Constraints, Peer};
use crate::release::{Affinity, Canary, Selection, SESSION_TTL};
use crate::wire::Metadata;

/// The minimum prefill time that is reported to other entries. A report arrives after about 60 ms,
/// when shorter prefills are mostly complete.
const MIN_REPORTED_PREFILL: Span = Span::from_millis(100);
/// The same for contended pools, where several short prefills in a row hold up a prompt.
const MIN_CONTENDED_PREFILL: Span = Span::from_millis(40);

impl Entry {
    /// Chooses the pool and release of a routed request. Returns the subset of upstreams to which a
    /// release on trial is restricted, if any.
    fn select_release(
        &mut self,
        now: Time,
        flight: &mut Flight,
    ) -> Result<Option<Canary>, Failure> {
        let Some(route_state) = &flight.route_state else {
            return Ok(None);
        };
        let session = flight.routed().and_then(|r| r.session);
        if flight.is_first() {
            let draw = self.rng.random::<f64>();
            let pool = route_state.route.pool(draw).cloned();
            flight.pool = pool.ok_or_else(|| no_upstream(&flight.pool))?;
            self.budget(&flight.pool).deposit(now);
        }
        let draw = self.rng.random::<f64>();
        let present = self.peers.releases(&flight.pool);
        let chosen = self
            .releases
            .choose(&flight.pool, session, draw, now, &present);
        let release = match chosen {
            Selection::Any => None,
            Selection::Release(release) => Some(release),
            Selection::Unproven => return Err(self.no_upstream_available(&flight.pool, now)),
        };
        let canary = release
            .as_ref()
            .and_then(|release| self.releases.canary(&flight.pool, release, now, &present));
        flight.choice = release.map(|version| Choice {
            version,
            cause: Cause::Split,
        });
        self.set_session_affinity(now, flight, flight.deadline.since(now) + SESSION_TTL);
        Ok(canary)
    }

    /// Sets the session affinity of a request to its release; it expires after `left`.
    pub(in crate::entry) fn set_session_affinity(
        &mut self,
        now: Time,
        flight: &Flight,
        left: Span,
    ) {
        let session = flight.routed().and_then(|r| r.session);
        if let (Some(session), Some(release)) = (session, flight.version()) {
            let affinity = Affinity {
                pool: flight.pool.clone(),
                release: release.clone(),
                session,
                left,
            };
            self.releases.set_affinity(affinity, now);
        }
    }

    /// Sends a routed request to an upstream.
    pub(in crate::entry) fn send_routed(
        &mut self,
        now: Time,
        flight: &mut Flight,
        out: &mut Outputs,
    ) -> Result<(), Failure> {
        if now >= flight.deadline {
            return Err(timed_out(flight));
        }
        let canary = self.select_release(now, flight)?;
        self.set_first_model(now, flight);
        flight.hash_prefixes();
        let workload = flight
            .route_state
            .as_ref()
            .map(|t| t.workload(&flight.pool));
        let rate = workload
            .as_ref()
            .map(|w| self.prefill_rate(&flight.pool, w, flight.prompt_tokens(), now));
        let scope = self.prefix_scope(now, flight, rate);
        let avoided = self.avoided(now, flight);
        let criteria = flight.criteria(self.settings.hall.as_ref(), &avoided);
        let criteria = Criteria {
            constraints: Constraints {
                subset: canary,
                ..criteria.constraints
            },
            prefill_rate: rate,
            scope,
            ..criteria
        };
        if self.peers.is_contended(&flight.pool) {
            if let Some(outlook) = self.peers.outlook(&criteria, now) {
                let draw = self.rng.random::<f64>();
                gate::check(&mut self.gates, flight, &outlook, now, draw)?;
            }
        }
        let draw = self.rng.random::<f64>();
        let chosen = self
            .peers
            .choose_distinct(&criteria, &flight.tried, self.settings.policy, now, draw)
            .ok_or_else(|| self.no_upstream_available(&flight.pool, now))?;
        self.begin_run(now, flight, chosen.link)?;
        let estimate = self.estimate(now, &flight.pool, workload.as_ref(), &chosen);
        self.peers
            .prefill_started(chosen.link, estimate.prefill, now);
        let min_reported = match self.peers.is_contended(&flight.pool) {
            true => MIN_CONTENDED_PREFILL,
            false => MIN_REPORTED_PREFILL,
        };
        if estimate.prefill >= min_reported {
            let start_id = self.peers.get(chosen.link).map(Peer::start_id);
            out.extend(start_id.map(|start_id| Output::Prefill(start_id, estimate.prefill)));
        }
        self.history.update(flight.request.request, |decision| {
            if let Some(last) = decision.attempts.last_mut() {
                last.forecast = Some(estimate.forecast());
            }
        });
        if let Some(route_state) = &mut flight.route_state {
            route_state.runs += 1;
            route_state.run = RunState {
                sent_at: now,
                heard_at: now,
                estimate,
                ..RunState::default()
            };
        }
        if let Some(start) = self.routed_start_frame(now, flight) {
            out.push(Output::Send(chosen.link, Frame::Start(Box::new(start))));
        }
        Ok(())
    }

    /// Returns the scope in which the shared prefix of a request is cached, and records its use.
    fn prefix_scope(&mut self, now: Time, flight: &Flight, rate: Option<Rate>) -> Scope {
        let (Some(route_state), Some(shared), Some(rate)) =
            (&flight.route_state, flight.shared_prefix(), rate)
        else {
            return Scope::Hall;
        };
        let group = (route_state.name.clone(), route_state.size_index);
        if flight.run.attempt == 0 {
            self.reuse.record(&group, shared.hash, now);
        }
        let prefill = f64::from(shared.tokens) / rate.per_second().max(1.0);
        let halls = self.peers.hall_count(&flight.pool);
        let prefill = Span::from_secs_f64(prefill);
        let weight = self.saturation.latency_weight(&flight.pool);
        self.reuse
            .scope(&group, prefill, self.entries, halls, weight)
    }

    /// Returns the estimate for a run at its chosen upstream.
    fn estimate(
        &self,
        now: Time,
        pool: &PoolId,
        workload: Option<&Workload>,
        chosen: &Chosen,
    ) -> Estimate {
        let Some(workload) = workload else {
            return Estimate::default();
        };
        let usual = self.usual_time(pool, workload, chosen.uncached_tokens, now);
        Estimate {
            uncached_tokens: chosen.uncached_tokens,
            prefill: chosen.slowdown.scale(usual),
            wait: chosen.wait,
            slowdown: chosen.slowdown,
            prefill_pending: true,
        }
    }

    fn routed_start_frame(&self, now: Time, flight: &Flight) -> Option<Start> {
        let (routed, route_state) = (flight.routed()?, flight.route_state.as_ref()?);
        let left = flight.deadline.since(now);
        let account = &flight.context.account;
        let last_reason = flight.last_failure.as_ref().map(|failure| failure.reason);
        let has_found_closed = last_reason == Some(Reason::ConnectionClosed);
        let metadata = Metadata {
            label: routed.label.clone(),
            account: flight
                .context
                .node
                .account
                .is_some()
                .then(|| account.clone()),
            upstream: flight.upstream.clone(),
            model: route_state.route.sizes.get(route_state.size_index).cloned(),
            rank: flight.rank(),
            last_event_id: route_state.last_event,
            stream: route_state.route.stream,
            new_connection: flight.at_most_once || has_found_closed,
        };
        Some(Start {
            run: flight.run,
            account: account.clone(),
            weight: flight.context.node.weight(),
            class: flight.context.class,
            version: flight.version().cloned(),
            deadline_us: left.micros(),
            tokens: flight.cost(),
            may_queue: true,
            revision: self.tree.revision(),
            call: routed.call.clone(),
            metadata: Some(Box::new(metadata)),
        })
    }
}

impl Flight {
    /// Returns what a run of the request requires of its upstream, which is not one of `tried`,
    /// without a rate and a canary.
    pub(super) fn criteria<'a>(
        &'a self,
        hall: Option<&'a Hall>,
        tried: &'a [Link],
    ) -> Criteria<'a> {
        Criteria {
            pool: &self.pool,
            tokens: self.prompt_tokens(),
            urgent: false,
            rank: self.rank(),
            prefixes: self.prefixes(),
            shared_prefix: self.shared_prefix(),
            last_upstream: None,
            tried,
            constraints: Constraints {
                hall,
                release: self.version(),
                subset: None,
                regions: self.regions(),
            },
            prefill_rate: None,
            scope: Scope::Hall,
        }
    }

    /// Returns the regions that the route and the client account allow for the request.
    pub(in crate::entry) fn regions(&self) -> [Option<&BTreeSet<Region>>; 2] {
        let route_state = self.route_state.as_ref();
        let of_route = route_state.and_then(|route_state| route_state.route.regions.as_ref());
        [of_route, self.context.node.regions.as_ref()]
    }

    /// Returns the queueing rank, ordered by the rank of the client account and then that of the
    /// route.
    ///
    /// A resumed stream ranks behind all new requests of the same account rank: it is already late,
    /// and after all entries lost power the interrupted streams of about ten seconds return
    /// together.
    pub(super) fn rank(&self) -> u8 {
        /// The number of route ranks within one account rank.
        const ROUTE_RANKS: u8 = 3;
        /// The highest rank value that engines accept.
        const MAX_RANK: u8 = 9;
        let account = self.context.node.rank.unwrap_or(0);
        let resumes = self.routed().is_some_and(|r| r.is_resumption);
        let route = self.route_state.as_ref().map_or(0, |t| t.route.rank);
        account
            .saturating_add(u8::from(resumes))
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route.min(ROUTE_RANKS - 1))
            .min(MAX_RANK)
    }
}
