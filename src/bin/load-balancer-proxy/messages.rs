//! Messages to the dispatcher, which owns the requests and attempts, and the final responses that it sends.

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

/// The final response to a client's request.
pub enum FinalResponse {
    /// The response of a backend.
    Served(Response<Bytes>),
    /// The request is rejected: a client retry has no duplicate effect.
    Rejected {
        /// Time after which the client may retry.
        retry_after: Micros,
    },
    /// The request may or may not have been executed.
    Failed,
}

/// A request that was received completely.
pub struct ReceivedRequest {
    /// Id of the request; never reused.
    pub id: RequestId,
    /// Class of the request under the current settings.
    pub class: ClassId,
    /// Tenant of the request under the current settings; `None` if they define no tenants.
    pub tenant: Option<TenantId>,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Processing time that the client expects, on a standard core; `None` if it sent no hint.
    pub expected_work: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub is_client_retry: bool,
    /// The request that is sent to backends.
    pub upstream_request: Rc<UpstreamRequest>,
    /// Sends the final response to the handler of the client's request.
    pub response_sender: oneshot::Sender<FinalResponse>,
}

/// A message to the dispatcher.
pub enum DispatcherMessage {
    /// A client has sent a complete request.
    RequestReceived(ReceivedRequest),
    /// The client of a pending request has closed its connection.
    ClientDisconnected(RequestId),
    /// The task of an attempt has ended.
    AttemptEnded {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: AttemptNumber,
        /// How the attempt ended.
        result: UpstreamResult,
    },
    /// An endpoint list was read from the configuration or received, or the subscription to it was lost.
    EndpointList {
        /// How `endpoints` is to be applied.
        update: EndpointListUpdate,
        /// Entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// A reload replaced the settings.
    SettingsReplaced(SettingsReplacement),
    /// Graceful shutdown has begun.
    ShutdownStarted {
        /// Time by which every request is answered.
        deadline: Time,
    },
}

/// Replacement of the settings. Messages sent before this one refer to the old settings, later ones to the
/// new.
pub struct SettingsReplacement {
    /// The new settings.
    pub settings: Arc<Settings>,
    /// The change of the balancer's configuration.
    pub update: Box<ConfigUpdate>,
    /// Sends the old settings to the thread that frees them: freeing the names of thousands of classes and
    /// tenants on the event loop would delay requests.
    pub replaced_settings_sender: SyncSender<Arc<Settings>>,
}

/// State of the dispatcher that the readiness probe reports.
#[derive(Default)]
pub struct ServingStatus {
    /// Whether the dispatcher runs and at least one listed backend can receive requests.
    pub is_serving: Cell<bool>,
}
