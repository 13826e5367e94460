//! Admission of requests: identifies the caller and the target and checks the limits.

use super::flight::{Flight, Goal};
use super::*;

/// A refused request.
struct Refusal {
    failure: Failure,
    summary: Summary,
}

impl Refusal {
    fn new(
        request: RequestId,
        account: Option<AccountId>,
        class: Class,
        plain: bool,
        failure: Failure,
    ) -> Box<Refusal> {
        let summary = Summary {
            request,
            account,
            class,
            plain,
            first_byte: None,
            duration: Span::default(),
            failure: Some(failure.reason),
        };
        Box::new(Refusal { failure, summary })
    }
}

impl Entry {
    pub(super) fn handle_request(&mut self, now: Time, incoming: Request, out: &mut Outputs) {
        let request = incoming.request;
        self.history
            .begin(request, self.tree.revision(), incoming.payload.name());
        let admitted = self.admit(now, incoming);
        if let Ok((flight, _)) = &admitted {
            self.history.update(request, |d| {
                d.fingerprint = Some(flight.fingerprint);
                d.prompt_parts.clone_from(&flight.prompt_parts);
            });
        }
        match admitted {
            Ok((flight, Action::Route)) => self.begin(now, flight, out),
            Ok((flight, action)) => self.forward(now, flight, action, out),
            Err(refused) => {
                let Refusal { failure, summary } = *refused;
                self.history
                    .update(request, |d| d.failure = Some(failure.clone()));
                out.push(Output::Answer(request, Part::Fail(failure)));
                out.push(Output::RequestEnded(summary));
            }
        }
    }

    /// Resolves the client account and the target of a request and admits it if both allow it and
    /// the limits leave room.
    fn admit(&mut self, now: Time, incoming: Request) -> Result<(Flight, Action), Box<Refusal>> {
        let request = incoming.request;
        let plain = matches!(incoming.payload, Payload::Plain(_));
        let refused = |failure| Refusal::new(request, None, Class::default(), plain, failure);
        if self.draining {
            let failure = Failure::not_run(Reason::Leaving, "this entry is about to stop");
            return Err(refused(failure.retry_after(Span::default())));
        }
        if matches!(incoming.payload, Payload::Routed(_)) {
            return self.admit_routed(now, incoming);
        }
        let caller = Caller {
            key: incoming.key.as_deref(),
            route: incoming.route.as_deref(),
            class: incoming.class.as_deref(),
        };
        let context = route::identify(&self.tree, &caller).map_err(refused)?;
        self.history.update(incoming.request, |d| {
            d.node = Some(context.path.clone());
            d.account = Some(context.account.clone());
            d.class = Some(context.class);
        });
        let (account, class) = (context.account.clone(), context.class);
        let refused = |failure| Refusal::new(request, Some(account.clone()), class, plain, failure);
        let action = context.node.action();
        let flight = self.prepare(now, incoming, context).map_err(refused)?;
        if action == Action::Route {
            let tokens = flight.prompt_tokens() + flight.chat().map_or(0, |c| c.max_tokens);
            self.limits
                .admit(&flight.context.account, &flight.context.node, tokens, now)
                .map_err(refused)?;
        }
        Ok((flight, action))
    }

    /// Admits a request that matches a route.
    fn admit_routed(
        &mut self,
        now: Time,
        incoming: Request,
    ) -> Result<(Flight, Action), Box<Refusal>> {
        let request = incoming.request;
        let refused = |failure| Refusal::new(request, None, Class::default(), false, failure);
        let Payload::Routed(routed) = &incoming.payload else {
            unreachable!("only routed requests come here");
        };
        let resolved = self.resolve_route(routed, incoming.key.as_deref());
        let (context, route_state) = resolved.map_err(refused)?;
        self.history.update(incoming.request, |d| {
            d.account = Some(context.account.clone());
            d.class = Some(context.class);
        });
        let timeout = route_state.route.timeout;
        let time_left = routed
            .time_left
            .map_or(timeout, |time_left| time_left.min(timeout));
        let at_most_once = !route_state.route.may_repeat();
        let mut flight = Flight::new(incoming, context, now, now + time_left);
        flight.goal = Goal::Routed;
        flight.at_most_once = at_most_once;
        flight.route_state = Some(route_state);
        let (account, class) = (flight.context.account.clone(), flight.context.class);
        let refused = |failure| Refusal::new(request, Some(account), class, false, failure);
        self.check_stop(now, &flight).map_err(refused)?;
        Ok((flight, Action::Route))
    }

    pub(super) fn prepare(
        &self,
        now: Time,
        incoming: Request,
        context: Context,
    ) -> Result<Flight, Failure> {
        let (goal, pool, at_most_once) = match &incoming.payload {
            Payload::Chat(chat) => {
                let goal = route::target(&self.tree, &context, &chat.model)?;
                (Goal::from(goal), None, false)
            }
            Payload::Routed(_) => (Goal::Routed, None, false),
            Payload::Plain(call) => {
                let (pool, at_most_once) = self.service(&context, call)?;
                (Goal::Service, Some(pool), at_most_once)
            }
        };
        let session = self.open_session(&incoming, &context)?;
        let deadline = now + context.node.deadline();
        let at_most_once = at_most_once || incoming.at_most_once;
        let mut flight = Flight::new(incoming, context, now, deadline);
        flight.session = session;
        flight.goal = goal;
        flight.at_most_once = at_most_once;
        if let Some(pool) = pool {
            flight.pool = pool;
        }
        Ok(flight)
    }

    pub(super) fn service(
        &self,
        context: &Context,
        call: &Call,
    ) -> Result<(PoolId, bool), Failure> {
        let unknown =
            || Failure::not_run(Reason::UnknownPath, format!("there is no {}", call.path));
        let (name, pool) = self.tree.service_of_path(&call.path).ok_or_else(unknown)?;
        debug_assert_eq!(pool.kind, Kind::Plain);
        if !context.node.allows_service(name) {
            let message = format!("client account {} may not call {name}", context.account);
            return Err(Failure::not_run(Reason::NotAllowed, message));
        }
        Ok((name.clone(), !pool.may_repeat(&call.method)))
    }

    pub(super) fn open_session(
        &self,
        incoming: &Request,
        context: &Context,
    ) -> Result<Option<Session>, Failure> {
        let (Some(token), Payload::Chat(chat)) = (&incoming.session, &incoming.payload) else {
            return Ok(None);
        };
        let bad = |message: &str| Failure::not_run(Reason::BadSession, message);
        let session = self
            .settings
            .keys
            .open(token)
            .map_err(|e| bad(&e.to_string()))?;
        if session.account != context.account {
            return Err(bad("the session belongs to another client account"));
        }
        if session.model != chat.model {
            return Err(bad("the session belongs to another model"));
        }
        Ok(Some(session))
    }

    /// Forwards a request to the legacy scripts; with [`Action::Observe`], also records the
    /// decision that the entry would have made.
    pub(super) fn forward(
        &mut self,
        now: Time,
        mut flight: Flight,
        action: Action,
        out: &mut Outputs,
    ) {
        let request = flight.request.request;
        if action == Action::Observe {
            let outcome = match self.select_version(&mut flight) {
                Ok(()) => "observed only".to_owned(),
                Err(failure) => failure.to_string(),
            };
            self.record_attempt(now, &flight, None, outcome);
        }
        let address = flight.context.node.forward_to.clone().unwrap_or_default();
        out.push(Output::Forward(request, address));
    }

    pub(super) fn begin(&mut self, now: Time, flight: Flight, out: &mut Outputs) {
        let request = flight.request.request;
        let claim = match (&flight.request.idempotency_key, flight.at_most_once) {
            (Some(key), true) => Some(format!("claim/{}/{key}", flight.context.account)),
            _ => None,
        };
        self.flights.insert(request, flight);
        match claim {
            Some(claim) => out.push(Output::Claim(request, claim)),
            None => self.dispatch(now, request, out),
        }
    }

    pub(super) fn on_claimed(
        &mut self,
        now: Time,
        request: RequestId,
        claim: Result<(), Failure>,
        out: &mut Outputs,
    ) {
        match claim {
            Ok(()) => self.dispatch(now, request, out),
            Err(failure) => self.fail(now, request, failure, out),
        }
    }
}
