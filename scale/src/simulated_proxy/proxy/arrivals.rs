//! Arrival of requests at a simulated proxy.

use super::{Deadline, OpenRequest, Proxy, ProxyActivity};
use load_balancer::{ClassId, Event, Micros, RequestArrival, RequestId, TenantId, Time};
use std::collections::HashMap;

impl Proxy {
    /// Replaces the next arrival by the one after it; `None` if that is after the end of the load phase.
    pub(super) fn schedule_next_arrival(&mut self) {
        let point = &self.context.point;
        let rate_per_s = point.rate_per_s / f64::from(point.proxies);
        let wait = Micros(self.random.interarrival_time(rate_per_s).as_micros() as u64);
        let load_ends_at = match *self.context.activity.borrow() {
            ProxyActivity::Load { until } => self.clock.time_of(until),
            ProxyActivity::Idle | ProxyActivity::Shutdown => Time(0),
        };
        self.next_arrival =
            self.next_arrival.map(|arrival| arrival + wait).filter(|arrival| *arrival < load_ends_at);
    }

    /// Receives all requests that are due by `now`. Requests at a proxy that is not ready are only counted.
    pub(super) fn receive_due_requests(&mut self, now: Time) {
        while let Some(arrived_at) = self.next_arrival.filter(|arrival| *arrival <= now) {
            self.schedule_next_arrival();
            if self.is_ready {
                self.request_arrived(now, arrived_at);
            } else {
                self.context.counters.lock().arrived_before_ready += 1;
            }
        }
    }

    fn request_arrived(&mut self, now: Time, arrived_at: Time) {
        self.context.counters.lock().planned += 1;
        self.request_count += 1;
        let request = RequestId(self.request_count);
        let point = &self.context.point;
        let deadline = arrived_at + Micros(point.deadline_ms * 1_000);
        let class = ClassId(self.random.below(point.classes) as usize);
        let tenant = (point.tenants > 0).then(|| TenantId(self.random.below(point.tenants) as usize));
        self.events.push(Event::RequestArrived(RequestArrival {
            request,
            class,
            tenant,
            time_left: deadline - now,
            expected_work: None,
            is_client_retry: false,
        }));
        self.deadlines.insert(Deadline { due_at: deadline, request });
        let open = OpenRequest {
            arrived_at,
            deadline,
            attempt_count: 0,
            in_flight: HashMap::new(),
            has_final_response: false,
        };
        self.requests.insert(request, open);
    }
}
