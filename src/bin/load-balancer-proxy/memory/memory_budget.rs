//! How the memory limit of the process is divided.

use super::{BodyBudget, ConnectionLimits};
use std::sync::Arc;
use tokio::sync::Semaphore;

const BYTES_PER_MEGABYTE: f64 = 1e6;
/// The program without connections: code, balancer, settings, endpoint list and the list that replaces it.
const PROGRAM_BYTES: f64 = 6e6;
/// The buffers and the state of a connection, with heads of the greatest length and number of fields.
const CONNECTION_BYTES: f64 = 54.0 * 1024.0;
/// The connections may read ahead this fraction of the memory limit.
const READ_AHEAD_FRACTION: f64 = 1.0 / 16.0;
/// Bodies have at least this fraction of the memory limit.
const MIN_BODY_FRACTION: f64 = 1.0 / 4.0;

/// Budgets that all connections share.
pub struct MemoryBudget {
    /// Bodies of requests, until their last attempt has ended.
    pub request_bodies: BodyBudget,
    /// Bodies of responses, until they are written to the client.
    pub response_bodies: BodyBudget,
    /// What clients have sent while their requests await their responses; a permit stands for a byte.
    pub read_ahead: Arc<Semaphore>,
}

impl MemoryBudget {
    /// Divides a memory limit, in megabytes. Without a limit, the budgets are unlimited.
    ///
    /// What remains beside the program, the buffers of all connections and reading ahead is for bodies. A
    /// process with many descriptors and little memory has at least [`MIN_BODY_FRACTION`] for them.
    pub fn new(limit_mb: Option<f64>, connections: ConnectionLimits) -> MemoryBudget {
        let Some(limit_mb) = limit_mb else { return MemoryBudget::of(usize::MAX, usize::MAX) };
        let limit = limit_mb * BYTES_PER_MEGABYTE;
        let read_ahead = limit * READ_AHEAD_FRACTION;
        let buffers = CONNECTION_BYTES * (connections.clients + connections.backends) as f64;
        let bodies = (limit - PROGRAM_BYTES - buffers - read_ahead).max(limit * MIN_BODY_FRACTION);
        MemoryBudget::of((bodies / 2.0) as usize, read_ahead as usize)
    }

    /// Creates budgets of `body_bytes` for requests, as much for responses, and `read_ahead_bytes`.
    fn of(body_bytes: usize, read_ahead_bytes: usize) -> MemoryBudget {
        MemoryBudget {
            request_bodies: BodyBudget::new(body_bytes),
            response_bodies: BodyBudget::new(body_bytes),
            read_ahead: Arc::new(Semaphore::new(read_ahead_bytes.min(Semaphore::MAX_PERMITS))),
        }
    }
}
