//! Queue of discovery calls: simulates a server that processes one call at a time.

use super::counters::SharedCounters;
use crate::plan::{DiscoveryMode, Point};
use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Processing time of calls, and capacity of the queue for them.
#[derive(Clone, Copy, Debug)]
pub struct CallCosts {
    /// Processing time per call.
    pub per_call: Duration,
    /// Additional processing time per entry of a response.
    pub per_entry: Duration,
    /// Maximum number of calls in the queue; further ones are rejected.
    pub queue_capacity: usize,
    /// Each proxy calls its own local agent, so calls do not queue and take no processing time.
    pub has_local_agents: bool,
}

impl CallCosts {
    /// Returns the costs that a point's plan specifies.
    pub fn for_point(point: &Point) -> CallCosts {
        CallCosts {
            per_call: Duration::from_micros(point.discovery.call_us),
            per_entry: Duration::from_secs_f64(point.discovery.line_us / 1e6),
            queue_capacity: point.discovery.queue,
            has_local_agents: point.discovery.mode == DiscoveryMode::Push,
        }
    }
}

/// What happens to a call when the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OverflowPolicy {
    /// The call is rejected.
    Reject,
    /// The call waits in spite of the limit, because it was admitted earlier.
    Wait,
}

/// Error for a call that is rejected because the queue is full.
#[derive(Debug)]
pub(super) struct QueueFull;

/// Calls that wait for their processing time.
pub(super) struct CallQueue {
    costs: CallCosts,
    counters: Arc<SharedCounters>,
    /// When the work of all queued calls is complete.
    idle_at: Cell<Instant>,
    waiting_calls: Cell<u64>,
    call_rate_window: Cell<CallRateWindow>,
}

/// Number of calls within the current second.
#[derive(Clone, Copy)]
struct CallRateWindow {
    started_at: Instant,
    calls: u64,
}

impl CallQueue {
    pub fn new(costs: CallCosts, counters: Arc<SharedCounters>) -> CallQueue {
        CallQueue {
            costs,
            counters,
            idle_at: Cell::new(Instant::now()),
            waiting_calls: Cell::new(0),
            call_rate_window: Cell::new(CallRateWindow { started_at: Instant::now(), calls: 0 }),
        }
    }

    /// Returns the processing time of a call without its response entries.
    pub fn call_work(&self) -> Duration {
        self.costs.per_call
    }

    /// Returns the additional processing time of `count` response entries.
    pub fn entries_work(&self, count: usize) -> Duration {
        self.costs.per_entry * count as u32
    }

    /// Counts a call, in total and within the current second.
    pub fn record_call(&self) {
        self.counters.count_call();
        let mut window = self.call_rate_window.get();
        if window.started_at.elapsed() >= Duration::from_secs(1) {
            window = CallRateWindow { started_at: Instant::now(), calls: 0 };
        }
        window.calls += 1;
        self.call_rate_window.set(window);
        self.counters.record_call_rate(window.calls);
    }

    /// Enqueues `work` and waits until it and all work enqueued before are complete.
    pub async fn complete_work(
        &self, work: Duration, overflow_policy: OverflowPolicy,
    ) -> Result<(), QueueFull> {
        if self.costs.has_local_agents || work.is_zero() {
            return Ok(());
        }
        let is_full = self.waiting_calls.get() >= self.costs.queue_capacity as u64;
        if is_full && overflow_policy == OverflowPolicy::Reject {
            return Err(QueueFull);
        }
        let _slot = QueueSlot::take(&self.waiting_calls);
        self.counters.record_queue_length(self.waiting_calls.get());
        let done_at = self.idle_at.get().max(Instant::now()) + work;
        self.idle_at.set(done_at);
        sleep_until(done_at).await;
        Ok(())
    }
}

/// An occupied slot in the queue, released on drop. The work of a caller that disconnects still occupies the
/// server until its planned end.
struct QueueSlot<'a>(&'a Cell<u64>);

impl<'a> QueueSlot<'a> {
    fn take(waiting_calls: &'a Cell<u64>) -> QueueSlot<'a> {
        waiting_calls.set(waiting_calls.get() + 1);
        QueueSlot(waiting_calls)
    }
}

impl Drop for QueueSlot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
