//! A point with simulated proxies. Its phases are start, rest, changes of the endpoint list, and load with
//! events. CPU time is measured for this whole process, so it includes the simulated discovery service.

mod figures;
mod measurements;

use crate::backends::{BackendBehavior, BackendFleet};
use crate::discovery::{CallCosts, Discovery, DiscoveryError};
use crate::endpoint_list::EndpointList;
use crate::events::{self, EventError, EventTargets, ProxyControl};
use crate::naming::{backend_address, backend_name};
use crate::phase::{self, Measured, SETTLE_TIME};
use crate::plan::Point;
use crate::platform::backend_id;
use crate::point_result::PointResult;
use crate::process_stats::ProcessStats;
use crate::simulated_proxy::{ProxyFleet, SimulationError};
use measurements::Measurements;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval at which the proxies are polled for progress.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Port of all backends; nothing listens on it.
const BACKEND_PORT: u16 = 80;

/// Error while running a point with simulated proxies.
#[derive(Debug, thiserror::Error)]
pub enum SimulatedPointError {
    /// Discovery could not be started.
    #[error(transparent)]
    Discovery(#[from] DiscoveryError),
    /// The proxies could not be started.
    #[error(transparent)]
    Simulation(#[from] SimulationError),
    /// An event failed.
    #[error(transparent)]
    Event(#[from] EventError),
}

/// Components of a running point.
struct Deployment {
    /// Declared first, and so dropped first: the proxies end before the discovery service does.
    proxies: Rc<ProxyFleet>,
    discovery: Rc<Discovery>,
    backends: Arc<BackendFleet>,
}

impl ProxyControl for Rc<ProxyFleet> {
    fn discovery_relocated(&self, address: SocketAddr) -> Result<(), EventError> {
        ProxyFleet::discovery_relocated(self, address);
        Ok(())
    }

    fn restart_all(&self) -> Result<(), EventError> {
        ProxyFleet::restart_all(self);
        Ok(())
    }
}

/// Runs a point with simulated proxies.
pub async fn run(point: &Point) -> Result<PointResult, SimulatedPointError> {
    let addresses: Vec<SocketAddr> =
        (0..point.backends).map(|number| backend_address(number, BACKEND_PORT)).collect();
    let backends =
        Arc::new(BackendFleet::new(addresses.len(), BackendBehavior::for_point(point), point.seed));
    let backend_numbers =
        (0..addresses.len()).map(|number| (backend_id(&backend_name(number)), number)).collect();
    let discovery =
        Rc::new(Discovery::start(EndpointList::new(point, &addresses), CallCosts::for_point(point))?);
    // Builds and caches the first response now, so that it does not count as memory of the proxies.
    discovery.snapshot();
    let memory_before = ProcessStats::for_current_process().memory_bytes();
    let proxies = ProxyFleet::start(point, &backends, backend_numbers, discovery.address())?;
    let deployment = Deployment { proxies: Rc::new(proxies), discovery, backends };
    let measurements = deployment.run_phases(point, memory_before).await?;
    Ok(figures::result(point, &measurements))
}

impl Deployment {
    async fn run_phases(
        &self, point: &Point, memory_before: Option<u64>,
    ) -> Result<Measurements, SimulatedPointError> {
        let start = self.measure(self.wait_until_ready(point)).await;
        let time_to_ready = self.proxies.counters().time_to_ready;
        sleep(SETTLE_TIME).await;
        let memory_after = ProcessStats::for_current_process().memory_bytes();
        let memory = memory_after.zip(memory_before).map(|(after, before)| after.saturating_sub(before));
        let rest = self.measure(sleep(Duration::from_secs_f64(point.rest_s))).await;
        let change = self.measure(events::change_entries(&self.discovery, point)).await;
        let load = self.measure(self.run_load(point)).await;
        load.output?;
        Ok(Measurements {
            memory: memory.map(|bytes| bytes as f64),
            ready_at_start: start.output,
            time_to_ready,
            start: start.phase,
            rest: rest.phase,
            change: change.phase,
            changed_entries: change.output,
            load: load.phase,
            proxies: self.proxies.counters(),
            backends: self.backends.counters(),
        })
    }

    async fn measure<T>(&self, work: impl Future<Output = T>) -> Measured<T> {
        self.discovery.reset_peaks();
        phase::measure(&self.discovery, || ProcessStats::for_current_process().cpu_time_s(), work).await
    }

    /// Waits until all proxies are ready or `ready_s` has elapsed. Returns the number of ready proxies.
    async fn wait_until_ready(&self, point: &Point) -> u64 {
        let give_up_at = Instant::now() + Duration::from_secs_f64(point.ready_s);
        loop {
            let ready = self.proxies.counters().time_to_ready.count();
            if ready >= u64::from(point.proxies) || Instant::now() >= give_up_at {
                return ready;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Runs the load phase with its events, and returns once all proxies have ended.
    async fn run_load(&self, point: &Point) -> Result<(), EventError> {
        let duration = Duration::from_secs_f64(point.load_s);
        let start = Instant::now();
        self.proxies.start_load(duration);
        let targets = EventTargets {
            discovery: self.discovery.clone(),
            backends: self.backends.clone(),
            proxies: Box::new(self.proxies.clone()),
        };
        events::run(point, Rc::new(targets)).await?;
        sleep(duration.saturating_sub(start.elapsed())).await;
        self.proxies.shut_down();
        while !self.proxies.has_ended() {
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }
}
