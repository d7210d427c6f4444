//! Connections to backends and to discovery.

use super::failures;
use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// The wait before a dial that failed for want of this machine's means is made again. It doubles, up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(1);
const LONGEST_PAUSE: Duration = Duration::from_millis(20);

/// Why no connection came up.
#[derive(Debug)]
pub enum DialError {
    /// This machine had not the means for one: nothing is known of the other side.
    NoMeans,
    /// The other side refused it.
    Refused(io::Error),
    /// The other side did not answer in time.
    TimedOut,
}

impl fmt::Display for DialError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DialError::NoMeans => write!(to, "this machine is short of sockets, addresses or routes"),
            DialError::Refused(failure) => failure.fmt(to),
            DialError::TimedOut => write!(to, "no connection in time"),
        }
    }
}

/// Opens a connection within so much time, once `reserve` gives it a place, which is returned with it. What fails for
/// want of this machine's means is tried again until then.
pub async fn dial<Place>(
    address: SocketAddr, within: Duration, reserve: impl Fn() -> Option<Place>,
) -> Result<(TcpStream, Place), DialError> {
    let on_its_way = Cell::new(false);
    let dialling = async {
        let mut pause = FIRST_PAUSE;
        loop {
            if let Some(place) = reserve() {
                on_its_way.set(true);
                let connected = TcpStream::connect(address).await;
                on_its_way.set(false);
                match connected {
                    Ok(stream) => return Ok((stream, place)),
                    Err(failure) if failures::is_of_this_machine(&failure) => {
                        tracing::debug!(%address, error = %failure, "connect failed");
                    }
                    Err(failure) => return Err(DialError::Refused(failure)),
                }
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    };
    let (stream, place) = match tokio::time::timeout(within, dialling).await {
        Ok(result) => result?,
        Err(_) if on_its_way.get() => return Err(DialError::TimedOut),
        Err(_) => return Err(DialError::NoMeans),
    };
    let _ = stream.set_nodelay(true);
    Ok((stream, place))
}
