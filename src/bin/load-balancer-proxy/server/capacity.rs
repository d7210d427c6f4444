//! Limits the number of open client connections.
//!
//! The time of a request runs out while its connection waits in the listen queue, where nothing can answer
//! it. Connections are therefore accepted at once, and when few slots are left, inactive connections are
//! closed to free theirs. The last slots, the spare ones, never hold a pending request, so that there is
//! always a connection that can be closed soon.

use super::client_connection::ClientConnection;
use super::inactivity::InactiveConnection;
use super::Server;
use load_balancer::{Micros, Time};
use std::rc::Rc;

/// One in this many slots is a spare slot.
const SLOTS_PER_SPARE_SLOT: usize = 8;
const MAX_SPARE_SLOTS: usize = 8;
/// `Retry-After` of a request that is rejected because all regular slots have pending requests.
pub(super) const RETRY_AFTER: Micros = Micros(1_000_000);

/// The number of client connections that may be open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Capacity {
    /// All slots: the maximum number of open connections.
    slots: usize,
    /// Slots that may hold a connection with a pending request.
    regular_slots: usize,
}

impl Capacity {
    /// Creates the limits for at most `max_connections` open connections.
    pub fn new(max_connections: usize) -> Capacity {
        let spare_slots = (max_connections / SLOTS_PER_SPARE_SLOT).clamp(1, MAX_SPARE_SLOTS);
        Capacity { slots: max_connections, regular_slots: max_connections.saturating_sub(spare_slots) }
    }
}

impl Server {
    /// Whether another client connection may be accepted.
    pub(super) fn has_free_slot(&self) -> bool {
        self.connections.borrow().len() < self.capacity.slots
    }

    /// Whether spare slots are in use, so that inactive connections have to be closed.
    pub(super) fn is_at_capacity(&self) -> bool {
        self.open_in_spare_slots() > 0
    }

    /// Whether one more pending request would leave no spare slot for connections without one.
    pub(super) fn has_max_pending_requests(&self) -> bool {
        let connections = self.connections.borrow();
        let is_pending = |connection: &&_| ClientConnection::is_awaiting_response(connection);
        self.is_at_capacity()
            && connections.values().map(AsRef::as_ref).filter(is_pending).count()
                >= self.capacity.regular_slots
    }

    /// Asks as many inactive connections to close as spare slots are in use. Returns when to check again;
    /// [`Time::NEVER`] if no spare slot is in use.
    pub(super) fn reclaim_capacity(&self) -> Time {
        let in_spare_slots = self.open_in_spare_slots();
        if in_spare_slots == 0 {
            return Time::NEVER;
        }
        let now = self.clock.now();
        let (closing, next_closed) = self.closing_connections(now);
        let needed = in_spare_slots.saturating_sub(closing);
        if needed == 0 {
            return next_closed;
        }
        let (mut closable, next_closable) = self.closable_connections(now);
        if needed < closable.len() {
            closable.select_nth_unstable_by_key(needed, |(inactive, _)| inactive.close_order());
            closable.truncate(needed);
        }
        let mut next_check = next_closed.min(next_closable);
        for (InactiveConnection { state, .. }, connection) in closable {
            tracing::debug!(?state, "client connection closed to free its slot");
            next_check = next_check.min(connection.free_slot(state));
        }
        next_check
    }

    /// Returns how many connections are about to be closed, and when the next of them is expected to be.
    fn closing_connections(&self, now: Time) -> (usize, Time) {
        let connections = self.connections.borrow();
        let closing = connections.values().map(|connection| connection.closing_until());
        closing
            .filter(|until| *until > now)
            .fold((0, Time::NEVER), |(count, next), until| (count + 1, next.min(until)))
    }

    /// Returns the connections that can be closed now, and when the next other one can be.
    fn closable_connections(&self, now: Time) -> (Vec<(InactiveConnection, Rc<ClientConnection>)>, Time) {
        let mut closable = Vec::new();
        let mut next = Time::NEVER;
        for connection in self.connections.borrow().values() {
            match connection.inactivity().filter(|_| connection.closing_until() <= now) {
                Some(inactive) if inactive.closable_at <= now => {
                    closable.push((inactive, connection.clone()));
                }
                Some(inactive) => next = next.min(inactive.closable_at),
                None => {}
            }
        }
        (closable, next)
    }

    /// Number of open connections beyond the regular slots.
    fn open_in_spare_slots(&self) -> usize {
        self.connections.borrow().len().saturating_sub(self.capacity.regular_slots)
    }
}
