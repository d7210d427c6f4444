//! The HTTP servers of the backends, for proxies that are processes.

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

/// The longest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Threads that share the backends.
const THREADS: usize = 2;
/// Wait after a failed accept: a lack of descriptors must not become a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A backend's listener could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("backend {backend}: listen on {address}: {source}")]
pub struct ListenError {
    /// The backend.
    pub backend: u32,
    /// Its address.
    pub address: SocketAddr,
    /// What the system said.
    pub source: io::Error,
}

/// The body of a request could not be read.
#[derive(Debug, thiserror::Error)]
#[error("a body: {0}")]
struct BodyError(Box<dyn Error + Send + Sync>);

/// Open listeners of all backends.
pub struct BackendListeners {
    listeners: Vec<TcpListener>,
    /// Where each backend listens.
    pub addresses: Vec<SocketAddr>,
}

/// Opens a listener for each backend, on an address of its own.
pub fn listen(count: u32) -> Result<BackendListeners, ListenError> {
    let mut opened = BackendListeners { listeners: Vec::new(), addresses: Vec::new() };
    for backend in 0..count {
        let address = backend_address(backend, 0);
        let listener = bind(address).map_err(|source| ListenError { backend, address, source })?;
        let bound = listener.local_addr().map_err(|source| ListenError { backend, address, source })?;
        opened.listeners.push(listener);
        opened.addresses.push(bound);
    }
    Ok(opened)
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

/// Serves all listeners on threads of their own until the sender of `shutdown` is dropped.
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
        Err(error) => return tracing::error!("backend {backend}: {error}"),
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                fleet.connection_opened();
                tokio::task::spawn_local(serve_connection(fleet.clone(), backend, stream));
            }
            Err(error) => {
                tracing::warn!("backend {backend}: accept: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(fleet: Arc<BackendFleet>, backend: usize, stream: TcpStream) {
    let service = service_fn(|request| respond(fleet.clone(), backend, request));
    if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!("backend {backend}: a connection ended: {error}");
    }
}

/// Responds after the service time; the body is the time that the backend itself took, in microseconds.
async fn respond(
    fleet: Arc<BackendFleet>, backend: usize, request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, BodyError> {
    Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await.map_err(BodyError)?;
    let arrived_at = Instant::now();
    match fleet.request_arrived(backend, arrived_at) {
        BackendResponse::Served(service_time) => {
            tokio::time::sleep(service_time).await;
            let taken_us = arrived_at.elapsed().as_micros().to_string();
            Ok(Response::new(Full::new(Bytes::from(taken_us))))
        }
        BackendResponse::Rejected => Ok(rejection()),
    }
}

/// Says that the request was not executed.
fn rejection() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert("x-unprocessed", HeaderValue::from_static("1"));
    response
}
