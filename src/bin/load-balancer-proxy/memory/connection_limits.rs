//! How many connections the file descriptors of the process allow.

/// File descriptors reserved for the listener, discovery, signals, standard streams and the runtime.
const RESERVED_DESCRIPTORS: usize = 32;

/// Maximum numbers of open client and backend connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Client connections.
    pub clients: usize,
    /// Backend connections.
    pub backends: usize,
}

impl ConnectionLimits {
    /// Splits the descriptors that are not reserved equally between clients and backends.
    pub fn of(descriptors: usize) -> ConnectionLimits {
        let available = descriptors - RESERVED_DESCRIPTORS;
        let clients = available / 2;
        ConnectionLimits { clients, backends: available - clients }
    }
}
