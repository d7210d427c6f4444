//! Drives one balancer with a virtual clock, so that the measured time is that of the balancer plus a small
//! overhead of this driver.

use crate::plan::Point;
use crate::random::Random;
use crate::timer_queue::TimerQueue;
use load_balancer::{
    Action, AttemptNumber, AttemptResult, Balancer, ClassId, Config, ConfigError, Event, Micros, Outcome,
    RequestArrival, RequestId, TenantId, Time,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant;

/// Initial time of the virtual clock.
const START_TIME: Time = Time(1_000_000_000);

/// A request that has no final response yet, or has attempts in flight.
#[derive(Default)]
struct OpenRequest {
    attempt_count: u32,
    in_flight: u32,
    has_final_response: bool,
}

/// The scheduled end of an attempt in flight, ordered by time, then by request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    due_at: Time,
    request: RequestId,
    attempt: AttemptNumber,
    dispatched_at: Time,
}

/// Feeds events to one balancer and executes its actions.
pub(super) struct Host {
    balancer: Balancer,
    tick: Micros,
    now: Time,
    random: Random,
    rate_per_s: f64,
    deadline: Micros,
    mean_service_time: Micros,
    classes: u32,
    tenants: u32,
    request_count: u64,
    requests: HashMap<RequestId, OpenRequest>,
    attempt_ends: BinaryHeap<Reverse<AttemptEnd>>,
    timers: TimerQueue,
    actions: Vec<Action>,
}

impl Host {
    pub fn new(point: &Point, config: Config, seed: u64) -> Result<Host, ConfigError> {
        Ok(Host {
            tick: config.tick,
            balancer: Balancer::new(config, seed)?,
            now: START_TIME,
            random: Random::new(seed),
            rate_per_s: point.rate_per_s,
            deadline: Micros(point.deadline_ms * 1_000),
            mean_service_time: Micros::from_secs(point.service_ms / 1e3),
            classes: point.classes,
            tenants: point.tenants,
            request_count: 0,
            requests: HashMap::new(),
            attempt_ends: BinaryHeap::new(),
            timers: TimerQueue::default(),
            actions: Vec::new(),
        })
    }

    /// Returns the wall-clock time that `work` takes, in microseconds.
    pub fn measure_us(&mut self, work: impl FnOnce(&mut Host)) -> f64 {
        let start = Instant::now();
        work(self);
        start.elapsed().as_secs_f64() * 1e6
    }

    /// Passes an event to the balancer and executes the resulting actions.
    pub fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, .. } => self.dispatch(request),
            Action::Reject { request } | Action::Fail { request } => self.record_final_response(request),
            Action::SetTimer { token, delay } => self.timers.set(self.now + delay.max(self.tick), token),
            Action::CancelAttempt { .. } | Action::Resubscribe | Action::Log(_) => {}
        }
    }

    /// Advances the clock to the next arrival, processes everything that is due before it, and passes the
    /// request to the balancer.
    pub fn run_request(&mut self) {
        let wait = self.random.interarrival_time(self.rate_per_s);
        self.advance_to(self.now + Micros(wait.as_micros() as u64));
        self.request_count += 1;
        let request = RequestId(self.request_count);
        let class = ClassId(self.random.below(self.classes) as usize);
        let tenant = (self.tenants > 0).then(|| TenantId(self.random.below(self.tenants) as usize));
        self.requests.insert(request, OpenRequest::default());
        self.handle(Event::RequestArrived(RequestArrival {
            request,
            class,
            tenant,
            time_left: self.deadline,
            expected_work: None,
            is_client_retry: false,
        }));
    }

    /// Advances the clock to `until` and processes all attempt ends and timers that are due, in order.
    fn advance_to(&mut self, until: Time) {
        loop {
            let attempt_end = self.attempt_ends.peek().map_or(Time::NEVER, |Reverse(end)| end.due_at);
            let timer = self.timers.next_due();
            let next = attempt_end.min(timer);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            if attempt_end <= timer {
                self.end_next_attempt();
            } else if let Some(token) = self.timers.take_due(self.now) {
                self.handle(Event::TimerFired { token });
            }
        }
    }

    fn dispatch(&mut self, request: RequestId) {
        let service_time = self.mean_service_time.times(0.5 + self.random.uniform());
        let Some(open) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptNumber(open.attempt_count);
        open.attempt_count += 1;
        open.in_flight += 1;
        self.attempt_ends.push(Reverse(AttemptEnd {
            due_at: self.now + service_time,
            request,
            attempt,
            dispatched_at: self.now,
        }));
    }

    /// Records the final response to a request, and removes the request if no attempt is in flight.
    fn record_final_response(&mut self, request: RequestId) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        open.has_final_response = true;
        if open.in_flight == 0 {
            self.requests.remove(&request);
        }
    }

    /// Ends the earliest attempt in flight with success. Cancelled attempts are not removed and also end
    /// here.
    fn end_next_attempt(&mut self) {
        let Some(Reverse(end)) = self.attempt_ends.pop() else { return };
        if let Some(open) = self.requests.get_mut(&end.request) {
            open.in_flight -= 1;
        }
        self.handle(Event::AttemptEnded(AttemptResult {
            request: end.request,
            attempt: end.attempt,
            outcome: Outcome::Success,
            latency: self.now - end.dispatched_at,
            final_response_sent: true,
        }));
        self.record_final_response(end.request);
    }
}
