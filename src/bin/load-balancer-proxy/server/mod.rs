//! The client side of the proxy: accepts client connections, checks requests, hands them to the dispatcher
//! and writes the final answers.
//!
//! | concern | module |
//! | --- | --- |
//! | accepting, and limits on open connections | `listener`, `capacity` |
//! | one connection | `connection_task`, `client_connection`, `client_socket` |
//! | one request | `request_handler`, `request_parsing`, `request_error`, `abandonment_guard`, `responses` |
//! | readiness probe | `readiness` |
//! | the end of the process | `graceful_shutdown` |

mod abandonment_guard;
mod capacity;
mod client_connection;
mod client_socket;
mod connection_task;
mod graceful_shutdown;
mod listener;
mod readiness;
mod request_error;
mod request_handler;
mod request_parsing;
mod responses;

use crate::clock::Clock;
use crate::config::Settings;
use crate::messages::{DispatcherMessage, ServingStatus};
use crate::stall_detector::StallDetector;
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

/// What the client side shares with the rest of the program.
pub struct ServerHandles {
    /// The clock of the process.
    pub clock: Clock,
    /// Knows how long input may have waited before the event loop polled it.
    pub stall_detector: StallDetector,
    /// Where requests go.
    pub dispatcher: mpsc::UnboundedSender<DispatcherMessage>,
    /// What the dispatcher reports for the readiness probe.
    pub status: Rc<ServingStatus>,
}

/// The server of client connections, shared by the tasks of all of them.
pub struct Server {
    clock: Clock,
    stall_detector: StallDetector,
    /// Replaced in one step with the message that notifies the dispatcher: no borrow outlives an await point.
    settings: RefCell<Arc<Settings>>,
    /// Client connections that may be open.
    max_connections: usize,
    dispatcher: mpsc::UnboundedSender<DispatcherMessage>,
    status: Rc<ServingStatus>,
    /// The id given out last, to a connection or a request.
    last_id: Cell<u64>,
    is_shutting_down: Cell<bool>,
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    connection_closed: Notify,
}

impl Server {
    /// A server without connections; `max_connections` is how many it keeps open at a time.
    pub fn new(handles: ServerHandles, settings: Arc<Settings>, max_connections: usize) -> Server {
        let ServerHandles { clock, stall_detector, dispatcher, status } = handles;
        Server {
            clock,
            stall_detector,
            settings: RefCell::new(settings),
            max_connections,
            dispatcher,
            status,
            last_id: Cell::new(0),
            is_shutting_down: Cell::new(false),
            connections: RefCell::default(),
            connection_closed: Notify::new(),
        }
    }

    /// Serves until `shutdown_signal` is ready; returns when every request received has its answer.
    pub async fn run(self: Rc<Self>, listener: TcpListener, shutdown_signal: impl Future<Output = ()>) {
        let mut acceptor = Acceptor::new(listener);
        let deadline = self.accept_until_listener_closes(&mut acceptor, shutdown_signal).await;
        self.finish(acceptor, deadline).await;
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts other settings in force for the requests from now on; returns those that they replace.
    pub fn replace_settings(&self, settings: Arc<Settings>) -> Arc<Settings> {
        self.settings.replace(settings)
    }

    /// Sends a message to the dispatcher; one that has ended receives no more, and its end was logged.
    pub fn notify_dispatcher(&self, message: DispatcherMessage) {
        let _ = self.dispatcher.send(message);
    }

    /// Accepts connections until some time after the shutdown signal; returns the deadline of all answers.
    async fn accept_until_listener_closes(
        self: &Rc<Self>, acceptor: &mut Acceptor, shutdown_signal: impl Future<Output = ()>,
    ) -> Time {
        tokio::pin!(shutdown_signal);
        let end_of_accepting = tokio::time::sleep(Duration::MAX);
        tokio::pin!(end_of_accepting);
        let mut deadline = Time::NEVER;
        loop {
            let next_capacity_check = self.make_capacity();
            let at_capacity = self.is_at_capacity();
            if at_capacity {
                acceptor.pause();
            }
            tokio::select! {
                biased;
                () = &mut shutdown_signal, if !self.is_shutting_down.get() => {
                    deadline = self.begin_shutdown();
                    end_of_accepting.as_mut().reset(graceful_shutdown::end_of_accepting());
                }
                () = &mut end_of_accepting, if self.is_shutting_down.get() => return deadline,
                () = self.connection_closed.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant(next_capacity_check)) => {}
                accepted = acceptor.accept(), if !at_capacity => self.clone().spawn_connection(accepted),
            }
        }
    }

    fn next_id(&self) -> u64 {
        self.last_id.set(self.last_id.get() + 1);
        self.last_id.get()
    }
}
