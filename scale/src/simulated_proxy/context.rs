//! State that all simulated proxies of a point share.

use super::counters::SharedCounters;
use crate::backends::BackendFleet;
use crate::plan::Point;
use load_balancer::BackendId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// Activity of the proxies in the current phase of the point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ProxyActivity {
    /// Watch the endpoint list, without requests.
    Idle,
    /// Watch the endpoint list and receive requests.
    Load {
        /// End of the arrivals.
        until: Instant,
    },
    /// End once every request has its final response.
    Shutdown,
}

/// Shared state that each proxy gets a clone of.
#[derive(Clone)]
pub(super) struct ProxyContext {
    pub point: Point,
    pub backends: Arc<BackendFleet>,
    /// Index of each backend in `backends`, by id.
    pub backend_numbers: Arc<HashMap<BackendId, usize>>,
    pub counters: SharedCounters,
    pub activity: watch::Receiver<ProxyActivity>,
    /// Current address of discovery.
    pub discovery: watch::Receiver<SocketAddr>,
    /// Number of restarts of all proxies so far.
    pub restarts: watch::Receiver<u32>,
}
