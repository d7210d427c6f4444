//! The listening socket: accepts client connections one by one, whatever fails with a single call.

use load_balancer::net::backoff::Backoff;
use load_balancer::net::resource_exhaustion::is_exhausted;
use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// A client's connection.
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// Since when it may have waited to be accepted.
    pub since: Instant,
}

impl Accepted {
    /// A connection accepted now, or that may have waited from `waiting_since` on.
    fn new(stream: TcpStream, waiting_since: Option<Instant>) -> Accepted {
        Accepted { stream, since: waiting_since.unwrap_or_else(Instant::now) }
    }
}

/// The listening socket while the proxy runs.
pub struct Acceptor {
    listener: TcpListener,
    backoff: Backoff,
    /// Since when connections may wait to be accepted; `None` once the queue was found empty after that.
    waiting_since: Option<Instant>,
}

impl Acceptor {
    /// Accepts the connections of a listening socket.
    pub fn new(listener: TcpListener) -> Acceptor {
        Acceptor { listener, backoff: Backoff::new(), waiting_since: None }
    }

    /// No connection is accepted until the next call of [`Acceptor::accept`].
    pub fn pause(&mut self) {
        self.waiting_since.get_or_insert_with(Instant::now);
    }

    /// The next connection. Dropped before it is ready, it loses none.
    pub async fn accept(&mut self) -> Accepted {
        loop {
            self.backoff.wait().await;
            match poll_fn(|cx| self.poll_accept(cx)).await {
                Ok(stream) => {
                    self.backoff = Backoff::new();
                    return Accepted::new(stream, self.waiting_since);
                }
                Err(error) => {
                    self.pause();
                    record_failure(&mut self.backoff, &error);
                }
            }
            tokio::task::yield_now().await; // a run of failures does not keep the other tasks waiting
        }
    }

    /// The connections that the system has accepted and the proxy has not.
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

/// The connections that were waiting when the proxy ceased to accept. Dropping it closes the socket.
pub struct ListenQueue {
    listener: std::net::TcpListener,
    backoff: Backoff,
    waiting_since: Option<Instant>,
}

impl ListenQueue {
    /// The next connection, if there is one; waits while resources for it are exhausted. Dropped before it is
    /// ready, it loses none.
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
            tokio::task::yield_now().await; // a run of failures does not keep the other tasks waiting
        }
    }

    fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.listener.accept()?;
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    }
}

/// Takes in a failed accept: either one connection was lost, or the next attempt has to wait for resources.
fn record_failure(backoff: &mut Backoff, error: &io::Error) {
    if !is_exhausted(error) {
        tracing::debug!(%error, "accept failed");
        return;
    }
    if backoff.is_initial() {
        tracing::warn!(%error, "accept failed");
    }
    backoff.record_failure();
}
