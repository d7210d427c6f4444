//! A stand-in of the discovery service with its published protocol: list and watch, calls handled one after
//! another, and its failures.

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

/// Commands that may wait for the server.
const COMMAND_QUEUE_CAPACITY: usize = 16;

/// Why the service could not be started or relocated.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// Its socket could not be opened.
    #[error("discovery: {0}")]
    Socket(io::Error),
    /// Its thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// Its thread has ended.
    #[error("discovery has ended")]
    Ended,
}

/// A running service; dropping it ends its thread.
pub struct Discovery {
    address: Mutex<SocketAddr>,
    list: Arc<Mutex<EndpointList>>,
    version: watch::Sender<u64>,
    commands: mpsc::Sender<Command>,
    counters: Arc<SharedCounters>,
}

impl Discovery {
    /// Starts the service on a port of 127.0.0.1 that the system chooses.
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
                tracing::error!("discovery: {error}");
            }
        })?;
        Ok(Discovery { address: Mutex::new(address), list, version, commands, counters })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        *lock(&self.address)
    }

    /// Changes the list; watches see it at once.
    pub fn update_list(&self, update: impl FnOnce(&mut EndpointList)) {
        let version = {
            let mut list = lock(&self.list);
            update(&mut list);
            list.version()
        };
        self.version.send_replace(version);
    }

    /// The response to a call for the whole list.
    pub fn snapshot(&self) -> ListResponse {
        lock(&self.list).response(None)
    }

    /// What it does with calls from now on.
    pub async fn set_behavior(&self, behavior: DiscoveryBehavior) {
        let (done, done_receiver) = oneshot::channel();
        if self.commands.send(Command::SetBehavior { behavior, done }).await.is_ok() {
            let _ = done_receiver.await;
        }
    }

    /// Moves it to another port, which it returns; the old one takes no new connections and closes the open
    /// ones a little later.
    pub async fn relocate(&self) -> Result<SocketAddr, DiscoveryError> {
        let (done, done_receiver) = oneshot::channel();
        self.commands.send(Command::Relocate { done }).await.map_err(|_| DiscoveryError::Ended)?;
        let relocated = done_receiver.await.map_err(|_| DiscoveryError::Ended)?;
        let address = relocated.map_err(DiscoveryError::Socket)?;
        *lock(&self.address) = address;
        Ok(address)
    }

    /// What it has counted so far.
    pub fn counters(&self) -> DiscoveryCounters {
        self.counters.snapshot()
    }

    /// Begins the peaks anew, so that those of one phase do not count for the next.
    pub fn reset_peaks(&self) {
        self.counters.reset_peaks();
    }
}
