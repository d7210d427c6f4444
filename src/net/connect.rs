//! Opens connections to backends and to discovery.

use super::backoff::Backoff;
use super::resource_exhaustion::is_local;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why no connection was established.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This machine lacked the resources for one all the time: nothing is known of the other side.
    #[error("this machine is short of sockets, addresses or routes")]
    ResourcesExhausted,
    /// The connection was refused or failed on its way.
    #[error(transparent)]
    Failed(#[from] io::Error),
    /// The other side did not answer in time.
    #[error("no connection in time")]
    TimedOut,
}

/// An established connection.
pub struct Connected<Slot> {
    /// The connection.
    pub stream: TcpStream,
    /// What was reserved for it.
    pub slot: Slot,
}

/// Connects within `timeout`, once `reserve` yields a slot for the connection. Attempts that fail for want of
/// this machine's resources are repeated until then.
///
/// # Errors
///
/// [`ConnectError`] says whether the other side or this machine is the cause.
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

/// Connects however long it takes; `is_in_progress` is set while the other side is waited for.
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
                Err(error) if is_local(&error) => tracing::debug!(%address, %error, "connect failed"),
                Err(error) => return Err(error),
            }
        }
        backoff.record_failure();
        backoff.wait().await;
    }
}
