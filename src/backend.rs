//! Entries and updates of the endpoint list.

use crate::units::{BackendId, CellId, KindId, Time, ZoneId};

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Identifies the backend; the same number at every proxy.
    pub id: BackendId,
    /// The network zone it runs in.
    pub zone: ZoneId,
    /// The cell it belongs to: backends of a cell share the idempotency keys they have seen.
    pub cell: CellId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// When its process started; `None` for a process that started long ago and needs no slow start.
    pub started_at: Option<Time>,
    /// The list's weight for the backend, comparable only within a kind. Used only where
    /// [`Config::weights_report_load`](crate::Config::weights_report_load) is set.
    pub weight: f64,
}

/// Whether a backend accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests and finishes those in flight.
    Draining,
    /// Has left the fleet.
    #[default]
    Removed,
}

/// How the entries of an update relate to the current endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListUpdate {
    /// The update holds the entries that changed.
    Delta,
    /// The update holds every entry; backends that are absent are removed.
    Snapshot,
    /// The update holds every entry as it was before a restart of the proxy, and may be out of date.
    Cached,
    /// The call or the subscription failed; the current list stays.
    SubscriptionLost,
}

impl EndpointListUpdate {
    /// Whether the update holds every entry, so that backends that it does not name are removed.
    pub fn is_complete(self) -> bool {
        matches!(self, EndpointListUpdate::Snapshot | EndpointListUpdate::Cached)
    }
}
