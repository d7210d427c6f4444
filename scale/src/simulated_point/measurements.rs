//! What is measured of a point with simulated proxies.

use crate::backends::BackendCounters;
use crate::latency::LatencyHistogram;
use crate::phase::MeasuredPhase;
use crate::simulated_proxy::ProxyCounters;

/// What was measured of the point.
pub(super) struct Measurements {
    /// Memory of all proxies, in bytes.
    pub memory: Option<f64>,
    /// Proxies that had a list at the end of the start.
    pub ready_at_start: u64,
    pub time_to_ready: LatencyHistogram,
    pub start: MeasuredPhase,
    pub rest: MeasuredPhase,
    pub change: MeasuredPhase,
    /// Entries that changed in the phase of changes.
    pub changed_entries: u64,
    pub load: MeasuredPhase,
    pub proxies: ProxyCounters,
    pub backends: BackendCounters,
}
