//! Wrappers of the parts of the `load_balancer` library that read settings and endpoint lists and watch the
//! endpoint list.

use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::{Watch, WatchSettings};
use load_balancer::wire::endpoint_list::{Endpoint, EndpointList};
use load_balancer::wire::names::identifier;
use load_balancer::wire::settings::SettingsDocument;
use load_balancer::wire::WireError;
use load_balancer::{Backend, BackendId, Config, DiscoveryMode, EndpointListUpdate, Time};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

/// Decodes a proxy's settings into the balancer's configuration.
pub fn read_config(settings: &Value) -> Result<Config, WireError> {
    Ok(SettingsDocument::from_value(settings)?.config)
}

/// Decodes an endpoint list into its backends.
pub fn read_endpoint_list(document: &Value) -> Result<Vec<Backend>, WireError> {
    Ok(backends(EndpointList::from_value(document)?.endpoints))
}

/// Returns the library's id of the backend with this name.
pub fn backend_id(name: &str) -> BackendId {
    BackendId(identifier(name))
}

/// Options of a proxy's watch on the endpoint list.
pub struct WatchOptions {
    /// Current address of discovery.
    pub address: watch::Receiver<SocketAddr>,
    /// How the proxy receives the endpoint list: pushed or subscribed to.
    pub mode: DiscoveryMode,
    /// Timeout of a connection attempt to discovery.
    pub connect_timeout: Duration,
    /// Time within which a proxy must stop sending to a draining backend.
    pub drain_notice_limit: Duration,
    /// Index of the proxy as a fraction of the fleet's size, from 0 (inclusive) to 1 (exclusive).
    pub fleet_position: f64,
    /// Notified when the balancer requests a subscription.
    pub resubscribe: Rc<Notify>,
    /// Clock of the proxy.
    pub now: Box<dyn Fn() -> Time>,
    /// Called with each update, in order.
    pub on_update: Box<dyn Fn(EndpointListUpdate, Vec<Backend>)>,
}

/// Starts the library's watch as a local task; it runs until it is aborted.
pub fn spawn_watch(options: WatchOptions) -> JoinHandle<()> {
    let settings = WatchSettings {
        connect_timeout: options.connect_timeout,
        drain_notice_limit: options.drain_notice_limit,
        fleet_position: options.fleet_position,
    };
    let on_update = options.on_update;
    let watch = Watch {
        address: options.address,
        mode: options.mode,
        settings: Rc::new(Cell::new(settings)),
        version: None,
        resubscribe: options.resubscribe,
        now: options.now,
        start_times: StartTimes::default(),
        on_update: Box::new(move |update, endpoints| on_update(update, backends(endpoints))),
    };
    tokio::task::spawn_local(watch.run())
}

fn backends(endpoints: Vec<Endpoint>) -> Vec<Backend> {
    endpoints.into_iter().map(|endpoint| endpoint.backend).collect()
}
