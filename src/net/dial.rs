//! Connections to backends and to discovery.

use super::failures;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The wait before a dial that failed for want of this machine's means is made again; it doubles up to the latter.
const REDIAL: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(20));

/// Why no connection came up.
#[derive(Debug)]
pub enum DialError {
    /// This machine had not the means for one all the time: nothing is known of the other side.
    NoMeans,
    /// The other side refused it or did not answer in time.
    Unreachable(Option<io::Error>),
}

impl std::fmt::Display for DialError {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            DialError::NoMeans => write!(to, "this machine is short of sockets, addresses or routes"),
            DialError::Unreachable(Some(failure)) => failure.fmt(to),
            DialError::Unreachable(None) => write!(to, "no connection in time"),
        }
    }
}

/// Opens a connection within so much time. What fails for a moment for want of this machine's means is tried again
/// until then. `has_room`: whether one more socket may be opened now.
pub async fn dial(
    address: SocketAddr, within: Duration, has_room: impl Fn() -> bool,
) -> Result<TcpStream, DialError> {
    let mut dialled = false;
    let dialling = async {
        let mut pause = REDIAL.0;
        loop {
            if has_room() {
                dialled = true;
                match TcpStream::connect(address).await {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        return Ok(stream);
                    }
                    Err(failure) if !failures::is_of_this_machine(&failure) => {
                        return Err(DialError::Unreachable(Some(failure)));
                    }
                    Err(failure) => {
                        dialled = false;
                        tracing::debug!("dial {address}: {failure}");
                    }
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(REDIAL.1);
        }
    };
    match tokio::time::timeout(within, dialling).await {
        Ok(result) => result,
        Err(_) if dialled => Err(DialError::Unreachable(None)),
        Err(_) => Err(DialError::NoMeans),
    }
}
