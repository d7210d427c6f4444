//! The listening socket: accepts client connections one by one, whatever fails with a single call.

use load_balancer::net::failures;
use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// The wait after an accept that failed because the means of this machine are short. It doubles with each further
/// one, up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
const LONGEST_PAUSE: Duration = Duration::from_millis(20);

/// The wait while the means for further connections are short.
struct Backoff {
    next: Duration,
    until: Option<Instant>,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff { next: FIRST_PAUSE, until: None }
    }

    /// Takes in a failed accept: one connection is gone, or the next has to wait.
    fn failed(&mut self, failure: &io::Error) {
        if !failures::is_short_of_means(failure) {
            tracing::debug!(error = %failure, "accept failed");
            return;
        }
        if self.next == FIRST_PAUSE {
            tracing::warn!(error = %failure, "accept failed");
        }
        self.until = Some(Instant::now() + self.next);
        self.next = (self.next * 2).min(LONGEST_PAUSE);
    }

    async fn over(&mut self) {
        if let Some(until) = self.until {
            tokio::time::sleep_until(until).await;
            self.until = None;
        }
    }
}

/// A client's connection, and since when it may have waited to be accepted.
pub struct Accepted {
    pub stream: TcpStream,
    pub since: Instant,
}

/// The listening socket while the proxy runs.
pub struct Acceptor {
    listener: TcpListener,
    backoff: Backoff,
    /// Since when connections may wait that are not accepted; none do where the queue was found empty after that.
    unaccepted_since: Option<Instant>,
}

impl Acceptor {
    pub fn new(listener: TcpListener) -> Acceptor {
        Acceptor { listener, backoff: Backoff::new(), unaccepted_since: None }
    }

    /// None is accepted for the time being.
    pub fn pause(&mut self) {
        self.unaccepted_since.get_or_insert_with(Instant::now);
    }

    /// The next connection. Dropped before it is ready it loses none.
    pub async fn accept(&mut self) -> Accepted {
        loop {
            self.backoff.over().await;
            match poll_fn(|cx| self.poll_accept(cx)).await {
                Ok(stream) => {
                    self.backoff = Backoff::new();
                    return Accepted { stream, since: self.unaccepted_since.unwrap_or_else(Instant::now) };
                }
                Err(failure) => {
                    self.pause();
                    self.backoff.failed(&failure);
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn poll_accept(&mut self, cx: &mut Context) -> Poll<io::Result<TcpStream>> {
        let accepted = self.listener.poll_accept(cx);
        if accepted.is_pending() {
            self.unaccepted_since = None;
        }
        accepted.map_ok(|(stream, _)| stream)
    }

    /// What the system has taken for the proxy and the proxy has not yet.
    pub fn into_queue(self) -> io::Result<ListenQueue> {
        let unaccepted_since = self.unaccepted_since;
        Ok(ListenQueue { listener: self.listener.into_std()?, backoff: Backoff::new(), unaccepted_since })
    }
}

/// The connections that waited as the proxy ceased to accept. The socket is closed with it.
pub struct ListenQueue {
    listener: std::net::TcpListener,
    backoff: Backoff,
    unaccepted_since: Option<Instant>,
}

impl ListenQueue {
    /// The next one, if there is any; waits while the means for one are short. Dropped before it is ready it loses none.
    pub async fn next(&mut self) -> Option<Accepted> {
        loop {
            self.backoff.over().await;
            match self.take() {
                Ok(stream) => {
                    self.backoff = Backoff::new();
                    return Some(Accepted {
                        stream,
                        since: self.unaccepted_since.unwrap_or_else(Instant::now),
                    });
                }
                Err(failure) if failure.kind() == io::ErrorKind::WouldBlock => return None,
                Err(failure) => self.backoff.failed(&failure),
            }
            tokio::task::yield_now().await;
        }
    }

    fn take(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.listener.accept()?;
        stream.set_nonblocking(true)?;
        TcpStream::from_std(stream)
    }
}
