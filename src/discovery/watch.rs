//! The watch on the endpoint list: one call after another, each for what is newer than the list held.

use super::call_times::{next_backoff, CallTimes, INITIAL_BACKOFF};
use super::client::{Client, DiscoveryError};
use super::start_times::StartTimes;
use crate::wire::endpoint_list::{Endpoint, EndpointList};
use crate::{DiscoveryMode, EndpointListUpdate, Time};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};

const LIST_PATH: &str = "/api/targets";

/// The settings that the watch goes by.
#[derive(Clone, Copy)]
pub struct WatchSettings {
    /// A connection that is not up after this time counts as failed.
    pub connect_timeout: Duration,
    /// Requests to a draining backend must cease this soon after it was listed so: what a lost call may
    /// delay.
    pub drain_notice_limit: Duration,
    /// The proxy's index as a part of the proxy count, from 0 up to 1.
    pub fleet_position: f64,
}

/// A watch on the endpoint list. [`Watch::run`] carries it out.
pub struct Watch {
    /// Where discovery is; it may move while the proxy runs.
    pub address: watch::Receiver<SocketAddr>,
    /// Whether the list is pushed or subscribed to.
    pub mode: DiscoveryMode,
    /// Read for each call; they may change while the proxy runs.
    pub settings: Rc<Cell<WatchSettings>>,
    /// The version of the list held.
    pub version: Option<u64>,
    /// The balancer asks for a call. A pushed list is watched unasked.
    pub resubscribe: Rc<Notify>,
    /// The clock of this process, for the starts of backends.
    pub now: Box<dyn Fn() -> Time>,
    /// When the backends of the list held started.
    pub start_times: StartTimes,
    /// Is called with every update of the list, in order.
    pub on_update: Box<dyn Fn(EndpointListUpdate, Vec<Endpoint>)>,
}

impl Watch {
    /// Watches for ever.
    ///
    /// | after | the next call |
    /// | --- | --- |
    /// | a list | at once, so that no change falls between two calls |
    /// | a move of discovery | at once, for the whole list |
    /// | a failure, list pushed | after a backoff, for the whole list |
    /// | a timeout, or a failure right after a move, list subscribed to | at once |
    /// | any other failure, list subscribed to | when the balancer asks for it |
    pub async fn run(self) {
        let waits_for_balancer = self.mode != DiscoveryMode::Push;
        let running = RunningWatch {
            watch: self,
            client: Client::default(),
            backoff: INITIAL_BACKOFF,
            waits_for_balancer,
            is_after_move: false,
        };
        running.run().await;
    }
}

/// What came of a call, or of the wait for it.
enum CallOutcome {
    ListReceived(EndpointList),
    Failed(DiscoveryError),
    /// Discovery has moved.
    AddressChanged,
}

struct Call {
    path: String,
    timeout: Duration,
}

struct RunningWatch {
    watch: Watch,
    client: Client,
    /// The wait after the next failed call for a pushed list.
    backoff: Duration,
    /// The next call goes out when the balancer asks for it, not at once.
    waits_for_balancer: bool,
    /// Nothing has come of a call since discovery moved.
    is_after_move: bool,
}

impl RunningWatch {
    async fn run(mut self) {
        loop {
            let outcome = if self.waits_for_balancer && !self.asked_to_call().await {
                CallOutcome::AddressChanged
            } else {
                self.call().await
            };
            if !matches!(outcome, CallOutcome::ListReceived(_)) {
                self.client.disconnect();
            }
            match outcome {
                CallOutcome::AddressChanged => self.address_changed(),
                CallOutcome::ListReceived(list) => self.list_received(list),
                CallOutcome::Failed(error) => self.call_failed(&error).await,
            }
        }
    }

    /// Waits until the balancer asks for a call; false where discovery moves first.
    async fn asked_to_call(&mut self) -> bool {
        tokio::select! {
            biased;
            Ok(()) = self.watch.address.changed() => false,
            () = self.watch.resubscribe.notified() => true,
        }
    }

    async fn call(&mut self) -> CallOutcome {
        let address = *self.watch.address.borrow_and_update();
        let Call { path, timeout } = self.next_call();
        tracing::debug!(%path, "discovery called");
        let connect_timeout = self.watch.settings.get().connect_timeout;
        let answer = self.client.call(address, connect_timeout, &path);
        // A discovery that never answers must not hold the watch.
        let answer = tokio::time::timeout(timeout, answer);
        tokio::pin!(answer);
        loop {
            tokio::select! {
                biased;
                Ok(()) = self.watch.address.changed() => return CallOutcome::AddressChanged,
                answer = &mut answer => return match answer {
                    Ok(Ok(list)) => CallOutcome::ListReceived(list),
                    Ok(Err(error)) => CallOutcome::Failed(error),
                    Err(_) => CallOutcome::Failed(DiscoveryError::TimedOut),
                },
                // The call asked for is this one. Kept, the notice would skip the balancer's backoff after
                // a failure.
                () = self.watch.resubscribe.notified() => {}
            }
        }
    }

    /// A call for the whole list, or for what is newer than the version held.
    fn next_call(&self) -> Call {
        let times = CallTimes::new(self.watch.mode, &self.watch.settings.get());
        match self.watch.version {
            None => Call { path: LIST_PATH.into(), timeout: times.snapshot_wait + times.grace },
            Some(version) => {
                let wait_ms = times.change_wait.as_millis();
                let path = format!("{LIST_PATH}?after={version}&wait_ms={wait_ms}");
                Call { path, timeout: times.change_wait + times.grace }
            }
        }
    }

    /// The whole list is called for at the new address at once: the old one may have reported less.
    fn address_changed(&mut self) {
        self.call_for_snapshot();
        self.is_after_move = true;
    }

    fn call_for_snapshot(&mut self) {
        self.watch.version = None;
        self.waits_for_balancer = false;
    }

    fn list_received(&mut self, mut list: EndpointList) {
        self.is_after_move = false;
        let EndpointList { version, is_snapshot, .. } = list;
        if !is_snapshot && self.watch.version.is_some_and(|held| version < held) {
            // Discovery has started again: its changes are not to the list held.
            tracing::warn!(version, "discovery version went back");
            self.call_for_snapshot();
            return;
        }
        tracing::debug!(version, entries = list.endpoints.len(), "endpoint list received");
        self.watch.start_times.place((self.watch.now)(), is_snapshot, &mut list.endpoints);
        self.watch.version = Some(version);
        self.waits_for_balancer = false;
        self.backoff = INITIAL_BACKOFF;
        // An empty answer tells the balancer that its subscription stands.
        if is_snapshot {
            (self.watch.on_update)(EndpointListUpdate::Snapshot, list.endpoints);
        } else if !list.endpoints.is_empty() || !self.is_pushed() {
            (self.watch.on_update)(EndpointListUpdate::Delta, list.endpoints);
        }
    }

    /// The list held stays in force.
    async fn call_failed(&mut self, error: &DiscoveryError) {
        tracing::warn!(%error, "discovery call failed");
        let is_after_move = std::mem::take(&mut self.is_after_move);
        if self.is_pushed() {
            // An agent that starts again may number its versions from 0; the whole list costs it nothing.
            self.watch.version = None;
            tokio::time::sleep(self.backoff).await;
            self.backoff = next_backoff(self.backoff, &self.watch.settings.get());
        } else if is_after_move || matches!(error, DiscoveryError::TimedOut) {
            // Called again at once: a further wait would outlast the time within which the list counts as
            // notified. The calls of the fleet are spread already, by the length of the lost ones.
            self.waits_for_balancer = false;
        } else {
            self.waits_for_balancer = true;
            (self.watch.on_update)(EndpointListUpdate::SubscriptionLost, Vec::new());
        }
    }

    fn is_pushed(&self) -> bool {
        self.watch.mode == DiscoveryMode::Push
    }
}
