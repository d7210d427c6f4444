//! The parts of the library's interface to the platform that this program uses, in one place: settings,
//! endpoint lists and the watch on them.

use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::{list, Target, Terms, Watch};
use load_balancer::wire::settings::{number, read, Key};
use load_balancer::{Backend, BackendId, Config, DiscoveryMode, EndpointListUpdate, Time};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

/// The library refused a document: the key at fault and what was expected of it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DocumentError(String);

/// The configuration that the library makes of a proxy's settings.
pub fn read_config(settings: &Value) -> Result<Config, DocumentError> {
    let (config, _names) = read(&Key::root(settings)).map_err(DocumentError)?;
    Ok(config)
}

/// The backends of an endpoint list, as the library reads it.
pub fn read_endpoint_list(document: &Value) -> Result<Vec<Backend>, DocumentError> {
    let list = list(&Key::root(document)).map_err(DocumentError)?;
    Ok(backends(list.targets))
}

/// The library's number for the backend of this name.
pub fn backend_id(name: &str) -> BackendId {
    BackendId(number(name))
}

/// How a proxy watches the endpoint list.
pub struct WatchOptions {
    /// Where discovery listens; it may move.
    pub address: watch::Receiver<SocketAddr>,
    /// Whether the list is pushed or subscribed to.
    pub mode: DiscoveryMode,
    /// A connection that is not up after this time counts as failed.
    pub dial_timeout: Duration,
    /// Time within which sends to a draining backend must cease.
    pub stop_sending: Duration,
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
    let terms = Terms {
        dial_timeout: options.dial_timeout,
        stop_sending: options.stop_sending,
        place: options.fleet_position,
    };
    let deliver = options.deliver;
    let watch = Watch {
        address: options.address,
        mode: options.mode,
        terms: Rc::new(Cell::new(terms)),
        index: None,
        follow: options.resubscribe,
        now: options.now,
        starts: StartTimes::default(),
        tell: Box::new(move |update, targets| deliver(update, backends(targets))),
    };
    tokio::task::spawn_local(watch.run())
}

fn backends(targets: Vec<Target>) -> Vec<Backend> {
    targets.into_iter().map(|target| target.backend).collect()
}
