//! Watch of one simulated proxy on the endpoint list.

use super::clock::Clock;
use crate::platform::{spawn_watch, WatchOptions};
use crate::settings::STOP_SENDING_US;
use load_balancer::{Backend, Config, EndpointListUpdate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::JoinHandle;

/// Maximum number of list changes that wait for a proxy; further ones are dropped with an error in the log.
const CHANGE_QUEUE_CAPACITY: usize = 1_024;
/// Timeout of a connection attempt to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A change of the endpoint list.
pub(super) struct EndpointListChange {
    pub update: EndpointListUpdate,
    pub backends: Vec<Backend>,
}

/// A running watch; dropping it stops the watch.
pub(super) struct EndpointWatch {
    resubscribe: Rc<Notify>,
    changes: mpsc::Receiver<EndpointListChange>,
    task: JoinHandle<()>,
}

impl EndpointWatch {
    /// Starts the watch of a proxy as a local task.
    pub fn spawn(config: &Config, discovery: watch::Receiver<SocketAddr>, clock: Clock) -> EndpointWatch {
        let resubscribe = Rc::new(Notify::new());
        let (sender, changes) = mpsc::channel(CHANGE_QUEUE_CAPACITY);
        let task = spawn_watch(WatchOptions {
            address: discovery,
            mode: config.discovery,
            connect_timeout: CONNECT_TIMEOUT,
            drain_notice_limit: Duration::from_micros(STOP_SENDING_US),
            fleet_position: config.fleet_position(),
            resubscribe: resubscribe.clone(),
            now: Box::new(move || clock.now()),
            on_update: Box::new(move |update, backends| {
                if sender.try_send(EndpointListChange { update, backends }).is_err() {
                    tracing::error!(
                        "endpoint list change dropped: queue closed or full ({CHANGE_QUEUE_CAPACITY} changes)"
                    );
                }
            }),
        });
        EndpointWatch { resubscribe, changes, task }
    }

    /// Waits for the next change; returns `None` once the watch has ended.
    pub async fn next_change(&mut self) -> Option<EndpointListChange> {
        self.changes.recv().await
    }

    /// Passes on the balancer's request for a subscription.
    pub fn resubscribe(&self) {
        self.resubscribe.notify_one();
    }
}

impl Drop for EndpointWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}
