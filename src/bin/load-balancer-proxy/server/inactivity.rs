//! Client connections that can be closed to free their slots: those without a request that the proxy has to
//! answer.

use super::client_connection::CloseMode;
use load_balancer::Time;

/// Why a connection can be closed. Connections are closed in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Inactivity {
    /// Its last response was sent, and the client has not closed it yet.
    Ended,
    /// It is idle between two requests.
    Idle,
    /// The client has not sent anything.
    Silent,
    /// The client has sent a part of a request.
    Incomplete,
}

impl Inactivity {
    /// Returns how a connection in this state is asked to close; `None` if it only waits for its client.
    pub fn close_mode(self) -> Option<CloseMode> {
        match self {
            Inactivity::Ended => None,
            Inactivity::Idle | Inactivity::Silent => Some(CloseMode::Graceful),
            Inactivity::Incomplete => Some(CloseMode::TimeOutRequest),
        }
    }
}

/// A connection that can be closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct InactiveConnection {
    /// Why it can be closed.
    pub state: Inactivity,
    /// Since when it has been inactive.
    pub since: Time,
    /// Time from which it can be closed.
    pub closable_at: Time,
}

impl InactiveConnection {
    /// Sort key: the connections with the smallest ones are closed first.
    pub fn close_order(&self) -> (Inactivity, Time) {
        (self.state, self.since)
    }
}
