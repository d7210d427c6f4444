//! The backends and kinds that this proxy knows of. Each part of a record belongs to the module whose type it
//! has; what is left here is membership.

use super::concurrency_limit::ConcurrencyLimit;
use super::outlier_detection::Health;
use super::slow_start::RecentWork;
use super::speed_estimation::KindSpeed;
use super::subset::{KindSubset, SubsetCoverage};
use super::traffic_allocation::PickTable;
use crate::backend::{Backend, BackendState, EndpointListUpdate};
use crate::units::{BackendId, KindId};
use std::collections::{BTreeMap, BTreeSet};

/// Kinds up to which those without a backend are remembered: what was learned of a kind outlives an empty
/// list, and names that come and go do not add up.
const REMEMBERED_KINDS: usize = 16;

/// What is known of a backend.
#[derive(Default)]
pub(super) struct TrackedBackend {
    /// Its entry in the endpoint list.
    pub record: Backend,
    /// From 0 (send nothing) to 1 (healthy, warm, not overloaded).
    pub readiness: f64,
    /// Attempts of this proxy that have not ended.
    pub in_flight: u32,
    /// Its part of this proxy's traffic.
    pub traffic_share: f64,
    pub health: Health,
    pub recent_work: RecentWork,
    pub coverage: SubsetCoverage,
    pub concurrency: ConcurrencyLimit,
}

impl TrackedBackend {
    /// The list allows new requests.
    pub fn is_listed_ready(&self) -> bool {
        self.record.state == BackendState::Ready
    }

    /// A restarted process has nothing in common with the one before it but what this proxy sent to the
    /// address.
    fn forget_process(&mut self) {
        *self = TrackedBackend {
            in_flight: self.in_flight,
            recent_work: std::mem::take(&mut self.recent_work),
            ..TrackedBackend::default()
        };
    }
}

/// What is known of a kind of backend.
#[derive(Default)]
pub(super) struct TrackedKind {
    pub speed: KindSpeed,
    /// Sum of its backends' readiness.
    pub readiness: f64,
    /// Its backends that the list allows requests to, whatever their health.
    pub listed: f64,
    /// Part of all proxies' traffic, by HALB.
    pub share: f64,
    /// Highest weight that the list gave one of its backends: that of an idle one.
    pub idle_weight: f64,
    pub subset: KindSubset,
    pub picks: PickTable,
}

/// All backends and kinds.
#[derive(Default)]
pub(super) struct Fleet {
    pub backends: BTreeMap<BackendId, TrackedBackend>,
    pub kinds: BTreeMap<KindId, TrackedKind>,
}

impl Fleet {
    /// The kind of a backend.
    pub fn kind_of(&self, backend: &TrackedBackend) -> Option<&TrackedKind> {
        self.kinds.get(&backend.record.kind)
    }

    /// Takes in an endpoint list; true if anything but weights changed.
    pub fn apply(&mut self, update: EndpointListUpdate, list: Vec<Backend>) -> bool {
        let mut changed = false;
        if matches!(update, EndpointListUpdate::Snapshot | EndpointListUpdate::Cached) {
            changed = self.remove_unlisted(&list);
        }
        for record in list {
            let backend = self.backends.entry(record.id).or_default();
            if backend.record.started_at != record.started_at {
                backend.forget_process();
            }
            // A live weight moves all the time; the next periodic update of the shares takes it in.
            changed |= backend.record != Backend { weight: backend.record.weight, ..record.clone() };
            backend.record = record;
        }
        changed
    }

    fn remove_unlisted(&mut self, list: &[Backend]) -> bool {
        let listed: BTreeSet<BackendId> = list.iter().map(|record| record.id).collect();
        let mut changed = false;
        for backend in self.backends.values_mut() {
            if !listed.contains(&backend.record.id) {
                backend.record.state = BackendState::Removed;
                changed = true;
            }
        }
        changed
    }

    /// Forgets removed backends that nothing is in flight to, and kinds without a backend once there are
    /// many.
    pub fn prune(&mut self) {
        self.backends
            .retain(|_, backend| backend.record.state != BackendState::Removed || backend.in_flight > 0);
        if self.kinds.len() > REMEMBERED_KINDS {
            let listed: BTreeSet<KindId> =
                self.backends.values().map(|backend| backend.record.kind).collect();
            self.kinds.retain(|kind, _| listed.contains(kind));
        }
    }
}
