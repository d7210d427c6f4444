//! What a host tells the balancer.

use crate::backend::{Backend, EndpointListUpdate};
use crate::config::ConfigUpdate;
use crate::units::{AttemptNumber, ClassId, Micros, RequestId, TenantId, Time, TimerToken};

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint list arrived, or could not be had.
    EndpointListChanged {
        /// What the entries stand for.
        update: EndpointListUpdate,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A client's request: it is owed one final answer.
    RequestArrived(RequestArrival),
    /// Another configuration is in force: later events number classes and tenants by it. Requests in hand
    /// keep the terms that they came with. One that does not [validate](crate::Config::validate) changes
    /// nothing.
    ConfigReplaced(Box<ConfigUpdate>),
    /// The answer has begun to stream: the attempt is the client's now and no time-out runs. Only hosts that
    /// forward answers before their end report it.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client left, or the host answered it without the balancer: no answer is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The host shuts down: no answer may come later than this.
    ShutdownStarted {
        /// The latest deadline from now on.
        deadline: Time,
    },
    /// A timer fired.
    TimerFired {
        /// Which.
        token: TimerToken,
    },
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestArrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// When the client gives up, from now.
    pub time_left: Micros,
    /// The work that the client expects, on a standard core.
    pub expected_work: Option<Micros>,
    /// The client says that it sent the request before.
    pub is_client_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the dispatch.
    pub latency: Micros,
    /// The request has had its final answer; the balancer owes none.
    pub answered: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// An error answer; it may have been executed.
    ErrorResponse,
    /// The backend turned it away unexecuted.
    Rejected,
    /// No answer in time; it may have been executed or still be.
    TimedOut,
    /// No connection was made, or it broke before the request was written whole: never executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    ConnectionReset,
    /// Cancelled by the proxy; it may have been executed.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was not executed.
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
