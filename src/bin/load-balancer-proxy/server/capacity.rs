//! Limits the open client connections: with every slot taken, inactive connections are closed for new
//! clients.

use super::client_connection::CloseMode;
use super::Server;
use crate::clock::micros;
use load_balancer::Time;
use std::time::Duration;

/// Least time between two checks: a connection that was asked to close needs some time for it.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Server {
    /// Every client connection slot is taken.
    pub(super) fn is_at_capacity(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// With every slot taken, asks the connection that has been idle longest to close, or else those that
    /// have been inactive for too long. Returns when to check again.
    pub(super) fn make_capacity(&self) -> Time {
        if !self.is_at_capacity() {
            return Time::NEVER;
        }
        let earliest_check = self.clock.now() + micros(CHECK_INTERVAL);
        if self.close_longest_idle() {
            return earliest_check;
        }
        self.close_inactive().max(earliest_check)
    }

    /// Asks the connection that has been idle longest to close; `false` if none is idle.
    fn close_longest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let open = connections.values().filter(|connection| connection.close_mode().is_none());
        let idle = open.filter_map(|connection| Some((connection.idle_since()?, connection)));
        let Some((_, longest_idle)) = idle.min_by_key(|(since, _)| *since) else { return false };
        longest_idle.request_close(CloseMode::Graceful);
        true
    }

    /// Asks the connections that have been inactive for too long to close; returns when the next one will
    /// have been.
    fn close_inactive(&self) -> Time {
        let mut next = Time::NEVER;
        for connection in self.connections.borrow().values() {
            match connection.close_deadline_at_capacity() {
                Some(deadline) if deadline.at <= self.clock.now() => connection.request_close(deadline.mode),
                Some(deadline) => next = next.min(deadline.at),
                None => {}
            }
        }
        next
    }
}
