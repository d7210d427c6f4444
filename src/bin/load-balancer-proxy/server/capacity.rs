//! Limits the number of open client connections: at capacity, inactive connections are closed to make room
//! for new clients.

use super::client_connection::CloseMode;
use super::Server;
use crate::clock::micros;
use load_balancer::Time;
use std::time::Duration;

/// Minimum time between two checks at capacity, so that a connection that was asked to close can do so.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Server {
    /// Whether the maximum number of client connections is open.
    pub(super) fn is_at_capacity(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections
    }

    /// At capacity, asks the connection that has been idle longest to close or, if none is idle, those that
    /// have been inactive for too long. Returns when to check again; [`Time::NEVER`] below capacity.
    pub(super) fn reclaim_capacity(&self) -> Time {
        if !self.is_at_capacity() {
            return Time::NEVER;
        }
        let earliest_check = self.clock.now() + micros(MIN_CHECK_INTERVAL);
        if self.close_longest_idle() {
            return earliest_check;
        }
        self.close_inactive().max(earliest_check)
    }

    /// Asks the connection that has been idle longest to close; returns `false` if none is idle.
    fn close_longest_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let open = connections.values().filter(|connection| connection.close_mode().is_none());
        let idle = open.filter_map(|connection| Some((connection.idle_since()?, connection)));
        let Some((_, longest_idle)) = idle.min_by_key(|(since, _)| *since) else { return false };
        longest_idle.request_close(CloseMode::Graceful);
        true
    }

    /// Asks the connections that have been inactive for too long to close; returns the next time at which
    /// this applies to another one.
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
