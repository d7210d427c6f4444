//! The watch on the endpoint list: consecutive long polls, each for the changes since the current version.

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

/// Settings of the watch.
#[derive(Clone, Copy)]
pub struct WatchSettings {
    /// Time after which a connection attempt to discovery fails.
    pub connect_timeout: Duration,
    /// Time within which requests to a backend must stop after discovery lists it as draining. It bounds the
    /// timeouts and the backoff of calls for a pushed list.
    pub drain_notice_limit: Duration,
    /// The proxy's index divided by the number of proxies, in the range [0, 1). It staggers the calls of a
    /// fleet.
    pub fleet_position: f64,
}

/// A watch on the endpoint list, started by [`Watch::run`].
pub struct Watch {
    /// Address of discovery; it may change while the proxy runs.
    pub address: watch::Receiver<SocketAddr>,
    /// Whether the list is pushed by a local agent or the proxy subscribes to it at the discovery service.
    pub mode: DiscoveryMode,
    /// Settings, read for each call; they may change while the proxy runs.
    pub settings: Rc<Cell<WatchSettings>>,
    /// Version of the current list. `None` makes the next call request a snapshot.
    pub version: Option<u64>,
    /// Notified when the balancer requests a subscription. Ignored during a call and for a pushed list.
    pub resubscribe: Rc<Notify>,
    /// Clock of this process, to which the start times of backends are converted.
    pub now: Box<dyn Fn() -> Time>,
    /// Start times of the backends of the current list.
    pub start_times: StartTimes,
    /// Called with every update of the list, in order. The endpoints are empty for a lost subscription. An
    /// empty delta of a pushed list is not reported.
    pub on_update: Box<dyn Fn(EndpointListUpdate, Vec<Endpoint>)>,
}

impl Watch {
    /// Runs the watch. The future never completes. Each call is for the changes since the current version,
    /// except where the table says "for a snapshot" or there is no version yet.
    ///
    /// | mode | event | next call |
    /// | --- | --- | --- |
    /// | push | start | immediately |
    /// | subscribe | start | when the balancer requests a subscription |
    /// | both | endpoint list received | immediately |
    /// | both | delta received with a version below the current one | immediately, for a snapshot |
    /// | both | discovery address changed | immediately, for a snapshot; a backoff in progress ends first |
    /// | push | call failed | after a backoff, for a snapshot |
    /// | subscribe | call timed out, or first call after an address change failed | immediately |
    /// | subscribe | call failed for another reason | when the balancer requests a subscription |
    pub async fn run(self) {
        let waits_for_balancer = self.mode != DiscoveryMode::Push;
        let running = RunningWatch {
            watch: self,
            client: Client::default(),
            backoff: INITIAL_BACKOFF,
            waits_for_balancer,
            is_first_call_after_address_change: false,
        };
        running.run().await;
    }
}

/// Result of a call, or of the wait before it.
enum CallOutcome {
    ListReceived(EndpointList),
    Failed(DiscoveryError),
    /// The address of discovery changed.
    AddressChanged,
}

struct Call {
    path: String,
    timeout: Duration,
}

struct RunningWatch {
    watch: Watch,
    client: Client,
    /// Wait after the next failed call for a pushed list.
    backoff: Duration,
    /// Whether the next call is made only when the balancer requests a subscription, rather than immediately.
    waits_for_balancer: bool,
    /// Whether no call has succeeded or failed since the address of discovery changed.
    is_first_call_after_address_change: bool,
}

impl RunningWatch {
    async fn run(mut self) {
        loop {
            let outcome = if self.waits_for_balancer && !self.wait_for_subscription_request().await {
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

    /// Waits until the balancer requests a subscription. Returns false if the address of discovery changes
    /// first.
    async fn wait_for_subscription_request(&mut self) -> bool {
        tokio::select! {
            biased;
            Ok(()) = self.watch.address.changed() => false,
            () = self.watch.resubscribe.notified() => true,
        }
    }

    async fn call(&mut self) -> CallOutcome {
        let address = *self.watch.address.borrow_and_update();
        let Call { path, timeout } = self.build_call();
        tracing::debug!(%path, "discovery called");
        let connect_timeout = self.watch.settings.get().connect_timeout;
        let response = self.client.fetch_list(address, connect_timeout, &path);
        // An unresponsive discovery must not block the watch.
        let response = tokio::time::timeout(timeout, response);
        tokio::pin!(response);
        loop {
            tokio::select! {
                biased;
                Ok(()) = self.watch.address.changed() => return CallOutcome::AddressChanged,
                response = &mut response => return match response {
                    Ok(Ok(list)) => CallOutcome::ListReceived(list),
                    Ok(Err(error)) => CallOutcome::Failed(error),
                    Err(_) => CallOutcome::Failed(DiscoveryError::TimedOut),
                },
                // This call already serves the request. A stored notification would bypass the balancer's
                // backoff if the call fails.
                () = self.watch.resubscribe.notified() => {}
            }
        }
    }

    /// Returns a call for the changes since the current version, or for a snapshot if there is no version.
    fn build_call(&self) -> Call {
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

    /// Makes the next call request a snapshot, because the old address may not have reported every change.
    fn address_changed(&mut self) {
        self.request_snapshot();
        self.is_first_call_after_address_change = true;
    }

    fn request_snapshot(&mut self) {
        self.watch.version = None;
        self.waits_for_balancer = false;
    }

    fn list_received(&mut self, mut list: EndpointList) {
        self.is_first_call_after_address_change = false;
        let EndpointList { version, is_snapshot, .. } = list;
        if !is_snapshot && self.watch.version.is_some_and(|current| version < current) {
            // Discovery has restarted, so its delta does not apply to the current list.
            tracing::warn!(version, "discovery version went back");
            self.request_snapshot();
            return;
        }
        tracing::debug!(version, entries = list.endpoints.len(), "endpoint list received");
        self.watch.start_times.convert_to_local((self.watch.now)(), is_snapshot, &mut list.endpoints);
        self.watch.version = Some(version);
        self.waits_for_balancer = false;
        self.backoff = INITIAL_BACKOFF;
        // An empty delta confirms to the balancer that its subscription is active.
        if is_snapshot {
            (self.watch.on_update)(EndpointListUpdate::Snapshot, list.endpoints);
        } else if !list.endpoints.is_empty() || !self.is_pushed() {
            (self.watch.on_update)(EndpointListUpdate::Delta, list.endpoints);
        }
    }

    /// Schedules the next call; the current list is kept.
    async fn call_failed(&mut self, error: &DiscoveryError) {
        tracing::warn!(%error, "discovery call failed");
        let is_first_call_after_address_change = std::mem::take(&mut self.is_first_call_after_address_change);
        if self.is_pushed() {
            // A restarted agent may count its versions from 0 again, and a snapshot from it is cheap.
            self.watch.version = None;
            tokio::time::sleep(self.backoff).await;
            self.backoff = next_backoff(self.backoff, &self.watch.settings.get());
        } else if is_first_call_after_address_change || matches!(error, DiscoveryError::TimedOut) {
            // No backoff: a further wait would exceed the time after which the platform considers the proxy
            // notified. The calls of the fleet are already staggered by their different timeouts.
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
