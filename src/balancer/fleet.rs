//! The backends and kinds that this proxy knows of: membership by the endpoint list. Each part of a record
//! belongs to the module whose type it has, which alone changes it; a plain number names the module that sets
//! it.

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
/// Guards a division by the ready backends of a kind.
const LEAST_READINESS: f64 = 1e-9;

/// What is known of a backend.
#[derive(Default)]
pub(super) struct TrackedBackend {
    /// Its entry in the endpoint list.
    pub record: Backend,
    /// From 0 (send nothing) to 1 (healthy, warm, not overloaded): its health times its warm fraction times
    /// what its reported load leaves. Set by `share_update`; an ejection sets it to 0 at once.
    pub readiness: f64,
    /// Its part of this proxy's traffic; set by `traffic_allocation`.
    pub traffic_share: f64,
    /// Attempts of this proxy that have not ended.
    in_flight: u32,
    pub health: Health,
    pub recent_work: RecentWork,
    pub coverage: SubsetCoverage,
    pub concurrency: ConcurrencyLimit,
}

impl TrackedBackend {
    /// Attempts of this proxy that have not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// An attempt was dispatched.
    pub fn attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// An attempt ended, however that was.
    pub fn attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

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
    /// Sum of the readiness of its backends. Set by `share_update`, like the next three.
    pub total_readiness: f64,
    /// How many backends the list allows requests to, whatever their health.
    pub listed_ready_backends: f64,
    /// Part of the traffic of all proxies, by HALB.
    pub fleet_share: f64,
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

    /// The part of the traffic of all proxies that a backend receives where subsets, zones and slow start
    /// change nothing.
    pub fn fair_share(&self, backend: &TrackedBackend) -> f64 {
        let part_of = |kind: &TrackedKind| {
            kind.fleet_share * backend.readiness / kind.total_readiness.max(LEAST_READINESS)
        };
        self.kind_of(backend).map_or(0.0, part_of)
    }

    /// Takes in an endpoint list; true if anything but weights changed.
    pub fn apply(&mut self, update: EndpointListUpdate, list: Vec<Backend>) -> bool {
        let mut changed = false;
        if update.is_complete() {
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
