//! HTTP servers of the simulated backends, for proxies that run as processes.

use super::fleet::{BackendFleet, BackendResponse};
use crate::local_runtime::{spawn_local_runtime, ThreadError};
use crate::naming::backend_address;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Number of threads that the backends are distributed over.
const THREADS: usize = 2;
/// Delay after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The listening socket of a backend could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("backend {backend}: cannot listen on {address}: {source}")]
pub struct ListenError {
    /// Index of the backend.
    pub backend: u32,
    /// Requested address of the backend.
    pub address: SocketAddr,
    /// Error of the system call.
    pub source: io::Error,
}

/// A request body could not be read or is longer than [`MAX_BODY_BYTES`].
#[derive(Debug, thiserror::Error)]
#[error("cannot read the request body: {0}")]
struct BodyError(Box<dyn Error + Send + Sync>);

/// Listening sockets of all backends.
pub struct BackendListeners {
    listeners: Vec<TcpListener>,
    /// Address of each backend, by index.
    pub addresses: Vec<SocketAddr>,
}

/// Opens a listening socket for each backend, each on its own loopback address.
pub fn listen(count: u32) -> Result<BackendListeners, ListenError> {
    let mut opened_listeners = BackendListeners { listeners: Vec::new(), addresses: Vec::new() };
    for backend in 0..count {
        let address = backend_address(backend, 0);
        let listener = bind(address).map_err(|source| ListenError { backend, address, source })?;
        let bound = listener.local_addr().map_err(|source| ListenError { backend, address, source })?;
        opened_listeners.listeners.push(listener);
        opened_listeners.addresses.push(bound);
    }
    Ok(opened_listeners)
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

struct BackendListener {
    backend: usize,
    listener: TcpListener,
}

/// Serves all listeners on background threads until the sender of `shutdown` is dropped.
pub fn serve(
    fleet: &Arc<BackendFleet>, listeners: BackendListeners, shutdown: &watch::Receiver<()>,
) -> Result<(), ThreadError> {
    let mut listeners_by_thread: Vec<Vec<BackendListener>> = Vec::new();
    listeners_by_thread.resize_with(THREADS, Vec::new);
    for (backend, listener) in listeners.listeners.into_iter().enumerate() {
        listeners_by_thread[backend % THREADS].push(BackendListener { backend, listener });
    }
    for thread_listeners in listeners_by_thread {
        let (fleet, shutdown) = (fleet.clone(), shutdown.clone());
        spawn_local_runtime("backends", move || serve_listeners(fleet, thread_listeners, shutdown))?;
    }
    Ok(())
}

async fn serve_listeners(
    fleet: Arc<BackendFleet>, thread_listeners: Vec<BackendListener>, mut shutdown: watch::Receiver<()>,
) {
    for BackendListener { backend, listener } in thread_listeners {
        tokio::task::spawn_local(accept_connections(fleet.clone(), backend, listener));
    }
    while shutdown.changed().await.is_ok() {}
}

async fn accept_connections(fleet: Arc<BackendFleet>, backend: usize, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => return tracing::error!("backend {backend}: cannot register the listener: {error}"),
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                fleet.connection_opened();
                tokio::task::spawn_local(serve_connection(fleet.clone(), backend, stream));
            }
            Err(error) => {
                tracing::warn!("backend {backend}: accept failed: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(fleet: Arc<BackendFleet>, backend: usize, stream: TcpStream) {
    let service = service_fn(|request| respond(fleet.clone(), backend, request));
    if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!("backend {backend}: connection closed with an error: {error}");
    }
}

/// Responds after the service time. The body is the measured service time in microseconds, which the clients
/// subtract from their latency.
async fn respond(
    fleet: Arc<BackendFleet>, backend: usize, request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, BodyError> {
    Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.map_err(BodyError)?;
    let arrived_at = Instant::now();
    match fleet.request_arrived(backend, arrived_at) {
        BackendResponse::Served(service_time) => {
            tokio::time::sleep(service_time).await;
            let service_time_us = arrived_at.elapsed().as_micros().to_string();
            Ok(Response::new(Full::new(Bytes::from(service_time_us))))
        }
        BackendResponse::Rejected => Ok(rejection()),
    }
}

/// Returns a 503 response whose `X-Unprocessed` header states that the request was not executed.
fn rejection() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert("x-unprocessed", HeaderValue::from_static("1"));
    response
}
