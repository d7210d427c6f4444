//! The pool of connections to backends: connections are kept for reuse, opened within the socket budget, and
//! closed once they have been idle for too long.

use super::backend::{IdleConnection, Upstream, REUSE_DELAY};
use super::connection::Connection;
use super::socket_budget::{SocketBudget, SocketSlot};
use crate::clock::{duration, Clock};
use load_balancer::net::connect::{connect, ConnectError, Connected};
use load_balancer::{Micros, Outcome, Time};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// Part of the backend's own limit after which an idle connection is closed from this side: a request written
/// while the backend closes it would end as a reset.
const IDLE_LIMIT_FRACTION: f64 = 0.75;
/// An idle connection is closed after this time in any case: many proxies that each keep connections to
/// backends out of use would fill the backends' tables.
const MAX_IDLE_TIME: Micros = Micros(5_000_000);

/// Why no connection was opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenError {
    /// No socket was connected.
    #[error("{0}")]
    Connect(ConnectError),
    /// The connection ended before it could take a request.
    #[error("{0}")]
    Handshake(hyper::Error),
}

impl OpenError {
    /// The outcome of the attempt that needed the connection.
    pub fn outcome(&self) -> Outcome {
        match self {
            // It says nothing against the backend.
            OpenError::Connect(ConnectError::ResourcesExhausted) => Outcome::NotSent,
            OpenError::Connect(ConnectError::Failed(_) | ConnectError::TimedOut)
            | OpenError::Handshake(_) => Outcome::ConnectFailed,
        }
    }
}

/// A connection that is lent to one attempt.
pub(super) struct PooledConnection {
    pub connection: Connection,
    /// It has carried requests before.
    pub is_reused: bool,
}

/// The connections to all backends.
pub struct ConnectionPool {
    /// The time for the upstream side and the dispatcher.
    pub clock: Clock,
    /// A connection that is not open after this time counts as failed.
    connect_timeout: Cell<Micros>,
    /// An idle connection is closed after this time.
    idle_limit: Cell<Micros>,
    sockets: SocketBudget,
    /// The backends that may have idle connections, each once.
    with_idle: RefCell<VecDeque<Weak<Upstream>>>,
}

impl ConnectionPool {
    /// `backend_idle_limit` is when a backend closes an idle connection; `max_sockets` may be held at once,
    /// idle ones included.
    pub fn new(
        clock: Clock, connect_timeout: Micros, backend_idle_limit: Micros, max_sockets: usize,
    ) -> ConnectionPool {
        let pool = ConnectionPool {
            clock,
            connect_timeout: Cell::default(),
            idle_limit: Cell::default(),
            sockets: SocketBudget::new(max_sockets),
            with_idle: RefCell::default(),
        };
        pool.set_timeouts(connect_timeout, backend_idle_limit);
        pool
    }

    /// Sets the times for the connections that are opened or found idle from now on.
    pub fn set_timeouts(&self, connect_timeout: Micros, backend_idle_limit: Micros) {
        self.connect_timeout.set(connect_timeout);
        self.idle_limit.set(backend_idle_limit.times(IDLE_LIMIT_FRACTION).min(MAX_IDLE_TIME));
    }

    /// Closes the connections to a backend that have been idle for too long, or that the backend has closed.
    pub async fn close_expired_idle(&self, upstream: &Rc<Upstream>) {
        let mut kept = upstream.take_all_idle();
        let oldest = self.clock.now().saturating_sub(self.idle_limit.get());
        kept.retain(|idle| idle.since > oldest);
        for mut idle in kept {
            if idle.connection.is_reusable().await && upstream.is_ready() {
                self.keep_idle(upstream, idle);
            }
        }
    }

    /// A connection to the backend: one that is kept for reuse, else a new one.
    pub(super) async fn acquire(&self, upstream: &Upstream) -> Result<PooledConnection, OpenError> {
        match self.reuse_idle(upstream).await {
            Some(connection) => Ok(PooledConnection { connection, is_reused: true }),
            None => {
                let connection = self.open(upstream.endpoint.address).await?;
                Ok(PooledConnection { connection, is_reused: false })
            }
        }
    }

    /// Takes a connection back after its response, where it can carry another request.
    pub(super) async fn release(&self, upstream: &Rc<Upstream>, mut connection: Connection) {
        if connection.is_reusable().await && upstream.is_ready() {
            self.keep_idle(upstream, IdleConnection { since: self.clock.now(), connection });
        }
    }

    fn keep_idle(&self, upstream: &Rc<Upstream>, idle: IdleConnection) {
        upstream.push_idle(idle);
        if upstream.set_listed_as_idle(true) {
            return;
        }
        let mut with_idle = self.with_idle.borrow_mut();
        if with_idle.len() > 2 * self.sockets.limit() {
            with_idle.retain(|upstream| upstream.strong_count() > 0); // backends that were replaced
        }
        with_idle.push_back(Rc::downgrade(upstream));
    }

    /// An idle connection past its [`REUSE_DELAY`] that the backend has not closed. Waiting for the delay
    /// takes no longer than opening another connection, which costs the backend a handshake.
    async fn reuse_idle(&self, upstream: &Upstream) -> Option<Connection> {
        loop {
            let IdleConnection { since, mut connection } = upstream.take_idle(self.clock.now())?;
            tokio::time::sleep_until(self.clock.instant(since + REUSE_DELAY)).await;
            if self.has_idle_time_left(since) && connection.is_reusable().await {
                return Some(connection);
            }
        }
    }

    fn has_idle_time_left(&self, since: Time) -> bool {
        self.clock.now() - since < self.idle_limit.get()
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, OpenError> {
        let timeout = duration(self.connect_timeout.get());
        let Connected { stream, slot } = match connect(address, timeout, || self.reserve_socket()).await {
            Ok(connected) => connected,
            Err(error) => {
                tracing::debug!(%address, %error, "connect failed");
                return Err(OpenError::Connect(error));
            }
        };
        Connection::open(stream, slot).await.map_err(OpenError::Handshake)
    }

    /// A socket of the budget, if there is one left or an idle connection can be closed for it.
    fn reserve_socket(&self) -> Option<SocketSlot> {
        if self.sockets.is_exhausted() && !self.close_any_idle() {
            return None;
        }
        Some(self.sockets.take())
    }

    /// Closes an idle connection to any backend, each backend in turn; false where there is none.
    fn close_any_idle(&self) -> bool {
        let mut with_idle = self.with_idle.borrow_mut();
        while let Some(listed) = with_idle.pop_front() {
            let Some(upstream) = listed.upgrade() else { continue };
            let idle = upstream.close_one_idle();
            upstream.set_listed_as_idle(idle.has_more);
            if idle.has_more {
                with_idle.push_back(listed);
            }
            if idle.closed {
                tracing::debug!(address = %upstream.endpoint.address, "idle connection closed for another");
                return true;
            }
        }
        false
    }
}
