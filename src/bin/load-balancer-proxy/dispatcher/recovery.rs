//! Recovery from a panic of the balancer: it is replaced by a new one.

use super::Dispatcher;
use crate::messages::FinalAnswer;
use load_balancer::{Balancer, EndpointListUpdate, Event};

impl Dispatcher {
    /// Replaces the balancer, whose state cannot be trusted after a panic. The new one starts from the
    /// endpoint list, and all open requests are failed. The panic hook has reported the panic itself.
    pub(super) fn restart_balancer(&mut self) {
        tracing::error!(failed_requests = self.requests.len(), "balancer panicked, starting anew");
        self.seed = self.seed.wrapping_add(1); // the same seed could lead to the same panic
        match Balancer::new(self.settings.balancer.clone(), self.seed) {
            Ok(balancer) => self.balancer = balancer,
            Err(error) => tracing::error!(%error, "configuration rejected"),
        }
        self.fail_all_requests();
        self.timers.clear();
        // They concern requests that are failed, or what the new balancer starts from; deadlines stay cut
        // here.
        self.events.clear();
        let backends = self.backends.entries();
        self.events.push(Event::EndpointListChanged { update: EndpointListUpdate::Cached, backends });
    }

    fn fail_all_requests(&mut self) {
        for mut request in self.requests.drain() {
            for attempt in request.attempts.values() {
                attempt.task.abort();
            }
            request.answer(FinalAnswer::Failed);
        }
        self.deadlines.clear();
    }
}
