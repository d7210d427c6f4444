//! Recovery from a panic of the balancer, which is replaced by a new instance.

use super::Dispatcher;
use crate::messages::FinalResponse;
use load_balancer::{Balancer, EndpointListUpdate, Event};

impl Dispatcher {
    /// Replaces the balancer, whose state may be inconsistent after a panic, and fails all open requests. The
    /// new balancer starts with the current endpoint list. The panic itself has been logged by the panic
    /// hook.
    pub(super) fn restart_balancer(&mut self) {
        tracing::error!(failed_requests = self.requests.len(), "balancer panicked, restarting it");
        self.seed = self.seed.wrapping_add(1); // the same seed could lead to the same panic
        match Balancer::new(self.settings.balancer.clone(), self.seed) {
            Ok(balancer) => self.balancer = balancer,
            Err(error) => tracing::error!(%error, "configuration rejected"),
        }
        self.fail_all_requests();
        self.timers.clear();
        // The queued events refer to requests that have just been failed or to state that the new balancer
        // starts with. If one of them announced a shutdown, the dispatcher still caps the deadlines.
        self.events.clear();
        let backends = self.backends.entries();
        self.events.push(Event::EndpointListChanged { update: EndpointListUpdate::Cached, backends });
    }

    fn fail_all_requests(&mut self) {
        for mut request in self.requests.drain() {
            for attempt in request.attempts.values() {
                attempt.task.abort();
            }
            request.answer(FinalResponse::Failed);
        }
        self.deadlines.clear();
    }
}
