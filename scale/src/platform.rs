//! The parts of the library's interface to the platform that this program uses, in one place: settings,
//! endpoint lists and the watch on them.

use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::{Watch, WatchSettings};
use load_balancer::wire::endpoint_list::{Endpoint, EndpointList};
use load_balancer::wire::names::identifier;
use load_balancer::wire::settings::SettingsMessage;
use load_balancer::wire::WireError;
use load_balancer::{Backend, BackendId, Config, DiscoveryMode, EndpointListUpdate, Time};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

/// The configuration that the library makes of a proxy's settings.
pub fn read_config(settings: &Value) -> Result<Config, WireError> {
    Ok(SettingsMessage::from_value(settings)?.config)
}

/// The backends of an endpoint list, as the library reads it.
pub fn read_endpoint_list(document: &Value) -> Result<Vec<Backend>, WireError> {
    Ok(backends(EndpointList::from_value(document)?.endpoints))
}

/// The library's id for the backend of this name.
pub fn backend_id(name: &str) -> BackendId {
    BackendId(identifier(name))
}

/// How a proxy watches the endpoint list.
pub struct WatchOptions {
    /// Where discovery listens; it may move.
    pub address: watch::Receiver<SocketAddr>,
    /// Whether the list is pushed or subscribed to.
    pub mode: DiscoveryMode,
    /// A connection that is not up after this time counts as failed.
    pub connect_timeout: Duration,
    /// Time within which requests to a draining backend must cease.
    pub drain_notice_limit: Duration,
    /// The proxy's place in its fleet, from 0 up to 1.
    pub fleet_position: f64,
    /// Asks for the next call.
    pub resubscribe: Rc<Notify>,
    /// The proxy's clock.
    pub now: Box<dyn Fn() -> Time>,
    /// Receives each update, in order.
    pub deliver: Box<dyn Fn(EndpointListUpdate, Vec<Backend>)>,
}

/// Starts the library's watch as a local task; it runs until it is aborted.
pub fn spawn_watch(options: WatchOptions) -> JoinHandle<()> {
    let settings = WatchSettings {
        connect_timeout: options.connect_timeout,
        drain_notice_limit: options.drain_notice_limit,
        fleet_position: options.fleet_position,
    };
    let deliver = options.deliver;
    let watch = Watch {
        address: options.address,
        mode: options.mode,
        settings: Rc::new(Cell::new(settings)),
        version: None,
        resubscribe: options.resubscribe,
        now: options.now,
        start_times: StartTimes::default(),
        on_update: Box::new(move |update, endpoints| deliver(update, backends(endpoints))),
    };
    tokio::task::spawn_local(watch.run())
}

fn backends(endpoints: Vec<Endpoint>) -> Vec<Backend> {
    endpoints.into_iter().map(|endpoint| endpoint.backend).collect()
}
