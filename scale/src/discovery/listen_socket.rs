//! The socket on which the service accepts connections; it may be closed for a while, and move.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Wait after a failed accept: a lack of descriptors must not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Binds a port of 127.0.0.1 that the system chooses.
pub(super) fn bind_any_port() -> io::Result<std::net::TcpListener> {
    bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// An address, and its listener unless it is closed.
pub(super) struct ListenSocket {
    address: SocketAddr,
    listener: Option<TcpListener>,
}

impl ListenSocket {
    pub fn new(listener: std::net::TcpListener) -> io::Result<ListenSocket> {
        let address = listener.local_addr()?;
        Ok(ListenSocket { address, listener: Some(TcpListener::from_std(listener)?) })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses connections until it is opened again.
    pub fn close(&mut self) {
        self.listener = None;
    }

    /// Listens on its address, if it does not.
    pub fn open(&mut self) -> io::Result<()> {
        if self.listener.is_none() {
            self.listener = Some(TcpListener::from_std(bind(self.address)?)?);
        }
        Ok(())
    }

    /// The next connection; `None` after an error. Pending while closed.
    pub async fn accept(&self) -> Option<TcpStream> {
        let Some(listener) = &self.listener else { return std::future::pending().await };
        match listener.accept().await {
            Ok((stream, _)) => Some(stream),
            Err(error) => {
                tracing::warn!("discovery: accept: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                None
            }
        }
    }
}
