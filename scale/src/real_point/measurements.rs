//! What is measured of a point with real proxies.

use crate::backends::BackendCounters;
use crate::clients::ClientCounters;
use crate::discovery::DiscoveryCounters;
use crate::phase::MeasuredPhase;
use std::time::Duration;

/// What was measured of the point.
pub(super) struct Measurements {
    /// From its start to its readiness, for each proxy; none for one that did not come so far.
    pub time_to_ready: Vec<Option<Duration>>,
    /// Mean memory of the proxies before the load, in bytes.
    pub memory: Option<f64>,
    /// The same after it.
    pub memory_after_load: Option<f64>,
    pub rest: MeasuredPhase,
    pub change: MeasuredPhase,
    /// Entries that changed in the phase of changes.
    pub changed_entries: u64,
    pub load: MeasuredPhase,
    pub clients: ClientCounters,
    pub backends: BackendCounters,
    /// Of all phases, with the peaks of the load.
    pub discovery: DiscoveryCounters,
    /// How each proxy exited; none where a signal ended it or nothing did in time.
    pub exit_codes: Vec<Option<i32>>,
}
