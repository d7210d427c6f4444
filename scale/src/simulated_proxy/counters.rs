//! What the simulated proxies of a point count together.

use crate::latency::{HistogramError, LatencyHistogram};
use crate::locking::lock;
use std::sync::{Arc, Mutex, MutexGuard};

/// What all proxies counted.
#[derive(Clone)]
pub struct ProxyCounters {
    /// Requests that came to a proxy with a list.
    pub planned: u64,
    /// Those served.
    pub served: u64,
    /// Those rejected.
    pub rejected: u64,
    /// Those failed.
    pub failed: u64,
    /// Those without an answer some ticks after their deadline.
    pub unanswered: u64,
    /// Further answers to requests that had one.
    pub duplicate_answers: u64,
    /// Requests that came while a proxy had no list: a platform would have sent them elsewhere.
    pub arrived_before_ready: u64,
    /// Requests that a restarted proxy left without an answer.
    pub dropped_at_restart: u64,
    /// Attempts that were dispatched.
    pub attempts: u64,
    /// Losses of the subscription.
    pub subscriptions_lost: u64,
    /// Time from arrival to answer less the backend's own.
    pub added_latency: LatencyHistogram,
    /// From a proxy's start to its first list with a ready backend, since the last restart.
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
            duplicate_answers: 0,
            arrived_before_ready: 0,
            dropped_at_restart: 0,
            attempts: 0,
            subscriptions_lost: 0,
            added_latency: LatencyHistogram::new()?,
            time_to_ready: LatencyHistogram::new()?,
        })
    }
}

/// The counters, shared by all proxies.
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
