//! A point with processes of the real proxy. Its phases are start, rest, changes of the endpoint list, load
//! with events, and shutdown.

mod figures;
mod measurements;
mod processes;
mod program;
mod readiness;

pub use program::{find_program, ProgramError, WorkDirectory, WorkDirectoryError};

use crate::backends::{self, BackendBehavior, BackendFleet, ListenError};
use crate::clients::{ClientCounters, Clients, ClientsError};
use crate::discovery::{CallCosts, Discovery, DiscoveryError};
use crate::endpoint_list::EndpointList;
use crate::events::{self, EventError, EventTargets, ProxyControl};
use crate::local_runtime::ThreadError;
use crate::phase::{self, Measured, SETTLE_TIME};
use crate::plan::Point;
use crate::point_result::PointResult;
use crate::proxy_process::ProcessError;
use measurements::Measurements;
use processes::ProxyProcesses;
use serde_json::Value;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which the clients are polled for completion.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Error while running a point with real proxies.
#[derive(Debug, thiserror::Error)]
pub enum RealPointError {
    /// A backend could not listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// Discovery could not be started.
    #[error(transparent)]
    Discovery(#[from] DiscoveryError),
    /// A proxy could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The clients could not be started.
    #[error(transparent)]
    Clients(#[from] ClientsError),
    /// An event failed.
    #[error(transparent)]
    Event(#[from] EventError),
}

/// Components of a running point.
struct Deployment {
    /// Declared first, and so dropped first: the proxies end before the discovery service does.
    proxies: Rc<ProxyProcesses>,
    discovery: Rc<Discovery>,
    backends: Arc<BackendFleet>,
}

/// Controls the proxy processes on behalf of events.
struct ProcessControl {
    point: Point,
    proxies: Rc<ProxyProcesses>,
}

impl ProxyControl for ProcessControl {
    fn discovery_relocated(&self, address: SocketAddr) -> Result<(), EventError> {
        Ok(self.proxies.reload(&self.point, address)?)
    }

    fn restart_all(&self) -> Result<(), EventError> {
        Err(EventError::RestartUnsupported)
    }
}

/// Runs a point with the real proxy at `program`, whose configuration files are written to `directory`.
pub async fn run(
    point: &Point, program: &Path, directory: &WorkDirectory,
) -> Result<PointResult, RealPointError> {
    let listeners = backends::listen(point.backends)?;
    let addresses = listeners.addresses.clone();
    let backends =
        Arc::new(BackendFleet::new(addresses.len(), BackendBehavior::for_point(point), point.seed));
    let (_backend_shutdown, shutdown) = tokio::sync::watch::channel(());
    backends::serve(&backends, listeners, &shutdown)?;
    let discovery =
        Rc::new(Discovery::start(EndpointList::new(point, &addresses), CallCosts::for_point(point))?);
    let cached_list = point.known.then(|| endpoint_list_json(&discovery));
    let proxies =
        ProxyProcesses::start(point, program, directory.path(), discovery.address(), cached_list.as_ref())?;
    let deployment = Deployment { proxies: Rc::new(proxies), discovery, backends };
    let measurements = deployment.run_phases(point).await?;
    Ok(figures::result(point, &measurements))
}

/// Returns the current endpoint list as JSON.
fn endpoint_list_json(discovery: &Discovery) -> Value {
    serde_json::from_slice(&discovery.snapshot().body).unwrap_or_default()
}

impl Deployment {
    async fn run_phases(&self, point: &Point) -> Result<Measurements, RealPointError> {
        let time_to_ready =
            readiness::wait_until_ready(&self.proxies, Duration::from_secs_f64(point.ready_s)).await;
        sleep(SETTLE_TIME).await;
        let memory = self.proxies.mean_memory_bytes();
        let rest = self.measure(sleep(Duration::from_secs_f64(point.rest_s))).await;
        let change = self.measure(events::change_entries(&self.discovery, point)).await;
        self.discovery.reset_peaks();
        let load = self.measure(self.run_load(point)).await;
        let memory_after_load = self.proxies.mean_memory_bytes();
        let exit_codes = self.proxies.shut_down(Duration::from_millis(point.deadline_ms)).await;
        Ok(Measurements {
            time_to_ready,
            memory,
            memory_after_load,
            rest: rest.phase,
            change: change.phase,
            changed_entries: change.output,
            load: load.phase,
            clients: load.output?,
            backends: self.backends.counters(),
            discovery: self.discovery.counters(),
            exit_codes,
        })
    }

    async fn measure<T>(&self, work: impl Future<Output = T>) -> Measured<T> {
        phase::measure(&self.discovery, || self.proxies.cpu_time_s(), work).await
    }

    /// Runs the load phase with its events, and returns once every request has an outcome.
    async fn run_load(&self, point: &Point) -> Result<ClientCounters, RealPointError> {
        let clients = Clients::start(point, &self.proxies.addresses())?;
        let control = ProcessControl { point: point.clone(), proxies: self.proxies.clone() };
        let targets = EventTargets {
            discovery: self.discovery.clone(),
            backends: self.backends.clone(),
            proxies: Box::new(control),
        };
        events::run(point, Rc::new(targets)).await?;
        while !clients.is_finished() {
            sleep(POLL_INTERVAL).await;
        }
        Ok(clients.counters())
    }
}
