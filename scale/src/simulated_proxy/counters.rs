//! Counters that the simulated proxies of a point share.

use crate::latency::{HistogramError, LatencyHistogram};
use crate::locking::lock;
use std::sync::{Arc, Mutex, MutexGuard};

/// Counters summed over all proxies.
#[derive(Clone)]
pub struct ProxyCounters {
    /// Requests that arrived at ready proxies.
    pub planned: u64,
    /// Requests whose final response is that of a backend.
    pub served: u64,
    /// Requests that the balancer rejected.
    pub rejected: u64,
    /// Requests that the balancer failed.
    pub failed: u64,
    /// Requests without a final response by the end of the grace period after their deadline.
    pub unanswered: u64,
    /// Rejections and failures of requests that already had a final response.
    pub duplicate_responses: u64,
    /// Requests that arrived at proxies that were not ready, and were dropped. A platform would not route
    /// requests to these proxies.
    pub arrived_before_ready: u64,
    /// Requests that had no final response when their proxy was restarted.
    pub dropped_at_restart: u64,
    /// Attempts dispatched to backends.
    pub attempts: u64,
    /// Number of times that a proxy lost its subscription to the endpoint list.
    pub subscriptions_lost: u64,
    /// Time from arrival to response minus the backend's service time, for served requests.
    pub added_latency: LatencyHistogram,
    /// Time from a proxy's start to its first list with a ready backend. Cleared when all proxies restart.
    pub time_to_ready: LatencyHistogram,
}

impl ProxyCounters {
    fn new() -> Result<ProxyCounters, HistogramError> {
        Ok(ProxyCounters {
            planned: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            unanswered: 0,
            duplicate_responses: 0,
            arrived_before_ready: 0,
            dropped_at_restart: 0,
            attempts: 0,
            subscriptions_lost: 0,
            added_latency: LatencyHistogram::new()?,
            time_to_ready: LatencyHistogram::new()?,
        })
    }
}

/// Handle to the counters that all proxies share.
#[derive(Clone)]
pub(super) struct SharedCounters(Arc<Mutex<ProxyCounters>>);

impl SharedCounters {
    pub fn new() -> Result<SharedCounters, HistogramError> {
        Ok(SharedCounters(Arc::new(Mutex::new(ProxyCounters::new()?))))
    }

    pub fn lock(&self) -> MutexGuard<'_, ProxyCounters> {
        lock(&self.0)
    }

    pub fn snapshot(&self) -> ProxyCounters {
        self.lock().clone()
    }
}
