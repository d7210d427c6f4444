//! Connection pool. It keeps idle connections to backends for reuse, opens new ones within the socket budget,
//! and closes connections that have been idle for too long.

use super::backend::{IdleConnection, Upstream, REUSE_DELAY};
use super::connection::Connection;
use super::socket_budget::{SocketBudget, SocketSlot};
use crate::clock::{duration, Clock};
use crate::memory::BodyBudget;
use load_balancer::net::connect::{connect, ConnectError, Connected};
use load_balancer::{Micros, Outcome, Time};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// Idle connections are closed after this fraction of the backend's own idle timeout. A request that is
/// written while the backend closes the connection would end with a connection reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.75;
/// Upper limit on the idle timeout. Otherwise many proxies, each with idle connections to backends that they
/// no longer use, would fill the backends' connection tables.
const MAX_IDLE_TIMEOUT: Micros = Micros(5_000_000);

/// Error when opening a connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenError {
    /// The TCP connect failed.
    #[error("{0}")]
    Connect(ConnectError),
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Handshake(hyper::Error),
}

impl OpenError {
    /// Returns the outcome of the attempt that needed the connection.
    pub fn outcome(&self) -> Outcome {
        match self {
            // The cause is local, so it must not count against the backend.
            OpenError::Connect(ConnectError::ResourcesExhausted) => Outcome::NotSent,
            OpenError::Connect(ConnectError::Failed(_) | ConnectError::TimedOut)
            | OpenError::Handshake(_) => Outcome::ConnectFailed,
        }
    }
}

/// A connection acquired from the pool for one attempt.
pub(super) struct PooledConnection {
    pub connection: Connection,
    /// Whether it has carried a request before.
    pub is_reused: bool,
}

/// Settings of a [`ConnectionPool`].
pub struct ConnectionPoolSettings {
    /// Clock shared by the pool, its attempts and the dispatcher.
    pub clock: Clock,
    /// A connection that is not established after this time counts as failed.
    pub connect_timeout: Micros,
    /// Time after which a backend closes an idle connection.
    pub backend_idle_timeout: Micros,
    /// Maximum number of open sockets, including those of idle connections.
    pub max_sockets: usize,
    /// Memory for the bodies of responses.
    pub response_bodies: BodyBudget,
}

/// Pool of the connections to all backends.
pub struct ConnectionPool {
    /// Clock shared by the pool, its attempts and the dispatcher.
    pub clock: Clock,
    /// Memory for the bodies of responses.
    pub(super) response_bodies: BodyBudget,
    /// Time limit for opening a connection.
    connect_timeout: Cell<Micros>,
    /// Time after which the pool closes an idle connection.
    idle_timeout: Cell<Micros>,
    sockets: SocketBudget,
    /// Backends that may have idle connections, without duplicates, in the order in which connections are
    /// closed to free a socket.
    backends_with_idle: RefCell<VecDeque<Weak<Upstream>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: ConnectionPoolSettings) -> ConnectionPool {
        let pool = ConnectionPool {
            clock: settings.clock,
            response_bodies: settings.response_bodies,
            connect_timeout: Cell::default(),
            idle_timeout: Cell::default(),
            sockets: SocketBudget::new(settings.max_sockets),
            backends_with_idle: RefCell::default(),
        };
        pool.set_timeouts(settings.connect_timeout, settings.backend_idle_timeout);
        pool
    }

    /// Sets the connect timeout of connections that are opened from now on. Derives the idle timeout, which
    /// applies to all idle connections, from the backends' idle timeout.
    pub fn set_timeouts(&self, connect_timeout: Micros, backend_idle_timeout: Micros) {
        self.connect_timeout.set(connect_timeout);
        self.idle_timeout.set(backend_idle_timeout.times(IDLE_TIMEOUT_FRACTION).min(MAX_IDLE_TIMEOUT));
    }

    /// Closes the idle connections to a backend that have reached the idle timeout or that the backend has
    /// closed.
    pub async fn close_expired_idle(&self, upstream: &Rc<Upstream>) {
        let mut kept = upstream.take_all_idle();
        let oldest = self.clock.now().saturating_sub(self.idle_timeout.get());
        kept.retain(|idle| idle.since > oldest);
        for mut idle in kept {
            if idle.connection.is_reusable().await && upstream.is_ready() {
                self.keep_idle(upstream, idle);
            }
        }
    }

    /// Returns an idle connection to the backend if one can be reused, otherwise opens a new one.
    pub(super) async fn acquire(&self, upstream: &Upstream) -> Result<PooledConnection, OpenError> {
        match self.reuse_idle(upstream).await {
            Some(connection) => Ok(PooledConnection { connection, is_reused: true }),
            None => {
                let connection = self.open(upstream.endpoint.address).await?;
                Ok(PooledConnection { connection, is_reused: false })
            }
        }
    }

    /// Returns a connection to the pool after its response. Closes it if it cannot carry another
    /// request or the backend is draining.
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
        let mut backends_with_idle = self.backends_with_idle.borrow_mut();
        if backends_with_idle.len() > 2 * self.sockets.limit() {
            backends_with_idle.retain(|upstream| upstream.strong_count() > 0); // drops replaced backends
        }
        backends_with_idle.push_back(Rc::downgrade(upstream));
    }

    /// Returns an idle connection that the backend has not closed, waiting for its [`REUSE_DELAY`] if
    /// necessary. The wait takes no longer than opening another connection, which would cost the backend a
    /// handshake.
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
        self.clock.now() - since < self.idle_timeout.get()
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

    /// Reserves a socket. If the budget is exhausted, closes an idle connection first; returns `None` if
    /// there is none.
    fn reserve_socket(&self) -> Option<SocketSlot> {
        if self.sockets.is_exhausted() && !self.close_any_idle() {
            return None;
        }
        Some(self.sockets.take())
    }

    /// Closes one idle connection, cycling through the backends round-robin. Returns `false` if there is
    /// none.
    fn close_any_idle(&self) -> bool {
        let mut backends_with_idle = self.backends_with_idle.borrow_mut();
        while let Some(listed) = backends_with_idle.pop_front() {
            let Some(upstream) = listed.upgrade() else { continue };
            let idle = upstream.close_one_idle();
            upstream.set_listed_as_idle(idle.has_more);
            if idle.has_more {
                backends_with_idle.push_back(listed);
            }
            if idle.closed {
                tracing::debug!(
                    address = %upstream.endpoint.address,
                    "idle connection closed to free a socket"
                );
                return true;
            }
        }
        false
    }
}
