//! Events: the input of the balancer.

use crate::backend::{Backend, EndpointListUpdate};
use crate::config::ConfigUpdate;
use crate::units::{AttemptNumber, ClassId, Micros, RequestId, TenantId, Time, TimerToken};

/// An input of the balancer: something that happened at the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Discovery delivered an endpoint list, or failed to.
    EndpointListChanged {
        /// Whether the entries are the whole list or its changes.
        update: EndpointListUpdate,
        /// The entries; empty for [`EndpointListUpdate::SubscriptionLost`].
        backends: Vec<Backend>,
    },
    /// A client's request arrived. It is pending until its one final response.
    RequestArrived(RequestArrival),
    /// Replaces the active configuration. Later events index classes and tenants by the new one. Pending
    /// requests keep the class settings with which they arrived. A configuration that does not
    /// [validate](crate::Config::validate) changes nothing.
    ConfigReplaced(Box<ConfigUpdate>),
    /// The host has begun to stream the response of this attempt to the client: from now on the request is
    /// neither hedged nor given up on a timeout. Reported only by hosts that forward responses before their
    /// end.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client disconnected, or the host sent the final response without the balancer: the request is
    /// no longer pending.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The host shuts down: every pending request must get its final response by the deadline.
    ShutdownStarted {
        /// Upper bound on the deadlines of the requests that are pending now.
        deadline: Time,
    },
    /// A timer fired.
    TimerFired {
        /// The token of its [`Action::SetTimer`](crate::Action::SetTimer).
        token: TimerToken,
    },
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestArrival {
    /// Identifies the request in later events and actions.
    pub request: RequestId,
    /// Index of its class in the active configuration.
    pub class: ClassId,
    /// Index of its tenant in the active configuration; `None` for a request without one.
    pub tenant: Option<TenantId>,
    /// Time from now until the client gives up.
    pub time_left: Micros,
    /// Processor time on a standard core that the client expects the request to need; `None` without a hint.
    pub expected_work: Option<Micros>,
    /// The client marked the request as a retry of an earlier one.
    pub is_client_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the dispatch to the end of the attempt.
    pub latency: Micros,
    /// The host has sent the client its final response: the request is no longer pending.
    pub final_response_sent: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Success,
    /// The backend responded with an error. The request may have been executed.
    ErrorResponse,
    /// The backend rejected the request without executing it.
    Rejected,
    /// No response arrived in time. The request may have been executed, or still be executing.
    TimedOut,
    /// No connection was made, or it broke before the whole request was written. It was not executed.
    ConnectFailed,
    /// The connection broke after the request was written. It may have been executed.
    ConnectionReset,
    /// The proxy cancelled the attempt. The request may have been executed.
    Cancelled,
    /// The host did not send the attempt. It was not executed.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the backend did not execute the request.
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
