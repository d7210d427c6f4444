//! Graceful shutdown: from SIGTERM to the last answer, before the platform kills the process.

use super::client_connection::{ClientConnection, CloseMode};
use super::listener::{Accepted, Acceptor, ListenQueue};
use super::Server;
use crate::messages::DispatcherMessage;
use load_balancer::{Micros, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Connections are accepted for this long after SIGTERM: clients still open some.
const ACCEPT_PERIOD: Duration = Duration::from_millis(500);
/// The longest time of a request that is waited for. The platform sends SIGKILL 0.7 s after it, counted from
/// SIGTERM.
const MAX_REQUEST_TIME: Micros = Micros(3_000_000);
/// Time for answers after that; the 0.2 s up to SIGKILL are for a stall of 0.15 s and the way to the client.
const ANSWER_PERIOD: Micros = Micros(500_000);
/// Time to write the last 408 responses, counted from then: a process that was stalled until then has written
/// none.
const TIMEOUT_RESPONSE_PERIOD: Duration = Duration::from_millis(100);

/// When the listener is closed if the shutdown begins now.
pub(super) fn end_of_accepting() -> Instant {
    Instant::now() + ACCEPT_PERIOD
}

impl Server {
    /// Begins the shutdown and notifies the dispatcher; returns the deadline of all answers.
    pub(super) fn begin_shutdown(&self) -> Time {
        self.is_shutting_down.set(true);
        let longest_deadline = self.settings.borrow().longest_deadline;
        let signalled_at = self.clock.now().saturating_sub(self.stall_detector.unobserved_time());
        let deadline = signalled_at + longest_deadline.min(MAX_REQUEST_TIME) + ANSWER_PERIOD;
        self.notify_dispatcher(DispatcherMessage::ShutdownStarted { deadline });
        deadline
    }

    /// Serves what the system has accepted and what is open, up to the deadline; answers incomplete requests
    /// 408 then.
    pub(super) async fn finish(self: &Rc<Self>, acceptor: Acceptor, deadline: Time) {
        let queue = acceptor.into_queue().inspect_err(|error| tracing::error!(%error, "listen queue lost"));
        let mut queue = queue.ok();
        let deadline = self.clock.instant(deadline);
        if tokio::time::timeout_at(deadline, self.drain(&mut queue)).await.is_ok() {
            return;
        }
        self.close_connections(ClientConnection::is_receiving_request, CloseMode::TimeOutRequest);
        let _ = tokio::time::timeout(TIMEOUT_RESPONSE_PERIOD, self.drain(&mut queue)).await;
    }

    /// Serves what waits in the queue and what is open, until nothing is.
    async fn drain(self: &Rc<Self>, queue: &mut Option<ListenQueue>) {
        loop {
            self.close_connections(|connection| connection.idle_since().is_some(), CloseMode::Graceful);
            if queue.is_none() && self.connections.borrow().is_empty() {
                return;
            }
            tokio::select! {
                biased;
                accepted = next_accepted(queue) => match accepted {
                    Some(accepted) => self.clone().spawn_connection(accepted),
                    None => *queue = None,
                },
                () = self.connection_closed.notified() => {}
            }
        }
    }

    fn close_connections(&self, is_affected: impl Fn(&ClientConnection) -> bool, mode: CloseMode) {
        for connection in self.connections.borrow().values() {
            if is_affected(connection) {
                connection.request_close(mode);
            }
        }
    }
}

/// The next connection of the queue, `None` once it is empty; never ready without a queue.
async fn next_accepted(queue: &mut Option<ListenQueue>) -> Option<Accepted> {
    match queue {
        Some(queue) => queue.next().await,
        None => std::future::pending().await,
    }
}
