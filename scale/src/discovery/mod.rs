//! Simulated discovery service that implements the list and watch protocol, processes one call at a time, and
//! can be made to fail.

mod call;
mod call_queue;
mod counters;
mod listen_socket;
mod server;

pub use call_queue::CallCosts;
pub use counters::DiscoveryCounters;
pub use server::DiscoveryBehavior;

use crate::endpoint_list::{EndpointList, ListResponse};
use crate::local_runtime::{spawn_local_runtime, ThreadError};
use crate::locking::lock;
use counters::SharedCounters;
use server::{Command, Server};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, oneshot, watch};

/// Maximum number of commands that wait for the server thread.
const COMMAND_QUEUE_CAPACITY: usize = 16;

/// Error while starting or relocating the service.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The listening socket could not be opened.
    #[error("discovery: cannot listen: {0}")]
    Socket(io::Error),
    /// The server thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The server thread has ended.
    #[error("discovery: the server thread has ended")]
    Ended,
}

/// Handle of a running service; dropping it stops the server thread.
pub struct Discovery {
    address: Mutex<SocketAddr>,
    list: Arc<Mutex<EndpointList>>,
    version: watch::Sender<u64>,
    commands: mpsc::Sender<Command>,
    counters: Arc<SharedCounters>,
}

impl Discovery {
    /// Starts the service on a port of 127.0.0.1 that the operating system chooses.
    pub fn start(list: EndpointList, costs: CallCosts) -> Result<Discovery, DiscoveryError> {
        let (version, versions) = watch::channel(list.version());
        let (commands, received_commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let list = Arc::new(Mutex::new(list));
        let counters = Arc::<SharedCounters>::default();
        let listener = listen_socket::bind_any_port().map_err(DiscoveryError::Socket)?;
        let address = listener.local_addr().map_err(DiscoveryError::Socket)?;
        let (served_list, served_counters) = (list.clone(), counters.clone());
        spawn_local_runtime("discovery", move || async move {
            let server = Server::new(served_list, versions, costs, served_counters);
            if let Err(error) = Rc::new(server).run(listener, received_commands).await {
                tracing::error!("discovery: server stopped: {error}");
            }
        })?;
        Ok(Discovery { address: Mutex::new(address), list, version, commands, counters })
    }

    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        *lock(&self.address)
    }

    /// Updates the endpoint list and wakes the waiting watches.
    pub fn update_list(&self, update: impl FnOnce(&mut EndpointList)) {
        let version = {
            let mut list = lock(&self.list);
            update(&mut list);
            list.version()
        };
        self.version.send_replace(version);
    }

    /// Returns the response to a call for the complete list, without counting a call.
    pub fn snapshot(&self) -> ListResponse {
        lock(&self.list).response(None)
    }

    /// Changes how the service handles calls; returns once the change is effective.
    pub async fn set_behavior(&self, behavior: DiscoveryBehavior) {
        let (done, done_receiver) = oneshot::channel();
        if self.commands.send(Command::SetBehavior { behavior, done }).await.is_ok() {
            let _ = done_receiver.await;
        }
    }

    /// Moves the service to another port and returns the new address. The old port refuses new connections at
    /// once; its open connections are closed after a delay.
    pub async fn relocate(&self) -> Result<SocketAddr, DiscoveryError> {
        let (done, done_receiver) = oneshot::channel();
        self.commands.send(Command::Relocate { done }).await.map_err(|_| DiscoveryError::Ended)?;
        let relocated = done_receiver.await.map_err(|_| DiscoveryError::Ended)?;
        let address = relocated.map_err(DiscoveryError::Socket)?;
        *lock(&self.address) = address;
        Ok(address)
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> DiscoveryCounters {
        self.counters.snapshot()
    }

    /// Resets the peak values, so that each phase has its own.
    pub fn reset_peaks(&self) {
        self.counters.reset_peaks();
    }
}
