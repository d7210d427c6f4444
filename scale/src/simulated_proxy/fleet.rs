//! All simulated proxies of a point, distributed over a fixed number of threads.

use super::context::{ProxyActivity, ProxyContext};
use super::counters::{ProxyCounters, SharedCounters};
use super::error::SimulationError;
use super::proxy::Proxy;
use crate::backends::BackendFleet;
use crate::local_runtime::spawn_local_runtime;
use crate::plan::Point;
use load_balancer::BackendId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Number of threads that the proxies are distributed over.
const THREADS: u32 = 6;

/// All simulated proxies of a point; dropping it stops them.
pub struct ProxyFleet {
    counters: SharedCounters,
    activity: watch::Sender<ProxyActivity>,
    discovery: watch::Sender<SocketAddr>,
    restarts: watch::Sender<u32>,
    threads: Vec<JoinHandle<()>>,
}

impl ProxyFleet {
    /// Starts all proxies. `backend_numbers` maps the id of each backend to its index in `backends`;
    /// `discovery` is the address of the discovery service.
    pub fn start(
        point: &Point, backends: &Arc<BackendFleet>, backend_numbers: HashMap<BackendId, usize>,
        discovery: SocketAddr,
    ) -> Result<ProxyFleet, SimulationError> {
        let counters = SharedCounters::new()?;
        let (activity, activity_receiver) = watch::channel(ProxyActivity::Idle);
        let (discovery, discovery_receiver) = watch::channel(discovery);
        let (restarts, restarts_receiver) = watch::channel(0);
        let context = ProxyContext {
            point: point.clone(),
            backends: backends.clone(),
            backend_numbers: Arc::new(backend_numbers),
            counters: counters.clone(),
            activity: activity_receiver,
            discovery: discovery_receiver,
            restarts: restarts_receiver,
        };
        let mut threads = Vec::new();
        for thread in 0..THREADS {
            let context = context.clone();
            threads.push(spawn_local_runtime("simulated-proxy", move || run_proxies(thread, context))?);
        }
        Ok(ProxyFleet { counters, activity, discovery, restarts, threads })
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> ProxyCounters {
        self.counters.snapshot()
    }

    /// Notifies all proxies of the new address of discovery.
    pub fn discovery_relocated(&self, address: SocketAddr) {
        self.discovery.send_replace(address);
    }

    /// Restarts all proxies at once, without a cached endpoint list.
    pub fn restart_all(&self) {
        self.counters.lock().time_to_ready.clear();
        self.restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Starts the arrival of requests, which ends after `duration`.
    pub fn start_load(&self, duration: Duration) {
        self.activity.send_replace(ProxyActivity::Load { until: Instant::now() + duration });
    }

    /// Ends each proxy once every request has its final response; returns immediately.
    pub fn shut_down(&self) {
        self.activity.send_replace(ProxyActivity::Shutdown);
    }

    /// Returns whether all proxies have ended.
    pub fn has_ended(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }
}

/// Runs the proxies of one thread until all have ended.
async fn run_proxies(thread: u32, context: ProxyContext) {
    let mut running = JoinSet::new();
    for proxy_index in (thread..context.point.proxies).step_by(THREADS as usize) {
        match Proxy::new(proxy_index, context.clone()) {
            Ok(proxy) => {
                running.spawn_local(proxy.run());
            }
            Err(error) => tracing::error!("proxy {proxy_index}: cannot start: {error}"),
        }
    }
    while running.join_next().await.is_some() {}
}
