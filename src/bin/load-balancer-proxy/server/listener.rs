//! The listening socket: accepts client connections and continues after failed calls of accept.

use load_balancer::net::backoff::Backoff;
use load_balancer::net::resource_exhaustion::is_resource_exhaustion;
use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// An accepted client connection.
pub struct Accepted {
    /// Stream of the connection.
    pub stream: TcpStream,
    /// Earliest time at which the connection may have entered the listen queue.
    pub queued_since: Instant,
}

impl Accepted {
    /// Creates a connection that may have been queued since `waiting_since`; `None` means that it was not
    /// queued.
    fn new(stream: TcpStream, waiting_since: Option<Instant>) -> Accepted {
        Accepted { stream, queued_since: waiting_since.unwrap_or_else(Instant::now) }
    }
}

/// Accepts connections on the listening socket until the accept period of the graceful shutdown is over.
pub struct Acceptor {
    listener: TcpListener,
    backoff: Backoff,
    /// Time since which connections may be waiting in the listen queue; `None` if the last call of accept
    /// found it empty.
    waiting_since: Option<Instant>,
}

impl Acceptor {
    /// Creates an acceptor for a listening socket.
    pub fn new(listener: TcpListener) -> Acceptor {
        Acceptor { listener, backoff: Backoff::new(), waiting_since: None }
    }

    /// Records that connections may be waiting in the listen queue from now on. Has no effect if that has
    /// been recorded since the queue was last found empty.
    pub fn mark_connections_waiting(&mut self) {
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// Accepts the next connection. Cancel safe: no connection is lost if the future is dropped.
    pub async fn accept(&mut self) -> Accepted {
        loop {
            self.backoff.wait().await;
            match poll_fn(|cx| self.poll_accept(cx)).await {
                Ok(stream) => {
                    self.backoff = Backoff::new();
                    return Accepted::new(stream, self.waiting_since);
                }
                Err(error) => {
                    self.mark_connections_waiting();
                    record_failure(&mut self.backoff, &error);
                }
            }
            tokio::task::yield_now().await; // so that a series of failures does not starve the other tasks
        }
    }

    /// Stops accepting new connections; returns the listen queue, from which the waiting ones are accepted.
    pub fn into_queue(self) -> io::Result<ListenQueue> {
        let waiting_since = self.waiting_since;
        Ok(ListenQueue { listener: self.listener.into_std()?, backoff: Backoff::new(), waiting_since })
    }

    fn poll_accept(&mut self, cx: &mut Context) -> Poll<io::Result<TcpStream>> {
        let accepted = self.listener.poll_accept(cx);
        if accepted.is_pending() {
            self.waiting_since = None;
        }
        accepted.map_ok(|(stream, _)| stream)
    }
}

/// The listen queue after the accept period. Unlike [`Acceptor`], it does not wait for new connections.
/// Dropping it closes the listening socket.
pub struct ListenQueue {
    listener: std::net::TcpListener,
    backoff: Backoff,
    waiting_since: Option<Instant>,
}

impl ListenQueue {
    /// Records that connections may be waiting from now on, as
    /// [`Acceptor::mark_connections_waiting`] does.
    pub fn mark_connections_waiting(&mut self) {
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// Returns the next connection, or `None` if the queue is empty. Waits while the resources of this
    /// machine are exhausted. Cancel safe: no connection is lost if the future is dropped.
    pub async fn next(&mut self) -> Option<Accepted> {
        loop {
            self.backoff.wait().await;
            match self.accept() {
                Ok(stream) => {
                    self.backoff = Backoff::new();
                    return Some(Accepted::new(stream, self.waiting_since));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
                Err(error) => record_failure(&mut self.backoff, &error),
            }
            tokio::task::yield_now().await; // so that a series of failures does not starve the other tasks
        }
    }

    fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.listener.accept()?;
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    }
}

/// Records a failed accept: either a single connection was lost, or the resources of this machine are
/// exhausted and the next call has to back off.
fn record_failure(backoff: &mut Backoff, error: &io::Error) {
    if !is_resource_exhaustion(error) {
        tracing::debug!(%error, "accept failed");
        return;
    }
    if backoff.is_initial() {
        tracing::warn!(%error, "accept failed");
    }
    backoff.record_failure();
}
