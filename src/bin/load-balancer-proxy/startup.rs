//! Startup: creates the event loop, the signal handlers, the listening socket and the tasks of the proxy, in
//! this order.

use crate::clock::Clock;
use crate::config::{ProxyConfig, Settings};
use crate::dispatcher::{Dispatcher, DispatcherHandles};
use crate::memory::{ConnectionLimits, MemoryBudget};
use crate::messages::{DispatcherMessage, ServingStatus};
use crate::reload::{self, Reloader, RestartOnlySettings};
use crate::server::{Server, ServerHandles};
use crate::stall_detector::StallDetector;
use crate::upstream::{ConnectionPool, ConnectionPoolSettings};
use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::{Watch, WatchSettings};
use load_balancer::net::resource_exhaustion::retry_blocking;
use load_balancer::wire::endpoint_list::Endpoint;
use load_balancer::{ConfigError, EndpointListUpdate};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Runtime;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::LocalSet;

/// Maximum number of connections that the operating system queues until the proxy accepts them.
const LISTEN_BACKLOG: u32 = 1024;

/// Why the proxy could not start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The configuration is missing or invalid.
    #[error("{0}")]
    Config(String),
    /// The balancer rejected the settings.
    #[error("settings: {0}")]
    Settings(#[from] ConfigError),
    /// The event loop could not be created.
    #[error("failed to create the event loop: {0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("failed to install the {name} handler: {source}")]
    SignalHandler {
        /// Name of the signal.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The listening socket could not be opened, for example because the address is in use or not assigned to
    /// this machine.
    #[error("listen: expected a free address, got {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The local address of the listening socket could not be determined.
    #[error("listen: failed to read the local address: {0}")]
    LocalAddress(#[source] io::Error),
}

/// The signals that the proxy handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> Result<Signals, StartupError> {
        let install =
            |kind, name| signal(kind).map_err(|source| StartupError::SignalHandler { name, source });
        Ok(Signals {
            terminate: install(SignalKind::terminate(), "SIGTERM")?,
            interrupt: install(SignalKind::interrupt(), "SIGINT")?,
            hangup: install(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}

/// State and channels that the tasks of the proxy share with the dispatcher.
struct SharedHandles {
    clock: Clock,
    dispatcher: mpsc::UnboundedSender<DispatcherMessage>,
    resubscribe: Rc<Notify>,
    status: Rc<ServingStatus>,
}

/// Runs the proxy until its graceful shutdown is complete.
///
/// # Errors
///
/// Returns a [`StartupError`] if the proxy could not start; there are no errors after startup.
pub fn run(config: ProxyConfig) -> Result<(), StartupError> {
    let clock = Clock::new();
    let stall_detector = StallDetector::new(clock);
    let runtime = retry_blocking(|| build_runtime(&stall_detector)).map_err(StartupError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(config, clock, stall_detector))
}

/// Creates the event loop. Its hook runs each time it has polled the operating system for events.
fn build_runtime(stall_detector: &StallDetector) -> io::Result<Runtime> {
    let stall_detector = stall_detector.clone();
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_unpark(move || stall_detector.record_poll())
        .build()
}

/// Starts all tasks and serves until the graceful shutdown is complete.
///
/// The signal handlers are installed before the listening address is logged, because a supervisor may send a
/// signal from then on. The cached list is queued for the dispatcher before the watch on discovery runs, so
/// that it precedes every list from discovery.
async fn serve(
    mut config: ProxyConfig, clock: Clock, stall_detector: StallDetector,
) -> Result<(), StartupError> {
    let signals = Signals::install()?;
    let listener = open_listener(config.listen)?;
    tokio::task::spawn_local(stall_detector.clone().keep_polling());
    let limits = ConnectionLimits::of(config.max_file_descriptors);
    let (dispatcher, messages) = mpsc::unbounded_channel();
    let shared = SharedHandles { clock, dispatcher, resubscribe: Rc::default(), status: Rc::default() };
    let settings = &config.settings;
    let memory = MemoryBudget::new(config.memory_limit_mb, limits);
    let pool = ConnectionPool::new(pool_settings(settings, clock, limits, &memory));
    let server =
        Server::new(server_handles(&shared, stall_detector, memory), settings.clone(), limits.clients);
    let server = Rc::new(server);
    let (discovery_address, watched_address) = watch::channel(config.discovery);
    let watch_settings = Rc::new(Cell::new(reload::watch_settings(settings)));
    let mut cached = take_cached_list(&mut config, clock);
    let discovery = build_watch(&config, &mut cached, watched_address, watch_settings.clone(), &shared);
    send_cached_list(&shared, cached.endpoints);
    let restart_only = RestartOnlySettings::of(&config);
    start_dispatcher(config, pool, shared, messages)?;
    tokio::task::spawn_local(discovery.run());
    let reloader = Reloader { restart_only, server: server.clone(), discovery_address, watch_settings };
    tokio::task::spawn_local(reloader.run(signals.hangup));
    server.run(listener, shutdown_signal(signals.terminate, signals.interrupt)).await;
    Ok(())
}

/// Opens the listening socket and logs its address: with port 0, only this event tells which port was
/// assigned.
fn open_listener(address: SocketAddr) -> Result<TcpListener, StartupError> {
    let listener =
        retry_blocking(|| listen(address)).map_err(|source| StartupError::Listen { address, source })?;
    let local_address = listener.local_addr().map_err(StartupError::LocalAddress)?;
    tracing::info!("listening on {local_address}");
    Ok(listener)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

fn pool_settings(
    settings: &Settings, clock: Clock, limits: ConnectionLimits, memory: &MemoryBudget,
) -> ConnectionPoolSettings {
    ConnectionPoolSettings {
        clock,
        connect_timeout: settings.connect_timeout,
        backend_idle_timeout: settings.backend_idle_timeout,
        max_sockets: limits.backends,
        response_bodies: memory.response_bodies.clone(),
    }
}

fn server_handles(
    shared: &SharedHandles, stall_detector: StallDetector, memory: MemoryBudget,
) -> ServerHandles {
    ServerHandles {
        clock: shared.clock,
        stall_detector,
        dispatcher: shared.dispatcher.clone(),
        status: shared.status.clone(),
        memory,
    }
}

/// The cached endpoint list, with the start times of its backends converted to the clock of this process.
struct CachedList {
    /// `None` without a cached list; the first call to discovery then requests a snapshot.
    version: Option<u64>,
    endpoints: Vec<Endpoint>,
    /// The converted start times, with which the watch converts those of later lists.
    start_times: StartTimes,
}

/// Moves the cached list out of the configuration; it is empty if there is none.
fn take_cached_list(config: &mut ProxyConfig, clock: Clock) -> CachedList {
    let list = config.cached_list.take();
    let version = list.as_ref().map(|list| list.version);
    let mut endpoints = list.map(|list| list.endpoints).unwrap_or_default();
    let mut start_times = StartTimes::default();
    start_times.convert_to_local(clock.now(), true, &mut endpoints);
    CachedList { version, endpoints, start_times }
}

/// Builds the watch on discovery, which continues from the version and the start times of the cached list.
fn build_watch(
    config: &ProxyConfig, cached: &mut CachedList, address: watch::Receiver<SocketAddr>,
    settings: Rc<Cell<WatchSettings>>, shared: &SharedHandles,
) -> Watch {
    let clock = shared.clock;
    let dispatcher = shared.dispatcher.clone();
    Watch {
        address,
        mode: config.settings.balancer.discovery,
        settings,
        version: cached.version,
        resubscribe: shared.resubscribe.clone(),
        now: Box::new(move || clock.now()),
        start_times: std::mem::take(&mut cached.start_times),
        on_update: Box::new(move |update, endpoints| {
            let _ = dispatcher.send(DispatcherMessage::EndpointList { update, endpoints });
        }),
    }
}

/// Sends the cached list to the dispatcher, even if it is empty: the balancer subscribes only after it has
/// handled an event.
fn send_cached_list(shared: &SharedHandles, endpoints: Vec<Endpoint>) {
    let update = EndpointListUpdate::Cached;
    let _ = shared.dispatcher.send(DispatcherMessage::EndpointList { update, endpoints });
}

/// Starts the dispatcher. If it ends, the proxy reports that it is not ready, because every request would
/// fail.
fn start_dispatcher(
    config: ProxyConfig, pool: ConnectionPool, shared: SharedHandles,
    messages: mpsc::UnboundedReceiver<DispatcherMessage>,
) -> Result<(), StartupError> {
    let status = shared.status.clone();
    let handles = DispatcherHandles {
        pool: Rc::new(pool),
        messages: shared.dispatcher,
        resubscribe: shared.resubscribe,
        status: shared.status,
    };
    let dispatcher = Dispatcher::new(config.settings, config.seed, handles)?;
    let task = tokio::task::spawn_local(dispatcher.run(messages));
    tokio::task::spawn_local(async move {
        if let Err(error) = task.await {
            tracing::error!(%error, "dispatcher ended");
        }
        status.is_serving.set(false);
    });
    Ok(())
}

/// Completes when SIGTERM or SIGINT is received.
async fn shutdown_signal(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
