//! The backends known to this proxy and their kinds; the endpoint list decides which backends there are.
//!
//! A field of a tracked backend or kind is changed only by the module that defines its type. For a plain
//! number, the comment names the module that sets it.

use super::concurrency_limit::ConcurrencyLimit;
use super::outlier_detection::Health;
use super::service_rate_estimation::KindEstimates;
use super::slow_start::RecentWork;
use super::subset::{KindSubset, SubsetCoverage};
use super::traffic_allocation::SelectionTable;
use crate::backend::{Backend, BackendState, EndpointListUpdate};
use crate::units::{BackendId, KindId};
use std::collections::{BTreeMap, BTreeSet};

/// Number of kinds above which those without a backend are dropped. Below it their statistics survive an
/// empty list; the limit bounds the memory if kinds come and go.
const MAX_RETAINED_KINDS: usize = 16;
/// Lower bound of a divisor, against division by zero.
const MIN_READINESS: f64 = 1e-9;

/// State of a backend at this proxy.
#[derive(Default)]
pub(super) struct TrackedBackend {
    /// Its entry in the endpoint list.
    pub endpoint: Backend,
    /// Usable fraction of its capacity, from 0 (send nothing) to 1 (healthy, warm, not overloaded): the
    /// product of health factor, warm fraction and reported load factor. Set by `share_update`;
    /// `outlier_detection` sets it to 0 on an ejection.
    pub readiness: f64,
    /// Fraction of this proxy's traffic that it receives; set by `traffic_allocation`.
    pub traffic_share: f64,
    /// Number of this proxy's attempts in flight there.
    in_flight: u32,
    pub health: Health,
    pub recent_work: RecentWork,
    pub coverage: SubsetCoverage,
    pub concurrency: ConcurrencyLimit,
}

impl TrackedBackend {
    /// Number of this proxy's attempts in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub fn attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of an attempt, whatever its outcome.
    pub fn attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether the endpoint list gives its state as ready.
    pub fn is_listed_ready(&self) -> bool {
        self.endpoint.state == BackendState::Ready
    }

    /// Drops what was recorded of the process before a restart, except the attempts that this proxy sent to
    /// its address.
    fn reset_after_restart(&mut self) {
        *self = TrackedBackend {
            in_flight: self.in_flight,
            recent_work: std::mem::take(&mut self.recent_work),
            ..TrackedBackend::default()
        };
    }
}

/// State of a kind of backend at this proxy.
#[derive(Default)]
pub(super) struct TrackedKind {
    pub estimates: KindEstimates,
    /// Sum of the readiness of its backends. Set by `share_update`, like the next three fields.
    pub total_readiness: f64,
    /// Number of its backends whose state in the endpoint list is ready, whatever their health.
    pub listed_ready_backends: f64,
    /// Fraction of the traffic of all proxies that it receives, by HALB.
    pub fleet_share: f64,
    /// Highest weight that the endpoint list ever gave one of its backends, assumed to be that of an idle
    /// one.
    pub idle_weight: f64,
    pub subset: KindSubset,
    pub selection_table: SelectionTable,
}

/// All backends and kinds known to this proxy.
#[derive(Default)]
pub(super) struct Fleet {
    pub backends: BTreeMap<BackendId, TrackedBackend>,
    pub kinds: BTreeMap<KindId, TrackedKind>,
}

impl Fleet {
    pub fn kind_of(&self, backend: &TrackedBackend) -> Option<&TrackedKind> {
        self.kinds.get(&backend.endpoint.kind)
    }

    /// Fraction of the traffic of all proxies that a backend receives before subsets, zone preference and
    /// slow start are applied. The HALB share of a kind is divided among its backends by readiness.
    pub fn fair_share(&self, backend: &TrackedBackend) -> f64 {
        let share_within = |kind: &TrackedKind| {
            kind.fleet_share * backend.readiness / kind.total_readiness.max(MIN_READINESS)
        };
        self.kind_of(backend).map_or(0.0, share_within)
    }

    /// Applies an endpoint list update; returns whether anything other than weights changed.
    pub fn apply(&mut self, update: EndpointListUpdate, list: Vec<Backend>) -> bool {
        let mut changed = false;
        if update.is_complete() {
            changed = self.remove_unlisted(&list);
        }
        for endpoint in list {
            let backend = self.backends.entry(endpoint.id).or_default();
            if backend.endpoint.started_at != endpoint.started_at {
                backend.reset_after_restart();
            }
            // Live weights change constantly; the next periodic share update applies them.
            changed |= backend.endpoint != Backend { weight: backend.endpoint.weight, ..endpoint.clone() };
            backend.endpoint = endpoint;
        }
        changed
    }

    fn remove_unlisted(&mut self, list: &[Backend]) -> bool {
        let listed: BTreeSet<BackendId> = list.iter().map(|endpoint| endpoint.id).collect();
        let mut changed = false;
        for backend in self.backends.values_mut() {
            if !listed.contains(&backend.endpoint.id) {
                backend.endpoint.state = BackendState::Removed;
                changed = true;
            }
        }
        changed
    }

    /// Drops removed backends without attempts in flight, and kinds without a backend above
    /// [`MAX_RETAINED_KINDS`].
    pub fn prune(&mut self) {
        self.backends
            .retain(|_, backend| backend.endpoint.state != BackendState::Removed || backend.in_flight > 0);
        if self.kinds.len() > MAX_RETAINED_KINDS {
            let listed: BTreeSet<KindId> =
                self.backends.values().map(|backend| backend.endpoint.kind).collect();
            self.kinds.retain(|kind, _| listed.contains(kind));
        }
    }
}
