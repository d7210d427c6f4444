//! The queue of calls: they are handled one after another, each with its work.

use super::counters::SharedCounters;
use crate::plan::{DiscoveryMode, Point};
use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// What calls cost the service.
#[derive(Clone, Copy, Debug)]
pub struct CallCosts {
    /// Work for each call.
    pub per_call: Duration,
    /// Work for each entry of a response.
    pub per_entry: Duration,
    /// Calls that may wait in its queue; more are rejected.
    pub queue_capacity: usize,
    /// Each proxy has an agent beside it: calls cost nothing to anybody else.
    pub has_local_agents: bool,
}

impl CallCosts {
    /// What calls cost the discovery service of a point.
    pub fn for_point(point: &Point) -> CallCosts {
        CallCosts {
            per_call: Duration::from_micros(point.discovery.call_us),
            per_entry: Duration::from_secs_f64(point.discovery.line_us / 1e6),
            queue_capacity: point.discovery.queue,
            has_local_agents: point.discovery.mode == DiscoveryMode::Push,
        }
    }
}

/// What becomes of a call that finds the queue full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OverflowPolicy {
    /// It is rejected.
    Reject,
    /// It waits all the same: its call was admitted before.
    Wait,
}

/// The queue was full.
#[derive(Debug)]
pub(super) struct QueueFull;

/// Calls that wait for their work to be done.
pub(super) struct CallQueue {
    costs: CallCosts,
    counters: Arc<SharedCounters>,
    /// When the work of all that wait is done.
    idle_at: Cell<Instant>,
    waiting_calls: Cell<u64>,
    call_rate_window: Cell<CallRateWindow>,
}

/// A second, and the calls that came in it.
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

    /// Work for a call.
    pub fn call_work(&self) -> Duration {
        self.costs.per_call
    }

    /// Work for the entries of a response.
    pub fn entries_work(&self, count: usize) -> Duration {
        self.costs.per_entry * count as u32
    }

    /// Counts a call that came.
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

    /// Waits for the work of all calls before this one and for its own.
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

/// A place in the queue, given back however the call ends. The work of a caller that went away is done all
/// the same.
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
