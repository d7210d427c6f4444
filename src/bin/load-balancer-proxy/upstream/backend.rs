//! A backend as the upstream side knows it, with its idle connections.

use super::connection::Connection;
use load_balancer::wire::endpoint_list::Endpoint;
use load_balancer::{BackendState, Micros, Time};
use std::cell::{Cell, RefCell};

/// A connection is not reused until this long after its last response: a second response that a faulty
/// backend sends some milliseconds later ends an idle connection, but would be served as the answer to the
/// next request.
pub(super) const REUSE_DELAY: Micros = Micros(5_000);

/// A connection that has no request.
pub(super) struct IdleConnection {
    /// When it last had one.
    pub since: Time,
    pub connection: Connection,
}

/// One process of a backend, as the balancer's `Backend` and the endpoint list's `Endpoint` describe it: a
/// restart makes a new one, so that no connection to the old is used.
pub struct Upstream {
    /// The backend as the endpoint list first described this process.
    pub endpoint: Endpoint,
    is_ready: Cell<bool>,
    idle: RefCell<Vec<IdleConnection>>,
    /// The pool lists it among the backends with idle connections.
    listed_as_idle: Cell<bool>,
}

/// The result of [`Upstream::close_one_idle`].
pub(super) struct IdleClosed {
    /// A connection was closed.
    pub closed: bool,
    /// Others are left.
    pub has_more: bool,
}

impl Upstream {
    /// A process that the endpoint list names, without connections yet.
    pub fn new(endpoint: Endpoint) -> Upstream {
        let is_ready = Cell::new(endpoint.backend.state == BackendState::Ready);
        Upstream { endpoint, is_ready, idle: RefCell::default(), listed_as_idle: Cell::default() }
    }

    /// Whether it may be sent requests; asked again before the first byte of each.
    pub fn is_ready(&self) -> bool {
        self.is_ready.get()
    }

    /// Requests may go to it from now on.
    pub fn mark_ready(&self) {
        self.is_ready.set(true);
    }

    /// Nothing new goes to it from now on, and its idle connections are closed.
    pub fn drain(&self) {
        self.is_ready.set(false);
        self.idle.borrow_mut().clear();
    }

    /// Adds an idle connection.
    pub(super) fn push_idle(&self, idle: IdleConnection) {
        self.idle.borrow_mut().push(idle);
    }

    /// Takes the idle connection that was used last of those past their [`REUSE_DELAY`], else the one that is
    /// the next to be.
    pub(super) fn take_idle(&self, now: Time) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let reusable = idle.iter().rposition(|idle| now - idle.since >= REUSE_DELAY);
        let index = reusable.unwrap_or(0);
        (index < idle.len()).then(|| idle.remove(index))
    }

    /// Takes all idle connections.
    pub(super) fn take_all_idle(&self) -> Vec<IdleConnection> {
        std::mem::take(&mut *self.idle.borrow_mut())
    }

    /// Closes the idle connection that was added last, if there is one.
    pub(super) fn close_one_idle(&self) -> IdleClosed {
        let mut idle = self.idle.borrow_mut();
        let closed = idle.pop().is_some();
        IdleClosed { closed, has_more: !idle.is_empty() }
    }

    /// Records whether the pool lists it among the backends with idle connections; returns the former value.
    pub(super) fn set_listed_as_idle(&self, listed: bool) -> bool {
        self.listed_as_idle.replace(listed)
    }
}
