//! The threads that share the simulated proxies of a point.

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

/// Threads that share the proxies.
const THREADS: u32 = 6;

/// All simulated proxies of a point; dropping it ends their threads.
pub struct ProxyFleet {
    counters: SharedCounters,
    activity: watch::Sender<ProxyActivity>,
    discovery: watch::Sender<SocketAddr>,
    restarts: watch::Sender<u32>,
    threads: Vec<JoinHandle<()>>,
}

impl ProxyFleet {
    /// Starts all of them; `backend_numbers` gives the number of each backend in `backends` by its id,
    /// `discovery` is where discovery listens.
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
            threads.push(spawn_local_runtime("hollow", move || run_proxies(thread, context))?);
        }
        Ok(ProxyFleet { counters, activity, discovery, restarts, threads })
    }

    /// What they counted so far.
    pub fn counters(&self) -> ProxyCounters {
        self.counters.snapshot()
    }

    /// Gives all of them the new address of discovery.
    pub fn discovery_relocated(&self, address: SocketAddr) {
        self.discovery.send_replace(address);
    }

    /// All end and start again at once, without a list.
    pub fn restart_all(&self) {
        self.counters.lock().time_to_ready.clear();
        self.restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Requests come for this time.
    pub fn start_load(&self, duration: Duration) {
        self.activity.send_replace(ProxyActivity::Load { until: Instant::now() + duration });
    }

    /// All end once every request has its answer.
    pub fn shut_down(&self) {
        self.activity.send_replace(ProxyActivity::Shutdown);
    }

    /// Whether all have ended.
    pub fn has_ended(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }
}

/// Runs the proxies of one thread to their end.
async fn run_proxies(thread: u32, context: ProxyContext) {
    let mut running = JoinSet::new();
    for proxy_index in (thread..context.point.proxies).step_by(THREADS as usize) {
        match Proxy::new(proxy_index, context.clone()) {
            Ok(proxy) => {
                running.spawn_local(proxy.run());
            }
            Err(error) => tracing::error!("proxy {proxy_index}: {error}"),
        }
    }
    while running.join_next().await.is_some() {}
}
