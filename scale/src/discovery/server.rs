//! Server of the simulated discovery service: accepts connections and responds to calls.

use super::call::Call;
use super::call_queue::{CallCosts, CallQueue, OverflowPolicy, QueueFull};
use super::counters::SharedCounters;
use super::listen_socket::{bind_any_port, ListenSocket};
use crate::counted_stream::CountedStream;
use crate::endpoint_list::{EndpointList, ListResponse};
use crate::locking::lock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Delay between a relocation and the close of the connections to the old address.
const RELOCATION_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum number of open connections per address; further ones are closed without a response.
const MAX_CONNECTIONS: usize = 8_192;

/// How the service handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryBehavior {
    /// Responds to calls.
    Serve,
    /// Answers calls with status 503, including watches that are already waiting.
    Reject,
    /// Accepts calls and never responds.
    Unresponsive,
    /// Refuses connections and closes the open ones.
    Down,
}

/// Command from the service's handle to the server thread.
pub(super) enum Command {
    /// Changes how calls are handled.
    SetBehavior {
        behavior: DiscoveryBehavior,
        /// Notified once the change is effective.
        done: oneshot::Sender<()>,
    },
    /// Moves to another port.
    Relocate {
        /// Receives the new address or the error.
        done: oneshot::Sender<io::Result<SocketAddr>>,
    },
}

/// Error of a call that is not answered with a list.
enum CallError {
    /// The path or a parameter is invalid; answered with status 404.
    NotFound,
    /// The queue is full or the service rejects calls; answered with status 503.
    Rejected,
}

impl From<QueueFull> for CallError {
    fn from(_: QueueFull) -> CallError {
        CallError::Rejected
    }
}

/// State of the server thread.
pub(super) struct Server {
    list: Arc<Mutex<EndpointList>>,
    versions: watch::Receiver<u64>,
    counters: Arc<SharedCounters>,
    behavior: watch::Sender<DiscoveryBehavior>,
    queue: CallQueue,
    /// Open connections by local port; dropping a set closes its connections.
    connections: RefCell<BTreeMap<u16, JoinSet<()>>>,
}

impl Server {
    pub fn new(
        list: Arc<Mutex<EndpointList>>, versions: watch::Receiver<u64>, costs: CallCosts,
        counters: Arc<SharedCounters>,
    ) -> Server {
        Server {
            list,
            versions,
            queue: CallQueue::new(costs, counters.clone()),
            counters,
            behavior: watch::channel(DiscoveryBehavior::Serve).0,
            connections: RefCell::default(),
        }
    }

    /// Runs until the sender of commands is dropped.
    pub async fn run(
        self: Rc<Self>, listener: std::net::TcpListener, mut commands: mpsc::Receiver<Command>,
    ) -> io::Result<()> {
        let mut socket = ListenSocket::new(listener)?;
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    None => return Ok(()),
                    Some(Command::SetBehavior { behavior, done }) => {
                        self.set_behavior(behavior, &mut socket)?;
                        let _ = done.send(());
                    }
                    Some(Command::Relocate { done }) => {
                        let _ = done.send(self.relocate(&mut socket));
                    }
                },
                Some(stream) = socket.accept() => self.clone().connection_accepted(stream, socket.address()),
            }
        }
    }

    fn set_behavior(&self, behavior: DiscoveryBehavior, socket: &mut ListenSocket) -> io::Result<()> {
        self.behavior.send_replace(behavior);
        if behavior == DiscoveryBehavior::Down {
            self.connections.borrow_mut().clear();
            socket.close();
            return Ok(());
        }
        socket.open()
    }

    fn relocate(&self, socket: &mut ListenSocket) -> io::Result<SocketAddr> {
        self.close_connections_later(socket.address().port());
        *socket = ListenSocket::new(bind_any_port()?)?;
        Ok(socket.address())
    }

    fn close_connections_later(&self, port: u16) {
        let connections = self.connections.borrow_mut().remove(&port);
        tokio::task::spawn_local(async move {
            sleep(RELOCATION_CLOSE_DELAY).await;
            drop(connections);
        });
    }

    fn connection_accepted(self: Rc<Self>, stream: TcpStream, address: SocketAddr) {
        let mut connections = self.connections.borrow_mut();
        let open_connections = connections.entry(address.port()).or_default();
        while open_connections.try_join_next().is_some() {}
        if open_connections.len() < MAX_CONNECTIONS {
            open_connections.spawn_local(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, self.counters.bytes());
        let service = service_fn(|request| self.clone().respond(request));
        if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
            tracing::debug!("discovery: connection closed with an error: {error}");
        }
    }

    async fn respond(
        self: Rc<Self>, request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        self.queue.record_call();
        let uri = request.uri();
        let call = Call::parse(uri.path(), uri.query().unwrap_or(""));
        match self.list_response(call).await {
            Ok(list) => Ok(response(StatusCode::OK, list.body)),
            Err(CallError::NotFound) => Ok(response(StatusCode::NOT_FOUND, Bytes::new())),
            Err(CallError::Rejected) => {
                self.counters.count_rejection();
                Ok(response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()))
            }
        }
    }

    async fn list_response(&self, call: Option<Call>) -> Result<ListResponse, CallError> {
        let call = call.ok_or(CallError::NotFound)?;
        self.require_serving().await?;
        match call {
            Call::List => self.snapshot().await,
            Call::Watch { after, wait } => self.changes(after, wait).await,
        }
    }

    async fn snapshot(&self) -> Result<ListResponse, CallError> {
        let entries = lock(&self.list).entry_count(None);
        let work = self.queue.call_work() + self.queue.entries_work(entries);
        self.complete_work(work, OverflowPolicy::Reject).await?;
        self.counters.count_list();
        Ok(lock(&self.list).response(None))
    }

    async fn changes(&self, after: u64, wait: Duration) -> Result<ListResponse, CallError> {
        self.complete_work(self.queue.call_work(), OverflowPolicy::Reject).await?;
        self.wait_for_change(after, wait).await?;
        let entries = lock(&self.list).entry_count(Some(after));
        self.complete_work(self.queue.entries_work(entries), OverflowPolicy::Wait).await?;
        Ok(lock(&self.list).response(Some(after)))
    }

    async fn complete_work(&self, work: Duration, overflow_policy: OverflowPolicy) -> Result<(), CallError> {
        self.queue.complete_work(work, overflow_policy).await?;
        self.require_serving().await
    }

    /// Waits until the current version differs from `after` or the wait has elapsed. Fails if the service
    /// rejects calls.
    async fn wait_for_change(&self, after: u64, wait: Duration) -> Result<(), CallError> {
        let mut versions = self.versions.clone();
        let mut behavior = self.behavior.subscribe();
        tokio::select! {
            waited = timeout(wait, versions.wait_for(|version| *version != after)) => {
                tracing::trace!("discovery: watch completed, list changed: {}", waited.is_ok());
            }
            _ = behavior.wait_for(|behavior| *behavior != DiscoveryBehavior::Serve) => {}
        }
        self.require_serving().await
    }

    /// Returns at once if the service responds or rejects calls; never completes if it is unresponsive.
    async fn require_serving(&self) -> Result<(), CallError> {
        let behavior = *self.behavior.borrow();
        match behavior {
            DiscoveryBehavior::Serve => Ok(()),
            DiscoveryBehavior::Reject | DiscoveryBehavior::Down => Err(CallError::Rejected),
            DiscoveryBehavior::Unresponsive => std::future::pending().await,
        }
    }
}

fn response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
