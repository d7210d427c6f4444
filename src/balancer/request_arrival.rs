//! The arrival of a request: it is counted, valued, and admitted into the queue or given up.

use super::admission::relative_value;
use super::request::Request;
use super::{deadlines, Balancer};
use crate::event::RequestArrival;
use crate::units::{Micros, Time};

impl Balancer {
    /// Admits a request into the queue, or gives it its final answer.
    pub(super) fn request_arrived(&mut self, now: Time, arrival: RequestArrival) {
        if self.requests.contains_key(&arrival.request) {
            return;
        }
        let Some(request) = self.new_request(now, &arrival) else { return };
        let (class, value) = (request.class, request.relative_value);
        self.requests.insert(arrival.request, request);
        self.admission.record_arrival(value);
        let admitted = self.admission.admits(&self.config, &self.classes, class, value, &mut self.random);
        // What is shed reaches no backend, so that shares are computed for the rest.
        self.admitted_rate.add(now, f64::from(admitted));
        if !admitted || !self.draw_allocated_capacity() {
            return self.give_up(arrival.request);
        }
        self.queue.push(arrival.request);
        let review_in = deadlines::queued_review_interval(&self.config).min(arrival.time_left);
        self.wakeup.schedule(now + review_in);
    }

    /// Counts an arrival and works out its terms; `None` where its class is not in force, which hosts
    /// exclude.
    fn new_request(&mut self, now: Time, arrival: &RequestArrival) -> Option<Request> {
        let terms = self.classes.terms(arrival.class)?.clone();
        if let Some(work) = arrival.expected_work {
            self.classes.record_expected_work(work);
        }
        self.retry_budget.deposit();
        self.classes.record_arrival(arrival.class);
        let over_quota = self.quotas.is_exceeded(&self.config, now, arrival.tenant);
        let extension = arrival.expected_work.unwrap_or_default().times(terms.objective_per_work);
        let objective = Micros(terms.latency_objective.0 + extension.0).min(arrival.time_left);
        Some(Request {
            class: arrival.class,
            max_attempts: self.config.max_attempts,
            arrived_at: now,
            objective_at: now + objective,
            deadline: now + arrival.time_left,
            relative_value: relative_value(
                &self.config,
                terms.late_weight_fraction,
                arrival.is_client_retry,
                over_quota,
            ),
            is_streaming: false,
            attempts: Vec::new(),
            terms,
        })
    }

    /// Whether capacity is allocated for a request. Where warming backends are limited to less than their
    /// shares, the traffic shares add up to less than 1, and what is missing is the probability of having
    /// none.
    fn draw_allocated_capacity(&mut self) -> bool {
        let allocated: f64 = self.fleet.kinds.values().map(|kind| kind.picks.total()).sum();
        allocated <= 0.0 || self.random.unit() <= allocated
    }
}
