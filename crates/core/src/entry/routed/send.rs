//! How a routed request is sent to an upstream.

use super::*;
use crate::pick::{self, Chosen, Constraints, Peer};
use crate::release::{Affinity, Canary, SESSION_TTL};
use crate::wire::Metadata;

/// The reading from which on other entries are told of it: it reaches them after some
/// 60 ms, and what is shorter is mostly over by then.
const TELL_FROM: Span = Span::from_millis(100);

impl Entry {
    /// Chooses pool and release for a routed request, and the few upstreams to which
    /// a release on trial is held.
    fn choose_routed(&mut self, now: Time, flight: &mut Flight) -> Result<Option<Canary>, Failure> {
        let Some(terms) = &flight.terms else {
            return Ok(None);
        };
        let session = flight.routed().and_then(|r| r.session);
        if flight.is_first() {
            let draw = self.rng.random::<f64>();
            let pool = terms.route.pool(draw).cloned();
            flight.pool = pool.ok_or_else(|| none_left(&flight.pool))?;
            self.budget(&flight.pool).deposit(now);
        }
        let draw = self.rng.random::<f64>();
        let present = self.peers.releases(&flight.pool);
        let release = self
            .releases
            .choose(&flight.pool, session, draw, now, &present);
        let few = release
            .as_ref()
            .and_then(|release| self.releases.canary(&flight.pool, release, now, &present));
        flight.choice = release.map(|version| Choice {
            version,
            cause: Cause::Split,
        });
        self.note_stay(now, flight, flight.deadline.since(now) + SESSION_TTL);
        Ok(few)
    }

    /// Notes at which release the session of a request is, and for how long its next request
    /// may come.
    pub(in crate::entry) fn note_stay(&mut self, now: Time, flight: &Flight, left: Span) {
        let session = flight.routed().and_then(|r| r.session);
        if let (Some(session), Some(release)) = (session, flight.version()) {
            let stay = Affinity {
                pool: flight.pool.clone(),
                release: release.clone(),
                session,
                left,
            };
            self.releases.set_affinity(stay, now);
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
        let few = self.choose_routed(now, flight)?;
        flight.name_chain();
        let subject = flight.terms.as_ref().map(|t| t.subject(&flight.pool));
        let rate = subject.as_ref().map(|subject| self.readings.rate(subject));
        let scope = self.scope(now, flight, rate);
        let apart = self.apart(now, flight);
        let wish = Criteria {
            pool: &flight.pool,
            tokens: flight.prompt_tokens(),
            urgent: false,
            rank: flight.rank(),
            prefixes: flight.chain(),
            shared_prefix: flight.shared(),
            last_upstream: None,
            tried: &apart,
            constraints: Constraints {
                hall: self.settings.hall.as_ref(),
                release: flight.version(),
                subset: few,
                regions: flight.regions(),
            },
            prefill_rate: rate,
            scope,
        };
        let draw = self.rng.random::<f64>();
        let chosen = self
            .peers
            .choose_distinct(&wish, &flight.tried, self.settings.policy, now, draw)
            .ok_or_else(|| self.none_takes(&flight.pool, now))?;
        self.begin_run(now, flight, chosen.link)?;
        let outlook = self.outlook(subject.as_ref(), &chosen);
        self.peers.prefill_started(chosen.link, outlook.reading);
        if outlook.reading >= TELL_FROM {
            let number = self.peers.get(chosen.link).map(Peer::start_id);
            out.extend(number.map(|number| Output::Prefill(number, outlook.reading)));
        }
        self.history.note(flight.ask.request, |decision| {
            if let Some(last) = decision.attempts.last_mut() {
                last.forecast = Some(outlook.due());
            }
        });
        if let Some(terms) = &mut flight.terms {
            terms.sent = now;
            terms.runs += 1;
            terms.outlook = outlook;
            terms.told_slow = false;
        }
        if let Some(start) = self.routed_start(now, flight) {
            out.push(Output::Send(chosen.link, Frame::Start(Box::new(start))));
        }
        Ok(())
    }

    /// Returns how widely the shared beginning of a request is kept, and notes that it
    /// is asked for.
    fn scope(&mut self, now: Time, flight: &Flight, rate: Option<Rate>) -> Scope {
        let (Some(terms), Some(shared), Some(rate)) = (&flight.terms, flight.shared(), rate) else {
            return Scope::Hall;
        };
        let kind = (terms.name.clone(), terms.size);
        if flight.run.attempt == 0 {
            self.reuse.record(&kind, shared.hash, now);
        }
        let reading = f64::from(shared.tokens) / rate.per_second().max(1.0);
        let halls = self.peers.hall_count(&flight.pool);
        let reading = Span::from_secs_f64(reading);
        let weight = self.strains.latency_weight(&flight.pool);
        self.reuse
            .scope(&kind, reading, self.entries, halls, weight)
    }

    /// Returns what a run is expected to take at the upstream chosen for it.
    fn outlook(&self, subject: Option<&Workload>, chosen: &Chosen) -> Outlook {
        let Some(subject) = subject else {
            return Outlook::default();
        };
        Outlook {
            fresh: chosen.uncached_tokens,
            reading: self.readings.estimate(subject, chosen.uncached_tokens),
            behind: pick::prefill_wait(chosen.pending_prefill),
            reads: true,
        }
    }

    fn routed_start(&self, now: Time, flight: &Flight) -> Option<Start> {
        let (routed, terms) = (flight.routed()?, flight.terms.as_ref()?);
        let left = flight.deadline.since(now);
        let account = &flight.site.account;
        let order = Metadata {
            label: routed.label.clone(),
            account: flight.site.node.account.is_some().then(|| account.clone()),
            upstream: flight.upstream.clone(),
            model: terms.route.sizes.get(terms.size).cloned(),
            rank: flight.rank(),
            last_event_id: terms.last,
            stream: terms.route.stream,
            at_most_once: flight.once,
        };
        Some(Start {
            run: flight.run,
            account: account.clone(),
            weight: flight.site.node.weight(),
            class: flight.site.class,
            version: flight.version().cloned(),
            deadline_us: left.micros(),
            tokens: flight.cost(),
            may_queue: true,
            revision: self.tree.revision(),
            call: routed.call.clone(),
            metadata: Some(Box::new(order)),
        })
    }
}

impl Flight {
    /// Returns the regions in which the request may be served, by its route and its client account.
    pub(in crate::entry) fn regions(&self) -> [Option<&BTreeSet<Region>>; 2] {
        let terms = self.terms.as_ref();
        let of_route = terms.and_then(|terms| terms.route.regions.as_ref());
        [of_route, self.site.node.regions.as_ref()]
    }

    /// Returns the order among waiting requests: that of the client account goes before that of
    /// the route.
    ///
    /// What goes on with a stream that broke off goes behind all that is as urgent for
    /// its account: it is late already, and after a loss of power to all entries the
    /// streams of ten seconds come back at once.
    fn rank(&self) -> u8 {
        /// The ranks of routes that one rank of an account stands above.
        const ROUTES: u8 = 3;
        /// The last rank that engines know.
        const LAST: u8 = 9;
        let account = self.site.node.rank.unwrap_or(0);
        let resumes = self.routed().is_some_and(|r| r.is_resumption);
        let route = self.terms.as_ref().map_or(0, |t| t.route.rank);
        account
            .saturating_add(u8::from(resumes))
            .saturating_mul(ROUTES)
            .saturating_add(route.min(ROUTES - 1))
            .min(LAST)
    }
}
