//! A port that a test has to itself and on which nobody listens yet.

use std::net::{SocketAddr, TcpListener};
use std::sync::OnceLock;

/// Connections that a stand-in leaves to the system before it accepts them.
const LISTEN_QUEUE: i32 = 128;

/// A port that refuses connections: bound, so that nobody else is given it, and not listening yet.
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

    /// Takes connections from now on.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(LISTEN_QUEUE).unwrap();
        self.socket.into()
    }
}

/// An address at which nobody listens while the tests run.
pub fn refusing_address() -> SocketAddr {
    static REFUSING: OnceLock<ReservedPort> = OnceLock::new();
    REFUSING.get_or_init(ReservedPort::bind).address
}
