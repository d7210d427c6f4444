//! Ports that are reserved for a test before anything listens on them.

use std::net::{SocketAddr, TcpListener};
use std::sync::OnceLock;

/// Maximum number of connections that are queued until they are accepted.
const LISTEN_BACKLOG: i32 = 128;

/// A port that is bound, so that no other process can get it, and refuses connections until
/// [`ReservedPort::listen`].
pub struct ReservedPort {
    socket: socket2::Socket,
    pub address: SocketAddr,
}

impl ReservedPort {
    pub fn bind() -> ReservedPort {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        ReservedPort { socket, address }
    }

    /// Starts listening on the port.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(LISTEN_BACKLOG).unwrap();
        self.socket.into()
    }
}

/// Returns an address that refuses connections while the tests run.
pub fn refusing_address() -> SocketAddr {
    static REFUSING: OnceLock<ReservedPort> = OnceLock::new();
    REFUSING.get_or_init(ReservedPort::bind).address
}
