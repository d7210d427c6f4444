//! What every simulated proxy of a point shares with the others.

use super::counters::SharedCounters;
use crate::backends::BackendFleet;
use crate::plan::Point;
use load_balancer::BackendId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// What the proxies are to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ProxyActivity {
    /// Follow the list.
    Idle,
    /// Take requests, too.
    Load {
        /// No request comes from then on.
        until: Instant,
    },
    /// End once every request has its answer.
    Shutdown,
}

/// What each proxy is given.
#[derive(Clone)]
pub(super) struct ProxyContext {
    pub point: Point,
    pub backends: Arc<BackendFleet>,
    /// The numbers of the backends by their ids.
    pub backend_numbers: Arc<HashMap<BackendId, usize>>,
    pub counters: SharedCounters,
    pub activity: watch::Receiver<ProxyActivity>,
    /// Where discovery listens.
    pub discovery: watch::Receiver<SocketAddr>,
    /// How often all proxies were restarted.
    pub restarts: watch::Receiver<u32>,
}
