//! Actions: the output of the balancer, which its host carries out.

use crate::config::ConfigError;
use crate::event::Outcome;
use crate::units::{AttemptNumber, BackendId, Micros, RequestId, Time, TimerToken};
use std::fmt;

/// A command to the host. Actions are carried out in the order in which they are returned.
///
/// Host and balancer both number the attempts of a request from 0 in the order of their
/// [`Dispatch`](Action::Dispatch). There is no action for a served request: the host forwards a
/// [`Success`](Outcome::Success) immediately and reports it with
/// [`final_response_sent`](crate::AttemptResult::final_response_sent) set.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt, which may last until the client gives up.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The backend that receives the attempt.
        backend: BackendId,
        /// Time by which the whole request must be written. If it is not, the host must not send the rest,
        /// and the attempt ends as [`Outcome::NotSent`]. `None` sets no limit.
        write_by: Option<Time>,
    },
    /// Rejects the request, which is its final response: the client may safely retry it.
    Reject {
        /// The request.
        request: RequestId,
    },
    /// Fails the request, which is its final response: it may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancels an attempt in flight; the host then reports its end.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Sets a timer that reports [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// The token that the event carries.
        token: TimerToken,
        /// Time from now until it fires.
        delay: Micros,
    },
    /// Calls discovery to subscribe to changes of the endpoint list.
    Resubscribe,
    /// Logs an event for operators.
    Log(LogEvent),
}

/// An event in the operators' log. `Display` is for hosts that log plain text; the proxy logs a message with
/// structured fields instead.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The subscription to the endpoint list was lost. A new call follows after a backoff.
    SubscriptionLost,
    /// A backend was ejected as an outlier.
    BackendEjected {
        /// The backend.
        backend: BackendId,
        /// The outcome of the attempt that caused the ejection.
        outcome: Outcome,
    },
    /// A new configuration is invalid; the active configuration stays.
    ConfigRejected(ConfigError),
}

impl fmt::Display for LogEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::SubscriptionLost => write!(formatter, "subscription lost, resubscribing"),
            LogEvent::BackendEjected { backend, outcome } => {
                write!(formatter, "backend ejected: backend={} outcome={outcome:?}", backend.0)
            }
            LogEvent::ConfigRejected(error) => write!(formatter, "configuration rejected: {error}"),
        }
    }
}
