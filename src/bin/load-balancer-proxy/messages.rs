//! Messages between the client side of the proxy, discovery, and the dispatcher, which owns requests and
//! attempts.

use crate::config::Settings;
use crate::upstream::{UpstreamRequest, UpstreamResult};
use bytes::Bytes;
use hyper::Response;
use load_balancer::wire::endpoint_list::Endpoint;
use load_balancer::{
    AttemptNumber, ClassId, ConfigUpdate, EndpointListUpdate, Micros, RequestId, TenantId, Time,
};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::{mpsc::SyncSender, Arc};
use tokio::sync::oneshot;

/// The final answer to a client's request.
pub enum FinalAnswer {
    /// The answer of a backend.
    Served(Response<Bytes>),
    /// The request had no effect.
    Rejected {
        /// When the client may come back, from now.
        retry_after: Micros,
    },
    /// Nothing is promised about its effect.
    Failed,
}

/// A request that a client has sent whole.
pub struct ReceivedRequest {
    /// Its id; never used again.
    pub id: RequestId,
    /// Its class under the settings in force.
    pub class: ClassId,
    /// Its tenant under the settings in force, if any.
    pub tenant: Option<TenantId>,
    /// When it must have been answered at the latest.
    pub deadline: Time,
    /// Work that the client expects, on a standard core.
    pub expected_work: Option<Micros>,
    /// The client says that it sent the request before.
    pub is_client_retry: bool,
    /// What goes to a backend.
    pub upstream_request: Rc<UpstreamRequest>,
    /// Where the final answer goes.
    pub answer: oneshot::Sender<FinalAnswer>,
}

/// What the dispatcher acts on.
pub enum DispatcherMessage {
    /// A client has sent a request.
    RequestReceived(ReceivedRequest),
    /// The client of a request has closed its connection.
    ClientDisconnected(RequestId),
    /// The task of an attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        result: UpstreamResult,
    },
    /// An endpoint list arrived, or could not be had.
    EndpointList {
        /// What the entries stand for.
        update: EndpointListUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// Other settings are in force.
    SettingsReplaced(SettingsReplacement),
    /// The process shuts down.
    ShutdownStarted {
        /// Every request has its answer by then.
        deadline: Time,
    },
}

/// Other settings. Messages before this one were made under those that it replaces, messages after it under
/// these.
pub struct SettingsReplacement {
    /// The settings from now on.
    pub settings: Arc<Settings>,
    /// What changes for the balancer.
    pub update: Box<ConfigUpdate>,
    /// Takes the settings replaced: to free the names of thousands of classes and tenants here would hold up
    /// requests.
    pub retired: SyncSender<Arc<Settings>>,
}

/// State of the dispatcher that the client side reads.
#[derive(Default)]
pub struct ServingStatus {
    /// Some listed backend can be sent requests, and the dispatcher runs.
    pub is_serving: Cell<bool>,
}
