//! Bytes that were read from a client while its request awaits its response, and are not passed to hyper yet.

use hyper::rt::ReadBufCursor;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes that every connection may read ahead; also the step in which more memory is reserved.
pub(super) const STEP_BYTES: usize = 4 << 10;
/// Maximum number of bytes of a connection that are read ahead, more than a valid request has.
const MAX_BYTES: usize = 128 << 10;

/// Buffer of one connection. Beyond [`STEP_BYTES`], its memory is reserved from a budget that all connections
/// share.
pub(super) struct ReadAhead {
    bytes: VecDeque<u8>,
    budget: Arc<Semaphore>,
    reservation: Option<OwnedSemaphorePermit>,
    /// Whether bytes were dropped. All later bytes are then dropped too.
    is_truncated: bool,
}

impl ReadAhead {
    /// Creates an empty buffer. A permit of `budget` stands for one byte.
    pub fn new(budget: Arc<Semaphore>) -> ReadAhead {
        ReadAhead { bytes: VecDeque::new(), budget, reservation: None, is_truncated: false }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether bytes were dropped.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Returns how many bytes may be read at once, at most [`STEP_BYTES`]. Reserves more memory if the buffer
    /// is full; `None` if the connections have none left, so that the bytes have to wait in the kernel.
    pub fn readable_length(&mut self) -> Option<usize> {
        if self.is_dropping() {
            return Some(STEP_BYTES);
        }
        if self.bytes.len() == self.reserved_bytes() && !self.reserve_step() {
            return None;
        }
        Some(STEP_BYTES.min(self.reserved_bytes() - self.bytes.len()))
    }

    /// Adds bytes that were read, no more than [`readable_length`](ReadAhead::readable_length) allowed.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.is_dropping() {
            self.is_truncated = true;
            return;
        }
        if self.bytes.capacity() < self.bytes.len() + bytes.len() {
            self.bytes.reserve_exact(self.reserved_bytes() - self.bytes.len());
        }
        self.bytes.extend(bytes);
    }

    /// Drops what was read ahead, and whatever follows.
    pub fn discard(&mut self) {
        self.is_truncated = true;
        self.free();
    }

    /// Passes bytes on to hyper. Frees the memory once the buffer is empty.
    pub fn take_into(&mut self, mut target: ReadBufCursor) {
        let (first, _) = self.bytes.as_slices();
        let length = first.len().min(target.remaining());
        target.put_slice(&first[..length]);
        self.bytes.drain(..length);
        if self.bytes.is_empty() {
            self.free();
        }
    }

    /// Whether further bytes are read only to detect the end of the stream, and dropped.
    fn is_dropping(&self) -> bool {
        self.is_truncated || self.bytes.len() >= MAX_BYTES
    }

    fn free(&mut self) {
        self.bytes = VecDeque::new();
        self.reservation = None;
    }

    fn reserved_bytes(&self) -> usize {
        STEP_BYTES + self.reservation.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    /// Reserves memory for another step; returns whether there was any.
    fn reserve_step(&mut self) -> bool {
        let Ok(step) = self.budget.clone().try_acquire_many_owned(STEP_BYTES as u32) else { return false };
        match &mut self.reservation {
            Some(reservation) => reservation.merge(step),
            None => self.reservation = Some(step),
        }
        true
    }
}
