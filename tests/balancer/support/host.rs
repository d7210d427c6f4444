//! A host for one balancer that executes its actions and checks every invariant.

use super::rules::{check_cancellation, check_deadlines, check_dispatch, check_rejection};
use super::tracked_request::{Attempt, AttemptId, RequestOutcome, TrackedRequest};
use load_balancer::{
    Action, AttemptNumber, AttemptResult, Backend, BackendId, BackendState, Balancer, ClassId, Config,
    ConfigUpdate, DiscoveryMode, EndpointListUpdate, Event, LogEvent, Micros, Outcome, RequestArrival,
    RequestId, TenantId, Time, TimerToken,
};
use std::collections::BTreeMap;

/// A timer that the balancer has set.
pub struct PendingTimer {
    pub due: Time,
    pub token: TimerToken,
}

/// A balancer with its requests and backends, and a clock that the test advances.
pub struct Host {
    pub config: Config,
    pub balancer: Balancer,
    pub now: Time,
    pub backends: BTreeMap<BackendId, Backend>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub timers: Vec<PendingTimer>,
    /// Number of [`Action::Resubscribe`] so far.
    pub resubscriptions: u32,
    /// Cancelled attempts that have not ended yet.
    pub cancelled: Vec<AttemptId>,
    pub logs: Vec<LogEvent>,
    /// The actions of the last event.
    pub last_actions: Vec<Action>,
    /// Passed with every request that arrives from now on.
    pub is_client_retry: bool,
    /// Passed with every request that arrives from now on.
    pub expected_work: Option<Micros>,
    last_request_id: u64,
}

impl Host {
    pub fn new(config: Config, seed: u64) -> Host {
        let balancer = Balancer::new(config.clone(), seed).expect("invalid configuration");
        Host {
            config,
            balancer,
            now: Time(1_000_000_000),
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            resubscriptions: 0,
            cancelled: Vec::new(),
            logs: Vec::new(),
            last_actions: Vec::new(),
            is_client_retry: false,
            expected_work: None,
            last_request_id: 0,
        }
    }

    /// Passes an event to the balancer and executes the resulting actions.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.last_actions = actions.clone();
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, backend, .. } => self.dispatch(request, backend),
            Action::Reject { request } => {
                let request = self.requests.get_mut(&request).expect("an unknown request was rejected");
                check_rejection(request);
                assert!(
                    request.outcome.replace(RequestOutcome::Rejected).is_none(),
                    "a request was rejected after its final response"
                );
            }
            Action::Fail { request } => {
                let request = self.requests.get_mut(&request).expect("an unknown request was failed");
                assert!(
                    request.outcome.replace(RequestOutcome::Failed).is_none(),
                    "a request was failed after its final response"
                );
            }
            Action::CancelAttempt { request, attempt } => {
                let number = attempt.0 as usize;
                check_cancellation(&self.config, &self.requests[&request], number);
                self.cancelled.push(AttemptId { request, number });
            }
            Action::SetTimer { token, delay } => {
                self.timers.push(PendingTimer { due: self.now + delay, token });
            }
            Action::Resubscribe => {
                assert_ne!(self.config.discovery, DiscoveryMode::Push);
                self.resubscriptions += 1;
            }
            Action::Log(event) => self.logs.push(event),
        }
    }

    fn dispatch(&mut self, request: RequestId, backend: BackendId) {
        let request = self.requests.get_mut(&request).expect("an unknown request was dispatched");
        let listed = self.backends.get(&backend).expect("an attempt was dispatched to an unlisted backend");
        check_dispatch(&self.config, request, listed, self.now);
        let (zone, cell, dispatched_at) = (listed.zone, listed.cell, self.now);
        request.attempts.push(Attempt { backend, zone, cell, dispatched_at, outcome: None });
    }

    /// Passes an endpoint list update to the balancer.
    pub fn update_endpoints(&mut self, update: EndpointListUpdate, backends: Vec<Backend>) {
        if matches!(update, EndpointListUpdate::Snapshot | EndpointListUpdate::Cached) {
            for backend in self.backends.values_mut() {
                backend.state = BackendState::Removed;
            }
        }
        for backend in &backends {
            self.backends.insert(backend.id, backend.clone());
        }
        self.handle(Event::EndpointListChanged { update, backends });
    }

    /// Replaces the configuration; `previous_classes` and `previous_tenants` as in [`ConfigUpdate`].
    pub fn reconfigure_from(
        &mut self, config: Config, previous_classes: Vec<Option<ClassId>>,
        previous_tenants: Vec<Option<TenantId>>,
    ) {
        self.config = config.clone();
        self.handle(Event::ConfigReplaced(Box::new(ConfigUpdate {
            config,
            previous_classes,
            previous_tenants,
        })));
    }

    /// Replaces the configuration by one in which classes and tenants keep their numbers.
    pub fn reconfigure(&mut self, config: Config) {
        let classes = (0..config.classes.len()).map(|class| Some(ClassId(class))).collect();
        let tenants = (0..config.tenants.len()).map(|tenant| Some(TenantId(tenant))).collect();
        self.reconfigure_from(config, classes, tenants);
    }

    /// Lets a request without a tenant arrive.
    pub fn arrive(&mut self, class: usize, time_left_us: u64) -> RequestId {
        self.arrive_for(class, time_left_us, None)
    }

    /// Lets a request arrive.
    pub fn arrive_for(&mut self, class: usize, time_left_us: u64, tenant: Option<TenantId>) -> RequestId {
        self.last_request_id += 1;
        let id = RequestId(self.last_request_id);
        let tracked = TrackedRequest {
            class,
            class_on_arrival: self.config.classes[class].clone(),
            max_attempts: self.config.max_attempts,
            deadline: self.now + Micros(time_left_us),
            attempts: Vec::new(),
            is_streaming: false,
            outcome: None,
        };
        self.requests.insert(id, tracked);
        self.handle(Event::RequestArrived(RequestArrival {
            request: id,
            class: ClassId(class),
            tenant,
            time_left: Micros(time_left_us),
            expected_work: self.expected_work,
            is_client_retry: self.is_client_retry,
        }));
        id
    }

    /// Lets `count` requests arrive at once.
    pub fn burst(&mut self, count: usize, class: usize, time_left_us: u64) -> Vec<RequestId> {
        (0..count).map(|_| self.arrive(class, time_left_us)).collect()
    }

    /// Disconnects the client of a request.
    pub fn disconnect(&mut self, id: RequestId) {
        self.requests.get_mut(&id).expect("the test disconnects an unknown request").outcome =
            Some(RequestOutcome::ClientDisconnected);
        self.handle(Event::ClientDisconnected { request: id });
    }

    /// Passes one event of each type that refers to a request, an attempt or a timer to the balancer, with
    /// these unknown ids.
    pub fn handle_unknown_ids(&mut self, request: RequestId, attempt: AttemptNumber, token: TimerToken) {
        let (outcome, latency) = (Outcome::ErrorResponse, Micros(5));
        self.handle(Event::TimerFired { token });
        self.handle(Event::ClientDisconnected { request });
        self.handle(Event::ResponseStarted { request, attempt });
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome,
            latency,
            final_response_sent: false,
        }));
    }

    /// Ends an attempt; does nothing if it is not in flight.
    pub fn end_attempt(&mut self, id: RequestId, number: usize, outcome: Outcome) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let in_flight = request.attempts.get_mut(number).filter(|attempt| attempt.outcome.is_none());
        let Some(attempt) = in_flight else { return };
        attempt.outcome = Some(outcome);
        let latency = now - attempt.dispatched_at;
        if outcome == Outcome::Success && request.outcome.is_none() {
            request.outcome = Some(RequestOutcome::Served);
        }
        let final_response_sent = request.outcome.is_some();
        let attempt = AttemptNumber(number as u32);
        self.handle(Event::AttemptEnded(AttemptResult {
            request: id,
            attempt,
            outcome,
            latency,
            final_response_sent,
        }));
    }

    /// Starts to stream the response to an attempt; does nothing if the attempt is not in flight or the
    /// request is not pending.
    pub fn start_stream(&mut self, id: RequestId, number: usize) {
        let is_pending = |request: &&mut TrackedRequest| request.outcome.is_none() && !request.is_streaming;
        let Some(request) = self.requests.get_mut(&id).filter(is_pending) else { return };
        if request.attempts.get(number).is_some_and(|attempt| attempt.outcome.is_none()) {
            request.is_streaming = true;
            self.handle(Event::ResponseStarted { request: id, attempt: AttemptNumber(number as u32) });
        }
    }

    /// Advances the clock in ticks. In each tick, fires the timers that are due, ends cancelled attempts,
    /// times out attempts whose request has reached its deadline, and checks that every request has its final
    /// response in time.
    pub fn advance(&mut self, duration_us: u64) {
        let end = self.now + Micros(duration_us);
        while self.now < end {
            self.now = (self.now + self.config.tick).min(end);
            self.fire_timers();
            for AttemptId { request, number } in std::mem::take(&mut self.cancelled) {
                self.end_attempt(request, number, Outcome::Cancelled);
            }
            self.time_out_attempts();
            check_deadlines(&self.requests, self.now);
        }
    }

    fn fire_timers(&mut self) {
        let timers = std::mem::take(&mut self.timers);
        let (due, pending): (Vec<_>, Vec<_>) = timers.into_iter().partition(|timer| timer.due <= self.now);
        self.timers = pending;
        for timer in due {
            self.handle(Event::TimerFired { token: timer.token });
        }
    }

    fn time_out_attempts(&mut self) {
        for AttemptId { request: id, number } in self.in_flight() {
            let request = &self.requests[&id];
            if request.deadline <= self.now && !request.is_streaming {
                self.end_attempt(id, number, Outcome::TimedOut);
            }
        }
    }

    /// Whether an ejection of the backend was logged.
    pub fn has_ejected(&self, id: BackendId) -> bool {
        let is_of =
            |event: &LogEvent| matches!(event, LogEvent::BackendEjected { backend, .. } if *backend == id);
        self.logs.iter().any(is_of)
    }

    /// Whether an ejection of any backend was logged.
    pub fn has_ejected_any(&self) -> bool {
        self.logs.iter().any(|event| matches!(event, LogEvent::BackendEjected { .. }))
    }

    /// The backends of a request's attempts, in order of dispatch.
    pub fn dispatched_to(&self, id: RequestId) -> Vec<u32> {
        self.requests[&id].attempts.iter().map(|attempt| attempt.backend.0 as u32).collect()
    }

    /// How a request ended; `None` while it is pending.
    pub fn outcome_of(&self, id: RequestId) -> Option<RequestOutcome> {
        self.requests[&id].outcome
    }

    /// Advances the clock, then ends every attempt in flight with success.
    pub fn serve_all(&mut self, duration_us: u64) {
        self.advance(duration_us);
        self.end_all(|_| Outcome::Success);
    }

    /// Ends every attempt in flight with the outcome that `outcome_of` returns for its backend.
    pub fn end_all(&mut self, mut outcome_of: impl FnMut(u32) -> Outcome) {
        for AttemptId { request, number } in self.in_flight() {
            let backend = self.dispatched_to(request)[number];
            self.end_attempt(request, number, outcome_of(backend));
        }
    }

    pub fn in_flight(&self) -> Vec<AttemptId> {
        let of_request = |(id, request): (&RequestId, &TrackedRequest)| {
            let attempts = request.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.outcome.is_none());
            in_flight.map(|(number, _)| AttemptId { request: *id, number }).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(of_request).collect()
    }
}

/// Serves `count` requests one after another, each within the `duration_us` of its backend. Returns the
/// backends in order of dispatch. A request that is not dispatched on arrival adds none, and 5 ms pass.
pub fn serve(host: &mut Host, count: usize, class: usize, duration_us: impl Fn(u32) -> u64) -> Vec<u32> {
    let mut chosen = Vec::new();
    for _ in 0..count {
        let id = host.arrive(class, 900_000);
        let dispatched_to = host.dispatched_to(id);
        chosen.extend(&dispatched_to);
        host.advance(dispatched_to.first().map_or(5_000, |backend| duration_us(*backend)));
        host.end_attempt(id, 0, Outcome::Success);
    }
    chosen
}
