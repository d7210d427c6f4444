//! The listening socket: clients' connections one by one, whatever goes wrong with a single call.

use beechworks::net::failures;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// The wait after an accept that failed because the means of this machine are short. It doubles with each further
/// one, up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
const LONGEST_PAUSE: Duration = Duration::from_millis(20);

/// The wait while the means for further connections are short.
struct Pause {
    next: Duration,
    until: Option<Instant>,
}

impl Pause {
    fn new() -> Pause {
        Pause { next: FIRST_PAUSE, until: None }
    }

    /// Takes in a failed accept: one connection is gone, or the next has to wait.
    fn failed(&mut self, failure: &io::Error) {
        if !failures::is_short_of_means(failure) {
            tracing::debug!("accept: {failure}");
            return;
        }
        if self.next == FIRST_PAUSE {
            tracing::warn!("accept: {failure}");
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

/// The listening socket while the proxy runs.
pub struct Acceptor {
    listener: TcpListener,
    pause: Pause,
}

impl Acceptor {
    pub fn new(listener: TcpListener) -> Acceptor {
        Acceptor { listener, pause: Pause::new() }
    }

    /// The next connection. Dropped before it is ready it loses none.
    pub async fn accept(&mut self) -> TcpStream {
        loop {
            self.pause.over().await;
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    self.pause = Pause::new();
                    return stream;
                }
                Err(failure) => self.pause.failed(&failure),
            }
            tokio::task::yield_now().await;
        }
    }

    /// What the system has taken for the proxy and the proxy has not yet.
    pub fn into_queue(self) -> io::Result<Queue> {
        Ok(Queue { listener: self.listener.into_std()?, pause: Pause::new() })
    }
}

/// The connections that waited as the proxy ceased to accept. The socket is closed with it.
pub struct Queue {
    listener: std::net::TcpListener,
    pause: Pause,
}

impl Queue {
    /// The next one, if there is any; waits while the means for one are short. Dropped before it is ready it loses none.
    pub async fn next(&mut self) -> Option<TcpStream> {
        loop {
            self.pause.over().await;
            match self.take() {
                Ok(stream) => {
                    self.pause = Pause::new();
                    return Some(stream);
                }
                Err(failure) if failure.kind() == io::ErrorKind::WouldBlock => return None,
                Err(failure) => self.pause.failed(&failure),
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
