//! Passes events to the balancer of a simulated proxy once per tick, and executes its actions.

use super::super::counters::ProxyCounters;
use super::Proxy;
use load_balancer::{Action, Event, Micros, RequestId, Time};

impl Proxy {
    /// Passes due timers and all events since the last tick to the balancer, and executes its actions.
    pub(super) fn run_tick(&mut self, now: Time) {
        while let Some(token) = self.timers.take_due(now) {
            self.events.push(Event::TimerFired { token });
        }
        if self.events.is_empty() {
            return;
        }
        let tick = self.config.tick;
        self.next_tick = Time(now.0 - now.0 % tick.0) + tick;
        let mut actions = Vec::new();
        for event in std::mem::take(&mut self.events) {
            let event = self.with_current_time_left(now, event);
            self.balancer.handle(now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.execute(now, action);
            }
        }
    }

    /// Updates the time left of an arrival, which has waited for the tick.
    fn with_current_time_left(&self, now: Time, mut event: Event) -> Event {
        if let Event::RequestArrived(arrival) = &mut event {
            let open = self.requests.get(&arrival.request);
            arrival.time_left = open.map_or(Micros(0), |open| open.deadline - now);
        }
        event
    }

    fn execute(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend, .. } => self.dispatch(now, request, backend),
            Action::Reject { request } => {
                self.record_final_response(request, |counters| counters.rejected += 1);
            }
            Action::Fail { request } => self.record_final_response(request, |counters| counters.failed += 1),
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(now, request, attempt),
            Action::SetTimer { token, delay } => self.timers.set(now + delay, token),
            Action::Resubscribe => self.endpoint_watch.resubscribe(),
            Action::Log(event) => tracing::debug!("proxy {}: {event}", self.proxy_index),
        }
    }

    /// Counts a final response by the balancer, or a duplicate if the request already has one.
    fn record_final_response(&mut self, request: RequestId, count: impl FnOnce(&mut ProxyCounters)) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let mut counters = self.context.counters.lock();
        if open.has_final_response {
            counters.duplicate_responses += 1;
        } else {
            open.has_final_response = true;
            count(&mut counters);
        }
    }
}
