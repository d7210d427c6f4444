//! The watch of one simulated proxy on the endpoint list.

use super::clock::Clock;
use crate::platform::{spawn_watch, WatchOptions};
use crate::site_settings::STOP_SENDING_US;
use load_balancer::{Backend, Config, EndpointListUpdate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::JoinHandle;

/// Changes that may wait for a proxy, which takes them at once.
const CHANGE_QUEUE_CAPACITY: usize = 1_024;
/// A connection to discovery that is not up after this time does not come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A change of the endpoint list.
pub(super) struct EndpointListChange {
    pub update: EndpointListUpdate,
    pub backends: Vec<Backend>,
}

/// A running watch; dropping it ends it.
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
            deliver: Box::new(move |update, backends| {
                if sender.try_send(EndpointListChange { update, backends }).is_err() {
                    tracing::error!("a proxy does not take its list changes");
                }
            }),
        });
        EndpointWatch { resubscribe, changes, task }
    }

    /// The next change; `None` once the watch has ended.
    pub async fn next_change(&mut self) -> Option<EndpointListChange> {
        self.changes.recv().await
    }

    /// Asks for the next call.
    pub fn resubscribe(&self) {
        self.resubscribe.notify_one();
    }
}

impl Drop for EndpointWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}
