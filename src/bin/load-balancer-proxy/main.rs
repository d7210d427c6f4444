//! The HTTP proxy: start-up, signals and exit codes. Every decision is the library's.
#![forbid(unsafe_code)]

mod client_connection;
mod client_socket;
mod clock;
mod config;
mod dispatcher;
mod headers;
mod listener;
mod messages;
mod reload;
mod server;
mod stall_detector;
mod upstream;
mod upstream_socket;

use clock::Clock;
use load_balancer::discovery;
use load_balancer::discovery::start_times::StartTimes;
use load_balancer::net::failures;
use messages::DispatcherMessage;
use stall_detector::StallDetector;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch, Notify};

/// Descriptors kept for the listener, discovery, signals, standard streams and the runtime.
const RESERVE: usize = 32;

/// Connections that the system keeps for the proxy until it takes them.
const LISTEN_QUEUE: u32 = 1024;

fn main() -> ExitCode {
    let verbose = std::env::var("BALANCER_LOG").ok().and_then(|l| l.parse().ok());
    let level = verbose.unwrap_or(tracing::Level::INFO);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).init();
    match config::load().map_err(|e| e.to_string()).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("load-balancer-proxy: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: config::Config) -> Result<(), String> {
    let clock = Clock::new();
    let stall_detector = StallDetector::new(clock);
    let build = || {
        let watched = stall_detector.clone();
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .on_thread_unpark(move || watched.looked())
            .build()
    };
    let runtime = failures::with_means(build).map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config, clock, stall_detector))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_QUEUE)
}

async fn serve(config: config::Config, clock: Clock, stall_detector: StallDetector) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let listener = failures::with_means(|| listen(config.listen));
    let listener =
        listener.map_err(|e| format!("listen: expected a free address, got {}: {e}", config.listen))?;
    // Where it was told port 0 this line alone tells the port.
    let bound = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    tracing::info!("listening on {bound}");
    tokio::task::spawn_local(stall_detector.clone().keep_looking());
    // Clients and backends share what the rest leaves.
    let clients = (config.max_file_descriptors - RESERVE) / 2;
    let backends = config.max_file_descriptors - RESERVE - clients;
    let (sender, inputs) = mpsc::unbounded_channel();
    let (follow, status) = (Rc::new(Notify::new()), Rc::new(messages::ServingStatus::default()));
    let serving = status.clone();
    let settings = &config.settings;
    let pool = Rc::new(upstream::ConnectionPool::new(
        clock,
        settings.connect_timeout,
        settings.idle_timeout,
        backends,
    ));
    let server = Rc::new(server::Server {
        clock,
        stall_detector,
        settings: RefCell::new(settings.clone()),
        most: clients,
        inputs: sender.clone(),
        status: status.clone(),
        next: Cell::new(0),
        stopping: Cell::new(false),
        connections: RefCell::default(),
        freed: Notify::new(),
    });
    let (moved, address) = watch::channel(config.discovery);
    let terms = Rc::new(Cell::new(reload::watch_terms(settings)));
    let fixed = reload::Fixed::of(&config);
    let version = config.cached_list.as_ref().map(|known| known.version);
    // Without a list from before the module still has to hear of its start: only then does it ask for one.
    let mut known = config.cached_list.map(|known| known.endpoints).unwrap_or_default();
    let mut starts = StartTimes::default();
    starts.place(clock.now(), true, &mut known);
    let watch = discovery::Watch {
        address,
        mode: settings.balancer.discovery,
        settings: terms.clone(),
        version,
        resubscribe: follow.clone(),
        now: Box::new(move || clock.now()),
        start_times: starts,
        on_update: {
            let inputs = sender.clone();
            Box::new(move |update, targets| {
                let _ = inputs.send(DispatcherMessage::EndpointList { update, targets });
            })
        },
    };
    let _ = sender.send(DispatcherMessage::EndpointList {
        update: load_balancer::EndpointListUpdate::Cached,
        targets: known,
    });
    let shared = dispatcher::DispatcherHandles { pool, inputs: sender, follow, status };
    let dispatcher = dispatcher::Dispatcher::new(config.settings, config.seed, shared);
    let dispatcher = dispatcher.map_err(|e| format!("settings: {e}"))?;
    let dispatcher = tokio::task::spawn_local(dispatcher.run(inputs));
    tokio::task::spawn_local(async move {
        // Without its dispatcher the proxy fails what it is sent; it says so, that no more is sent.
        if let Err(e) = dispatcher.await {
            tracing::error!(error = %e, "dispatcher ended");
        }
        serving.serving.set(false);
    });
    tokio::task::spawn_local(watch.run());
    let reload = reload::Reload { fixed, server: server.clone(), moved, terms };
    tokio::task::spawn_local(reload.run(hangup));
    let stop = async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    server.run(listener, stop).await;
    Ok(())
}
