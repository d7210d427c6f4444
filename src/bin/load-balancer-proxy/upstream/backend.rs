//! A backend process and its idle connections.

use super::connection::Connection;
use load_balancer::wire::endpoint_list::Endpoint;
use load_balancer::{BackendState, Micros, Time};
use std::cell::{Cell, RefCell};

/// Minimum time between a response on a connection and the next request on it. If a faulty backend sends a
/// second response a few milliseconds after the first, the idle connection is closed; with a request in
/// flight, the second response would be taken for the response to that request.
pub(super) const REUSE_DELAY: Micros = Micros(5_000);

/// A connection without a request in flight.
pub(super) struct IdleConnection {
    /// Time at which its last response was complete.
    pub since: Time,
    pub connection: Connection,
}

/// One process of a backend and its idle connections. A restart of the backend creates a new `Upstream`, so
/// that connections to the previous process are not reused.
pub struct Upstream {
    /// The endpoint list entry in which this process first appeared.
    pub endpoint: Endpoint,
    is_ready: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
    /// Whether the pool's list of backends with idle connections contains this one.
    listed_as_idle: Cell<bool>,
}

/// The result of [`Upstream::close_one_idle`].
pub(super) struct IdleClosed {
    /// Whether a connection was closed.
    pub closed: bool,
    /// Whether more idle connections remain.
    pub has_more: bool,
}

impl Upstream {
    /// Creates an upstream without connections.
    pub fn new(endpoint: Endpoint) -> Upstream {
        let is_ready = Cell::new(endpoint.backend.state == BackendState::Ready);
        Upstream { endpoint, is_ready, idle: RefCell::default(), listed_as_idle: Cell::default() }
    }

    /// Returns whether the backend accepts new requests. Checked again directly before a request is written.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Allows new requests to the backend.
    pub fn mark_ready(&self) {
        self.is_ready.set(true);
    }

    /// Stops new requests to the backend and closes its idle connections.
    pub fn drain(&self) {
        self.is_ready.set(false);
        self.idle.borrow_mut().clear();
    }

    pub(super) fn push_idle(&self, idle: IdleConnection) {
        self.idle.borrow_mut().push(idle);
    }

    /// Removes and returns the most recently used connection that is past its [`REUSE_DELAY`]. If there is
    /// none, returns the connection that will be the first past its delay.
    pub(super) fn take_idle(&self, now: Time) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let reusable = idle.iter().rposition(|idle| now - idle.since >= REUSE_DELAY);
        let index = reusable.unwrap_or(0);
        (index < idle.len()).then(|| idle.remove(index))
    }

    /// Removes and returns all idle connections.
    pub(super) fn take_all_idle(&self) -> Vec<IdleConnection> {
        std::mem::take(&mut *self.idle.borrow_mut())
    }

    /// Closes the most recently added idle connection, if there is one.
    pub(super) fn close_one_idle(&self) -> IdleClosed {
        let mut idle = self.idle.borrow_mut();
        let closed = idle.pop().is_some();
        IdleClosed { closed, has_more: !idle.is_empty() }
    }

    /// Sets whether the pool's list of backends with idle connections contains this one; returns the previous
    /// value.
    pub(super) fn set_listed_as_idle(&self, listed: bool) -> bool {
        self.listed_as_idle.replace(listed)
    }
}
