//! Memory for bodies. A body that does not fit waits until others are freed.
//!
//! The memory of a body is reserved as a whole before its first byte is read. If bodies were reserved in
//! steps, those that are partially read could take all memory, and none of them would ever be complete.

use crate::headers::MAX_BODY_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use load_balancer::net::body::{self, BodyError};
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A body and its reservation, which ends when the last reference to the body is dropped.
struct ReservedBody {
    bytes: Vec<u8>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A budget that bodies share. They are served in the order in which they ask.
#[derive(Clone)]
pub struct BodyBudget {
    /// A permit stands for one byte.
    free_bytes: Arc<Semaphore>,
}

impl BodyBudget {
    /// Creates a budget with room for at least one body.
    pub fn new(bytes: usize) -> BodyBudget {
        let bytes = bytes.clamp(MAX_BODY_BYTES, Semaphore::MAX_PERMITS);
        BodyBudget { free_bytes: Arc::new(Semaphore::new(bytes)) }
    }

    /// Waits for the memory of a body. Cancel safe: a dropped future reserves nothing.
    pub async fn reserve(&self, body: &Incoming) -> BodyReservation {
        let permit = match reserved_bytes(body) {
            0 => None,
            // Fails only if the semaphore is closed, which it never is.
            bytes => self.free_bytes.clone().acquire_many_owned(bytes as u32).await.ok(),
        };
        BodyReservation { permit }
    }
}

/// Memory that is reserved for a body.
pub struct BodyReservation {
    /// `None` for an empty body.
    permit: Option<OwnedSemaphorePermit>,
}

impl BodyReservation {
    /// Reads the body, of at most [`MAX_BODY_BYTES`]. Memory that it does not need is released at once.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`].
    pub async fn read(mut self, body: Incoming) -> Result<Bytes, BodyError> {
        let bytes = body::read(body, MAX_BODY_BYTES).await?;
        if let Some(permit) = &mut self.permit {
            let unused_bytes = permit.num_permits().saturating_sub(bytes.capacity());
            drop(permit.split(unused_bytes));
        }
        Ok(Bytes::from_owner(ReservedBody { bytes, _permit: self.permit }))
    }
}

/// Returns how much memory to reserve for a body: its stated length, or the maximum if it has none. Nothing
/// for a body that is too long, because it is not read.
fn reserved_bytes(body: &Incoming) -> usize {
    match body.size_hint().exact() {
        Some(stated_bytes) if stated_bytes > MAX_BODY_BYTES as u64 => 0,
        Some(stated_bytes) => stated_bytes as usize,
        None => MAX_BODY_BYTES,
    }
}
