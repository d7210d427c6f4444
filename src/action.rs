//! What the balancer asks of its host.

use crate::config::ConfigError;
use crate::event::Outcome;
use crate::units::{AttemptNumber, BackendId, Micros, RequestId, Time, TimerToken};
use std::fmt;

/// Something to do. Actions are carried out in order.
///
/// Attempts of a request are numbered from 0 in the order of their [`Dispatch`](Action::Dispatch), by host
/// and balancer alike. There is no action for a served request: the host forwards a
/// [`Success`](Outcome::Success) at once and reports it as [`answered`](crate::AttemptResult::answered).
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it may last until the client gives up.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
        /// What is not written whole by then must not be written any more: it ends as [`Outcome::NotSent`].
        write_by: Option<Time>,
    },
    /// Final answer: rejected, a client retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Ask for an [`Event::TimerFired`](crate::Event::TimerFired).
    SetTimer {
        /// The token it is to carry.
        token: TimerToken,
        /// When, from now.
        delay: Micros,
    },
    /// Call discovery for changes of the endpoint list.
    Resubscribe,
    /// Log an event for operators.
    Log(LogEvent),
}

/// What is logged for operators. `Display` is for hosts that log text alone; the proxy logs a message with
/// fields.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The subscription to the endpoint list was lost; a call follows after a backoff.
    SubscriptionLost,
    /// A backend was ejected as an outlier.
    BackendEjected {
        /// The backend.
        backend: BackendId,
        /// The outcome of the attempt that led to it.
        outcome: Outcome,
    },
    /// A replaced configuration is not sound; the one held stays in force.
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
