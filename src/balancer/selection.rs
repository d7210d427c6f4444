//! Selection of the backend for an attempt: weighted random by traffic share, first among kinds and then
//! among the backends of the kind. If the drawn backend is full, unresponsive or ineligible, another one is
//! drawn: a backend loaded past its limit stays slow for a long time.

use super::classes::ClassTable;
use super::concurrency_limit::ProxyLimit;
use super::fleet::{Fleet, TrackedBackend, TrackedKind};
use super::priority::is_low_priority;
use super::request::Request;
use super::retry;
use super::slow_start::SlowStartLimits;
use crate::random::{Random, Weighted};
use crate::units::{BackendId, KindId};

/// Unsuccessful draws after which all backends are searched: when so many draws fail, most backends are full.
const MAX_DRAWS: usize = 8;

/// A view of the state on which the selection of a backend depends.
pub(super) struct BackendSelector<'a> {
    pub fleet: &'a Fleet,
    pub classes: &'a ClassTable,
    pub slow_start_limits: SlowStartLimits<'a>,
    pub proxy_limit: &'a ProxyLimit,
    /// Attempts of this proxy in flight.
    pub in_flight: usize,
}

impl BackendSelector<'_> {
    /// Selects a backend for the next attempt of the request; `None` if none has capacity. For a retry, all
    /// backends are searched without any draws, as few may be eligible.
    pub fn select_backend(&self, request: &Request, random: &mut Random) -> Option<BackendId> {
        if !self.proxy_limit.allows(self.in_flight, is_low_priority(request.relative_value)) {
            return None;
        }
        if request.is_unsent() {
            let kinds = self.weighted_kinds();
            for _ in 0..MAX_DRAWS {
                let kind = random.choose_weighted(&kinds)?;
                let drawn = self.draw_from(kind, random);
                if let Some(backend) = drawn.filter(|backend| self.can_accept(*backend, request)) {
                    return Some(backend);
                }
            }
        }
        self.select_among_all(request, random)
    }

    fn weighted_kinds(&self) -> Vec<Weighted<KindId>> {
        let weighted = |(id, kind): (&KindId, &TrackedKind)| Weighted {
            item: *id,
            weight: kind.selection_table.total(),
        };
        self.fleet.kinds.iter().map(weighted).collect()
    }

    /// Draws a backend of the kind by traffic share; `None` if the kind has no usable backend.
    fn draw_from(&self, kind: KindId, random: &mut Random) -> Option<BackendId> {
        let point = random.unit();
        self.fleet.kinds.get(&kind)?.selection_table.select(point)
    }

    fn select_among_all(&self, request: &Request, random: &mut Random) -> Option<BackendId> {
        let candidates = self.fleet.backends.iter().filter(|(id, _)| self.can_accept(**id, request));
        let weighted: Vec<Weighted<BackendId>> =
            candidates.map(|(id, backend)| Weighted { item: *id, weight: backend.traffic_share }).collect();
        random.choose_weighted(&weighted)
    }

    /// Whether the backend is eligible for the request and has capacity for it.
    fn can_accept(&self, id: BackendId, request: &Request) -> bool {
        let Some(backend) = self.fleet.backends.get(&id) else { return false };
        if backend.readiness <= 0.0 || backend.health.is_unresponsive() {
            return false;
        }
        let limit = backend.concurrency.own_limit(is_low_priority(request.relative_value));
        f64::from(backend.in_flight()) < limit && self.is_eligible(backend, request)
    }

    /// Whether the backend's state, the request's idempotency and slow start permit the attempt.
    fn is_eligible(&self, backend: &TrackedBackend, request: &Request) -> bool {
        backend.is_listed_ready()
            && retry::may_execute_at(&backend.endpoint, request)
            && self.slow_start_limits.admits(backend, self.classes.relative_work(request.class))
    }
}
