//! Measurements of a point with real proxies.

use crate::backends::BackendCounters;
use crate::clients::ClientCounters;
use crate::discovery::DiscoveryCounters;
use crate::phase::MeasuredPhase;
use std::time::Duration;

pub(super) struct Measurements {
    /// Time from start to readiness of each proxy; `None` if it did not become ready in time.
    pub time_to_ready: Vec<Option<Duration>>,
    /// Mean resident memory of the proxies before the load phase, in bytes.
    pub memory: Option<f64>,
    /// Mean resident memory of the proxies after the load phase, in bytes.
    pub memory_after_load: Option<f64>,
    pub rest: MeasuredPhase,
    pub change: MeasuredPhase,
    /// Entries changed during the change phase.
    pub changed_entries: u64,
    pub load: MeasuredPhase,
    pub clients: ClientCounters,
    pub backends: BackendCounters,
    /// Counts over all phases; the peaks are those since the start of the load phase.
    pub discovery: DiscoveryCounters,
    /// Exit code of each proxy; `None` if a signal ended it or it did not exit in time.
    pub exit_codes: Vec<Option<i32>>,
}
