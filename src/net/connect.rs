//! Opens TCP connections to backends and to discovery.

use super::backoff::Backoff;
use super::resource_exhaustion::is_local_failure;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Error when establishing a connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// No attempt was in progress at the timeout because local resources were exhausted. This says nothing
    /// about the remote side.
    #[error("no local socket, address or route available")]
    ResourcesExhausted,
    /// The connection was refused, or failed in the network.
    #[error(transparent)]
    Failed(#[from] io::Error),
    /// The remote side did not accept the connection within the timeout.
    #[error("connect timed out")]
    TimedOut,
}

/// An established connection.
pub struct Connected<Slot> {
    /// The connected socket, with `TCP_NODELAY` set where possible.
    pub stream: TcpStream,
    /// The slot that was reserved for the connection.
    pub slot: Slot,
}

/// Connects to `address` within `timeout`. Each attempt first calls `reserve` for a slot, such as a share of
/// a socket limit. While `reserve` returns `None`, or attempts fail because of exhausted local resources,
/// `connect` retries with a backoff.
///
/// # Errors
///
/// Returns a [`ConnectError`], which tells local from remote causes.
pub async fn connect<Slot>(
    address: SocketAddr, timeout: Duration, reserve: impl Fn() -> Option<Slot>,
) -> Result<Connected<Slot>, ConnectError> {
    let is_in_progress = Cell::new(false);
    let attempts = attempt_until_connected(address, reserve, &is_in_progress);
    let connected = match tokio::time::timeout(timeout, attempts).await {
        Ok(result) => result?,
        Err(_) if is_in_progress.get() => return Err(ConnectError::TimedOut),
        Err(_) => return Err(ConnectError::ResourcesExhausted),
    };
    let _ = connected.stream.set_nodelay(true);
    Ok(connected)
}

/// Retries until connected, without a timeout. `is_in_progress` is set while a connect call waits for the
/// remote side.
async fn attempt_until_connected<Slot>(
    address: SocketAddr, reserve: impl Fn() -> Option<Slot>, is_in_progress: &Cell<bool>,
) -> Result<Connected<Slot>, io::Error> {
    let mut backoff = Backoff::new();
    loop {
        if let Some(slot) = reserve() {
            is_in_progress.set(true);
            let result = TcpStream::connect(address).await;
            is_in_progress.set(false);
            match result {
                Ok(stream) => return Ok(Connected { stream, slot }),
                Err(error) if is_local_failure(&error) => tracing::debug!(%address, %error, "connect failed"),
                Err(error) => return Err(error),
            }
        }
        backoff.record_failure();
        backoff.wait().await;
    }
}
