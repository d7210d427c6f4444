//! Entries of the endpoint list.

use crate::units::{BackendId, CellId, KindId, Time, ZoneId};

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Which backend.
    pub id: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its kind.
    pub kind: KindId,
    /// What it may be sent.
    pub state: BackendState,
    /// When its process started; `None` means long ago.
    pub started_at: Option<Time>,
    /// The list's weight, compared within a kind only; read where
    /// [`Config::live_weights`](crate::Config::live_weights) is set.
    pub weight: f64,
}

/// What a backend may be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// Requests.
    Ready,
    /// Nothing new: it finishes what it has.
    Draining,
    /// Nothing: it has left.
    #[default]
    Removed,
}

/// What an endpoint list stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListUpdate {
    /// The entries that changed.
    Delta,
    /// Every entry; what is absent is removed.
    Snapshot,
    /// Every entry as it was before a restart, perhaps out of date.
    Cached,
    /// The call or the subscription failed; the list held stays in force.
    SubscriptionLost,
}

impl EndpointListUpdate {
    /// Whether the entries are all there are: what they do not name is removed.
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointListUpdate::Snapshot | EndpointListUpdate::Cached)
    }
}
