//! Counters of the simulated discovery service.

use crate::counted_stream::ByteCounters;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Snapshot of the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryCounters {
    /// Calls received.
    pub calls: u64,
    /// Calls answered with the complete list, not counting snapshots that answer a watch.
    pub lists: u64,
    /// Calls answered with status 503.
    pub rejected: u64,
    /// Maximum number of calls in the queue since the peaks were reset.
    pub longest_queue: u64,
    /// Maximum number of calls within one second since the peaks were reset.
    pub peak_calls_per_s: u64,
    /// Bytes sent to proxies.
    pub bytes_out: u64,
    /// Bytes received from proxies.
    pub bytes_in: u64,
}

impl DiscoveryCounters {
    /// Returns the bytes sent and received.
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    /// Returns the counts since `earlier`; the peaks are not differences, they keep their present values.
    pub fn since(&self, earlier: &DiscoveryCounters) -> DiscoveryCounters {
        DiscoveryCounters {
            calls: self.calls - earlier.calls,
            lists: self.lists - earlier.lists,
            rejected: self.rejected - earlier.rejected,
            bytes_out: self.bytes_out - earlier.bytes_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            ..*self
        }
    }
}

/// Counters of a running service, shared with its handle.
#[derive(Default)]
pub(super) struct SharedCounters {
    calls: AtomicU64,
    lists: AtomicU64,
    rejected: AtomicU64,
    longest_queue: AtomicU64,
    peak_calls_per_s: AtomicU64,
    bytes: Arc<ByteCounters>,
}

impl SharedCounters {
    /// Returns the byte counters that all connections share.
    pub fn bytes(&self) -> Arc<ByteCounters> {
        self.bytes.clone()
    }

    pub fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    pub fn count_list(&self) {
        self.lists.fetch_add(1, Ordering::Relaxed);
    }

    pub fn count_rejection(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    pub fn record_queue_length(&self, length: u64) {
        self.longest_queue.fetch_max(length, Ordering::Relaxed);
    }

    pub fn record_call_rate(&self, calls_per_s: u64) {
        self.peak_calls_per_s.fetch_max(calls_per_s, Ordering::Relaxed);
    }

    pub fn reset_peaks(&self) {
        self.longest_queue.store(0, Ordering::Relaxed);
        self.peak_calls_per_s.store(0, Ordering::Relaxed);
    }

    pub fn snapshot(&self) -> DiscoveryCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        DiscoveryCounters {
            calls: read(&self.calls),
            lists: read(&self.lists),
            rejected: read(&self.rejected),
            longest_queue: read(&self.longest_queue),
            peak_calls_per_s: read(&self.peak_calls_per_s),
            bytes_out: self.bytes.written(),
            bytes_in: self.bytes.read(),
        }
    }
}
