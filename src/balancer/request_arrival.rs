//! Arrival of a request: it is recorded and then queued or rejected.

use super::admission::relative_value;
use super::request::Request;
use super::{deadlines, Balancer};
use crate::event::RequestArrival;
use crate::units::{Micros, Time};

impl Balancer {
    /// Queues a request, or rejects it if it is not admitted. A request id that is already pending is
    /// ignored.
    pub(super) fn request_arrived(&mut self, now: Time, arrival: RequestArrival) {
        if self.requests.contains_key(&arrival.request) {
            return;
        }
        let Some(request) = self.new_request(now, &arrival) else { return };
        let (class, value) = (request.class, request.relative_value);
        self.requests.insert(arrival.request, request);
        self.admission.record_arrival(value);
        let admitted = self.admission.admits(&self.config, &self.classes, class, value, &mut self.random);
        // Traffic shares are computed from this rate, so it excludes requests that are shed.
        self.admitted_rate.add(now, f64::from(admitted));
        if !admitted || !self.draw_allocated_capacity() {
            return self.give_up(arrival.request);
        }
        self.queue.push(arrival.request);
        let first_check_delay = deadlines::queued_check_interval(&self.config).min(arrival.time_left);
        self.wakeup.schedule(now + first_check_delay);
    }

    /// Records an arrival and builds its request. Returns `None`, and records nothing, if its class
    /// is not active; hosts pass only active classes.
    fn new_request(&mut self, now: Time, arrival: &RequestArrival) -> Option<Request> {
        let class_config = self.classes.config(arrival.class)?.clone();
        if let Some(work) = arrival.expected_work {
            self.classes.record_expected_work(work);
        }
        self.retry_budget.deposit();
        self.classes.record_arrival(arrival.class);
        let over_quota = self.quotas.charge(&self.config, now, arrival.tenant);
        let extension = arrival.expected_work.unwrap_or_default().times(class_config.objective_per_work);
        let objective = Micros(class_config.latency_objective.0 + extension.0).min(arrival.time_left);
        Some(Request {
            class: arrival.class,
            max_attempts: self.config.max_attempts,
            arrived_at: now,
            objective_at: now + objective,
            deadline: now + arrival.time_left,
            relative_value: relative_value(
                &self.config,
                class_config.late_weight_fraction,
                arrival.is_client_retry,
                over_quota,
            ),
            is_streaming: false,
            attempts: Vec::new(),
            class_config,
        })
    }

    /// Decides at random whether a request gets allocated capacity. The probability is the sum of the traffic
    /// shares, which the limits of warming backends can reduce below 1. While that sum is 0, as without a
    /// usable backend, every request is queued.
    fn draw_allocated_capacity(&mut self) -> bool {
        let allocated: f64 = self.fleet.kinds.values().map(|kind| kind.selection_table.total()).sum();
        allocated <= 0.0 || self.random.unit() <= allocated
    }
}
