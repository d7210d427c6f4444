//! What came of the clients' requests.

use crate::latency::{HistogramError, LatencyHistogram};
use crate::locking::lock;
use hyper::StatusCode;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What came of all requests.
#[derive(Clone)]
pub struct ClientCounters {
    /// Those that were due.
    pub planned: u64,
    /// Those answered with 200.
    pub served: u64,
    /// Those answered with 429 or 503.
    pub rejected: u64,
    /// Those answered otherwise.
    pub failed: u64,
    /// Those sent whole that never had an answer.
    pub lost: u64,
    /// Those that the clients could not send: no connection, or too many open.
    pub unsent: u64,
    /// Those sent once more, because their connection was closed as they went out on it.
    pub resent: u64,
    /// Messages from a proxy that no request had asked for.
    pub unexpected_messages: u64,
    /// Time from the planned send to the answer less the backend's own.
    pub added_latency: LatencyHistogram,
    /// The longest time between two answers.
    pub longest_response_gap: Duration,
    last_response_at: Option<Instant>,
}

impl ClientCounters {
    fn new() -> Result<ClientCounters, HistogramError> {
        Ok(ClientCounters {
            planned: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            lost: 0,
            unsent: 0,
            resent: 0,
            unexpected_messages: 0,
            added_latency: LatencyHistogram::new()?,
            longest_response_gap: Duration::ZERO,
            last_response_at: None,
        })
    }

    /// Requests that a proxy has answered.
    pub fn response_count(&self) -> u64 {
        self.served + self.rejected + self.failed
    }

    /// Counts a request that has come to its end.
    pub(super) fn record(&mut self, planned_at: Instant, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Unsent => self.unsent += 1,
            RequestOutcome::Lost => self.lost += 1,
            RequestOutcome::Responded { status, service_time } => {
                self.record_response(planned_at, status, service_time);
            }
        }
    }

    fn record_response(&mut self, planned_at: Instant, status: StatusCode, service_time: Duration) {
        let now = Instant::now();
        if let Some(last_response_at) = self.last_response_at {
            self.longest_response_gap = self.longest_response_gap.max(now - last_response_at);
        }
        self.last_response_at = Some(now);
        match status {
            StatusCode::OK => {
                self.served += 1;
                let added = now.saturating_duration_since(planned_at).saturating_sub(service_time);
                self.added_latency.record_us(added.as_micros() as u64);
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}

/// What came of one request.
pub(super) enum RequestOutcome {
    /// It was answered.
    Responded {
        /// Status of the answer.
        status: StatusCode,
        /// How long the backend took by its own account.
        service_time: Duration,
    },
    /// It was sent and never answered.
    Lost,
    /// It could not be sent.
    Unsent,
}

/// The counters, shared by the threads of the clients.
#[derive(Clone)]
pub(super) struct SharedCounters(Arc<Mutex<ClientCounters>>);

impl SharedCounters {
    pub fn new() -> Result<SharedCounters, HistogramError> {
        Ok(SharedCounters(Arc::new(Mutex::new(ClientCounters::new()?))))
    }

    pub fn lock(&self) -> MutexGuard<'_, ClientCounters> {
        lock(&self.0)
    }

    pub fn snapshot(&self) -> ClientCounters {
        self.lock().clone()
    }
}
