//! The client side of the proxy: accepts client connections, validates requests, sends them to the dispatcher
//! and writes the responses.
//!
//! | concern | module |
//! | --- | --- |
//! | accepting, and limits on open connections | `listener`, `capacity`, `inactivity` |
//! | one connection | `connection_task`, `client_connection`, `client_socket`, `read_ahead`, `read_times` |
//! | one request | `request_handler`, `request_parsing`, `request_body`, `request_error`, `responses` |
//! | a client that leaves | `disconnect_guard` |
//! | readiness probe | `readiness` |
//! | graceful shutdown | `graceful_shutdown` |

mod capacity;
mod client_connection;
mod client_socket;
mod connection_task;
mod disconnect_guard;
mod graceful_shutdown;
mod inactivity;
mod listener;
mod read_ahead;
mod read_times;
mod readiness;
mod request_body;
mod request_error;
mod request_handler;
mod request_parsing;
mod responses;

use crate::clock::Clock;
use crate::config::Settings;
use crate::memory::MemoryBudget;
use crate::messages::{DispatcherMessage, ServingStatus};
use crate::stall_detector::StallDetector;
use capacity::Capacity;
use client_connection::ClientConnection;
use listener::Acceptor;
use load_balancer::Time;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};

/// State and channels that the client side shares with the rest of the program.
pub struct ServerHandles {
    /// The clock of the process.
    pub clock: Clock,
    /// Estimates how long input may have waited before the event loop polled it.
    pub stall_detector: StallDetector,
    /// Receives the requests.
    pub dispatcher: mpsc::UnboundedSender<DispatcherMessage>,
    /// State of the dispatcher, for the readiness probe.
    pub status: Rc<ServingStatus>,
    /// Memory for the messages of all connections.
    pub memory: MemoryBudget,
}

/// The server, shared by the tasks of all client connections.
pub struct Server {
    clock: Clock,
    stall_detector: StallDetector,
    /// A reload replaces the settings and notifies the dispatcher without an await point in between. No
    /// borrow is held across an await point.
    settings: RefCell<Arc<Settings>>,
    capacity: Capacity,
    memory: MemoryBudget,
    dispatcher: mpsc::UnboundedSender<DispatcherMessage>,
    status: Rc<ServingStatus>,
    /// Id that was assigned last, to a connection or a request.
    last_id: Cell<u64>,
    is_shutting_down: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Notified when the task of a client connection has ended, or at capacity only waits for the client's
    /// close.
    connections_changed: Notify,
}

impl Server {
    /// Creates a server that keeps at most `max_connections` client connections open at once.
    pub fn new(handles: ServerHandles, settings: Arc<Settings>, max_connections: usize) -> Server {
        let ServerHandles { clock, stall_detector, dispatcher, status, memory } = handles;
        Server {
            clock,
            stall_detector,
            settings: RefCell::new(settings),
            capacity: Capacity::new(max_connections),
            memory,
            dispatcher,
            status,
            last_id: Cell::new(0),
            is_shutting_down: Cell::new(false),
            connections: RefCell::default(),
            connections_changed: Notify::new(),
        }
    }

    /// Serves until `shutdown_signal` completes, then shuts down gracefully. Returns once all connections are
    /// closed or the time for the shutdown is over.
    pub async fn run(self: Rc<Self>, listener: TcpListener, shutdown_signal: impl Future<Output = ()>) {
        let mut acceptor = Acceptor::new(listener);
        let deadline = self.accept_connections(&mut acceptor, shutdown_signal).await;
        self.finish_shutdown(acceptor, deadline).await;
    }

    /// Returns the current settings.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// Replaces the settings for the requests from now on; returns the old ones.
    pub fn replace_settings(&self, settings: Arc<Settings>) -> Arc<Settings> {
        self.settings.replace(settings)
    }

    /// Sends a message to the dispatcher. A message to a dispatcher that has ended is dropped, because its
    /// end was logged and the readiness probe reports it.
    pub fn notify_dispatcher(&self, message: DispatcherMessage) {
        let _ = self.dispatcher.send(message);
    }

    /// Accepts connections until the accept period that follows the shutdown signal is over. Returns the time
    /// by which every request is answered.
    async fn accept_connections(
        self: &Rc<Self>, acceptor: &mut Acceptor, shutdown_signal: impl Future<Output = ()>,
    ) -> Time {
        tokio::pin!(shutdown_signal);
        let accept_deadline = tokio::time::sleep(Duration::MAX);
        tokio::pin!(accept_deadline);
        let mut deadline = Time::NEVER;
        loop {
            let next_capacity_check = self.reclaim_capacity();
            let has_free_slot = self.has_free_slot();
            if !has_free_slot {
                acceptor.mark_connections_waiting();
            }
            tokio::select! {
                biased;
                () = &mut shutdown_signal, if !self.is_shutting_down.get() => {
                    deadline = self.begin_shutdown();
                    accept_deadline.as_mut().reset(graceful_shutdown::accept_deadline());
                }
                () = &mut accept_deadline, if self.is_shutting_down.get() => return deadline,
                () = self.connections_changed.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant(next_capacity_check)) => {}
                accepted = acceptor.accept(), if has_free_slot => self.clone().spawn_connection(accepted),
            }
        }
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }
}
