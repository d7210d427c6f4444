//! Listening socket of the discovery service, which can be closed and reopened on the same address.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Binds a port of 127.0.0.1 that the operating system chooses.
pub(super) fn bind_any_port() -> io::Result<std::net::TcpListener> {
    bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// A listening address, with its listener unless the socket is closed.
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

    /// Stops listening: connections are refused until [`open`](Self::open) is called.
    pub fn close(&mut self) {
        self.listener = None;
    }

    /// Listens on the same address again; does nothing if the socket is open.
    pub fn open(&mut self) -> io::Result<()> {
        if self.listener.is_none() {
            self.listener = Some(TcpListener::from_std(bind(self.address)?)?);
        }
        Ok(())
    }

    /// Accepts a connection; returns `None` after an error. Never completes while the socket is closed.
    pub async fn accept(&self) -> Option<TcpStream> {
        let Some(listener) = &self.listener else { return std::future::pending().await };
        match listener.accept().await {
            Ok((stream, _)) => Some(stream),
            Err(error) => {
                tracing::warn!("discovery: accept failed: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                None
            }
        }
    }
}
