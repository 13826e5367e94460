//! How an entry takes a request in: who asks, for what, and whether the limits
//! allow it.

use super::flight::{Flight, Goal};
use super::*;

/// A request that was not taken in.
struct Refused {
    failure: Failure,
    done: Summary,
}

impl Refused {
    fn new(
        request: RequestId,
        account: Option<AccountId>,
        class: Class,
        plain: bool,
        failure: Failure,
    ) -> Box<Refused> {
        let done = Summary {
            request,
            account,
            class,
            plain,
            first_byte: None,
            duration: Span::default(),
            failure: Some(failure.reason),
        };
        Box::new(Refused { failure, done })
    }
}

impl Entry {
    pub(super) fn ask(&mut self, now: Time, ask: Request, out: &mut Outputs) {
        let request = ask.request;
        self.history
            .begin(request, self.tree.revision(), ask.payload.name());
        let admitted = self.admit(now, ask);
        if let Ok((flight, _)) = &admitted {
            let fingerprint = Some(flight.fingerprint);
            self.history.note(request, |d| d.fingerprint = fingerprint);
        }
        match admitted {
            Ok((flight, Action::Route)) => self.begin(now, flight, out),
            Ok((flight, action)) => self.forward(now, flight, action, out),
            Err(refused) => {
                let Refused { failure, done } = *refused;
                self.history
                    .note(request, |d| d.failure = Some(failure.clone()));
                out.push(Output::Answer(request, Part::Fail(failure)));
                out.push(Output::RequestEnded(done));
            }
        }
    }

    /// Finds what the request is to get, and takes it in if its client account
    /// and the limits allow.
    fn admit(&mut self, now: Time, ask: Request) -> Result<(Flight, Action), Box<Refused>> {
        let request = ask.request;
        let plain = matches!(ask.payload, Payload::Plain(_));
        let refused = |failure| Refused::new(request, None, Class::default(), plain, failure);
        if self.leaving {
            let failure = Failure::not_run(Reason::Leaving, "this entry is about to stop");
            return Err(refused(failure.retry_after(Span::default())));
        }
        if matches!(ask.payload, Payload::Routed(_)) {
            return self.admit_routed(now, ask);
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
        let (account, class) = (site.account.clone(), site.class);
        let refused = |failure| Refused::new(request, Some(account.clone()), class, plain, failure);
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

    /// Takes in a request that a route describes.
    fn admit_routed(&mut self, now: Time, ask: Request) -> Result<(Flight, Action), Box<Refused>> {
        let request = ask.request;
        let refused = |failure| Refused::new(request, None, Class::default(), false, failure);
        let Payload::Routed(routed) = &ask.payload else {
            unreachable!("only routed requests come here");
        };
        let located = self.locate(routed, ask.key.as_deref());
        let (site, terms) = located.map_err(refused)?;
        self.history.note(ask.request, |d| {
            d.account = Some(site.account.clone());
            d.class = Some(site.class);
        });
        let timeout = terms.route.timeout;
        let left = routed.time_left.map_or(timeout, |left| left.min(timeout));
        let once = !terms.route.may_repeat();
        let mut flight = Flight::new(ask, site, now, now + left);
        flight.goal = Goal::Routed;
        flight.once = once;
        flight.terms = Some(terms);
        Ok((flight, Action::Route))
    }

    pub(super) fn prepare(
        &self,
        now: Time,
        ask: Request,
        site: Context,
    ) -> Result<Flight, Failure> {
        let (goal, pool, once) = match &ask.payload {
            Payload::Chat(chat) => {
                let goal = route::target(&self.tree, &site, &chat.model)?;
                (Goal::from(goal), None, false)
            }
            Payload::Routed(_) => (Goal::Routed, None, false),
            Payload::Plain(call) => {
                let (pool, once) = self.service(&site, call)?;
                (Goal::Service, Some(pool), once)
            }
        };
        let session = self.open_session(&ask, &site)?;
        let deadline = now + site.node.deadline();
        let once = once || ask.at_most_once;
        let mut flight = Flight::new(ask, site, now, deadline);
        flight.session = session;
        flight.goal = goal;
        flight.once = once;
        if let Some(pool) = pool {
            flight.pool = pool;
        }
        Ok(flight)
    }

    pub(super) fn service(&self, site: &Context, call: &Call) -> Result<(PoolId, bool), Failure> {
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

    pub(super) fn open_session(
        &self,
        ask: &Request,
        site: &Context,
    ) -> Result<Option<Session>, Failure> {
        let (Some(token), Payload::Chat(chat)) = (&ask.session, &ask.payload) else {
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
    pub(super) fn forward(
        &mut self,
        now: Time,
        mut flight: Flight,
        action: Action,
        out: &mut Outputs,
    ) {
        let request = flight.ask.request;
        if action == Action::Observe {
            let outcome = match self.choose(&mut flight) {
                Ok(()) => "observed only".to_owned(),
                Err(failure) => failure.to_string(),
            };
            self.note_try(now, &flight, None, outcome);
        }
        let address = flight.site.node.forward_to.clone().unwrap_or_default();
        out.push(Output::Forward(request, address));
    }

    pub(super) fn begin(&mut self, now: Time, flight: Flight, out: &mut Outputs) {
        let request = flight.ask.request;
        let claim = match (&flight.ask.idempotency_key, flight.once) {
            (Some(key), true) => Some(format!("claim/{}/{key}", flight.site.account)),
            _ => None,
        };
        self.flights.insert(request, flight);
        match claim {
            Some(claim) => out.push(Output::Claim(request, claim)),
            None => self.dispatch(now, request, out),
        }
    }

    pub(super) fn claimed(
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
}
