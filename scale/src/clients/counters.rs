//! Outcomes of the clients' requests.

use crate::latency::{HistogramError, LatencyHistogram};
use crate::locking::lock;
use hyper::StatusCode;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Counters over the requests of all clients.
#[derive(Clone)]
pub struct ClientCounters {
    /// Requests that became due by the schedule.
    pub planned: u64,
    /// Responses with status 200.
    pub served: u64,
    /// Responses with status 429 or 503.
    pub rejected: u64,
    /// Responses with any other status.
    pub failed: u64,
    /// Requests that were sent and did not receive a complete response in time.
    pub lost: u64,
    /// Requests that could not be sent: the queue of due requests was full, the connection limit was reached
    /// or no connection could be opened.
    pub unsent: u64,
    /// Requests sent a second time because the proxy closed the reused connection before it responded.
    pub resent: u64,
    /// Connections on which a proxy sent data that is not a response to a request.
    pub unexpected_messages: u64,
    /// Time from the planned send to the response minus the backend's service time, for served requests.
    pub added_latency: LatencyHistogram,
    /// Longest time between two consecutive responses.
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

    /// Returns the number of responses of any status.
    pub fn response_count(&self) -> u64 {
        self.served + self.rejected + self.failed
    }

    /// Records the outcome of a request.
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

/// Outcome of one request.
pub(super) enum RequestOutcome {
    /// The proxy responded.
    Responded {
        status: StatusCode,
        /// Service time that the backend reported; 0 without a report.
        service_time: Duration,
    },
    /// The request was sent and no complete response arrived in time.
    Lost,
    /// The request could not be sent.
    Unsent,
}

/// Counters shared between the client threads.
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
