//! Measurements of a point with simulated proxies.

use crate::backends::BackendCounters;
use crate::latency::LatencyHistogram;
use crate::phase::MeasuredPhase;
use crate::simulated_proxy::ProxyCounters;

pub(super) struct Measurements {
    /// Increase of this process's resident memory during the start of all proxies, in bytes.
    pub memory: Option<f64>,
    /// Proxies with a list that contains a ready backend, at the end of the start phase.
    pub ready_at_start: u64,
    pub time_to_ready: LatencyHistogram,
    pub start: MeasuredPhase,
    pub rest: MeasuredPhase,
    pub change: MeasuredPhase,
    /// Entries changed during the change phase.
    pub changed_entries: u64,
    pub load: MeasuredPhase,
    pub proxies: ProxyCounters,
    pub backends: BackendCounters,
}
