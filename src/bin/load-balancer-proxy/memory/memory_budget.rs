//! How the memory limit of the process is divided.

use std::sync::Arc;
use tokio::sync::Semaphore;

/// File descriptors reserved for the listener, discovery, signals, standard streams and the runtime.
const RESERVED_DESCRIPTORS: usize = 32;
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// The connections may read ahead this fraction of the memory limit.
const READ_AHEAD_FRACTION: f64 = 1.0 / 16.0;

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

/// Budgets that all connections share.
pub struct MemoryBudget {
    /// What clients have sent while their requests await their responses; a permit stands for a byte.
    pub read_ahead: Arc<Semaphore>,
}

impl MemoryBudget {
    /// Divides a memory limit, in megabytes. Without a limit, the budgets are unlimited.
    pub fn new(limit_mb: Option<f64>) -> MemoryBudget {
        let Some(limit_mb) = limit_mb else {
            return MemoryBudget { read_ahead: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)) };
        };
        let limit_bytes = limit_mb * BYTES_PER_MEGABYTE;
        let read_ahead_bytes = (limit_bytes * READ_AHEAD_FRACTION) as usize;
        MemoryBudget { read_ahead: Arc::new(Semaphore::new(read_ahead_bytes.min(Semaphore::MAX_PERMITS))) }
    }
}
