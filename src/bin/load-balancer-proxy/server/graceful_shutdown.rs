//! Graceful shutdown: answers all pending requests after SIGTERM, before the platform sends SIGKILL.

use super::client_connection::{ClientConnection, CloseMode};
use super::listener::{Accepted, Acceptor, ListenQueue};
use super::Server;
use crate::messages::DispatcherMessage;
use load_balancer::{Micros, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long connections are still accepted after SIGTERM, because clients continue to open some.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// Requests have this time to complete after SIGTERM, or the longest deadline of any class if that is
/// shorter. The platform sends SIGKILL 0.7 s after the end of that time.
const MAX_REQUEST_TIME: Micros = Micros(3_000_000);
/// Time after that in which requests are still answered. It ends 0.2 s before SIGKILL, which allows for a
/// stall of 0.15 s and the transmission to the client.
const RESPONSE_GRACE_PERIOD: Micros = Micros(500_000);
/// Time for writing the last 408 responses. It starts when they are requested rather than at the deadline,
/// which a stalled process may notice late.
const TIMEOUT_RESPONSE_PERIOD: Duration = Duration::from_millis(100);

/// Returns when to stop accepting connections if the shutdown begins now.
pub(super) fn accept_deadline() -> Instant {
    Instant::now() + ACCEPT_PERIOD
}

impl Server {
    /// Begins the shutdown and notifies the dispatcher; returns the time by which every request is answered.
    pub(super) fn begin_shutdown(&self) -> Time {
        self.is_shutting_down.set(true);
        let longest_deadline = self.settings.borrow().longest_deadline;
        let signalled_at = self.clock.now().saturating_sub(self.stall_detector.unobserved_time());
        let deadline = signalled_at + longest_deadline.min(MAX_REQUEST_TIME) + RESPONSE_GRACE_PERIOD;
        self.notify_dispatcher(DispatcherMessage::ShutdownStarted { deadline });
        deadline
    }

    /// Serves the queued and open connections until all are closed. If the deadline passes before, answers
    /// the incomplete requests with 408.
    pub(super) async fn finish_shutdown(self: &Rc<Self>, acceptor: Acceptor, deadline: Time) {
        let queue = acceptor
            .into_queue()
            .inspect_err(|error| tracing::error!(%error, "cannot take over the listen queue"));
        let mut queue = queue.ok();
        let deadline = self.clock.instant(deadline);
        if tokio::time::timeout_at(deadline, self.drain(&mut queue)).await.is_ok() {
            return;
        }
        self.close_connections(ClientConnection::is_receiving_request, CloseMode::TimeOutRequest);
        let _ = tokio::time::timeout(TIMEOUT_RESPONSE_PERIOD, self.drain(&mut queue)).await;
    }

    /// Serves the queued and open connections until all are closed.
    async fn drain(self: &Rc<Self>, queue: &mut Option<ListenQueue>) {
        loop {
            self.close_connections(|connection| connection.idle_since().is_some(), CloseMode::Graceful);
            if queue.is_none() && self.connections.borrow().is_empty() {
                return;
            }
            let next_capacity_check = self.reclaim_capacity();
            let has_free_slot = self.has_free_slot();
            if let Some(queue) = queue.as_mut().filter(|_| !has_free_slot) {
                queue.mark_connections_waiting();
            }
            tokio::select! {
                biased;
                accepted = next_accepted(queue), if has_free_slot => match accepted {
                    Some(accepted) => self.clone().spawn_connection(accepted),
                    None => *queue = None,
                },
                () = self.connections_changed.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant(next_capacity_check)) => {}
            }
        }
    }

    fn close_connections(&self, should_close: impl Fn(&ClientConnection) -> bool, mode: CloseMode) {
        for connection in self.connections.borrow().values() {
            if should_close(connection) {
                connection.request_close(mode);
            }
        }
    }
}

/// Returns the next connection of the queue, or `None` once it is empty; never completes without a queue.
async fn next_accepted(queue: &mut Option<ListenQueue>) -> Option<Accepted> {
    match queue {
        Some(queue) => queue.next().await,
        None => std::future::pending().await,
    }
}
