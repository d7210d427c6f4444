//! Selection: which backend does one attempt go to? A kind is drawn by its allocated share, then a backend of
//! it; one that is full, unresponsive or not allowed is drawn again rather than overfilled, which would slow
//! it for long.

use super::classes::ClassTable;
use super::concurrency_limit::ProxyLimit;
use super::fleet::{Fleet, TrackedBackend, TrackedKind};
use super::priority::is_low_priority;
use super::request::Request;
use super::retry;
use super::slow_start::SlowStart;
use crate::random::{Random, Weighted};
use crate::units::{BackendId, KindId};

/// Draws by share before all backends are looked through: when so many are full, most are.
const DRAWS: usize = 8;

/// What a selection goes by.
pub(super) struct Selection<'a> {
    pub fleet: &'a Fleet,
    pub classes: &'a ClassTable,
    pub slow_start: SlowStart<'a>,
    pub proxy_limit: &'a ProxyLimit,
    /// Attempts of this proxy in flight.
    pub in_flight: usize,
}

impl Selection<'_> {
    /// A backend for the next attempt of the request; `None` where none has capacity. A retry, which few
    /// backends may be allowed to execute, chooses among those at once.
    pub fn pick(&self, request: &Request, random: &mut Random) -> Option<BackendId> {
        if !self.proxy_limit.allows(self.in_flight, is_low_priority(request.relative_value)) {
            return None;
        }
        if request.is_unsent() {
            let kinds = self.kinds_by_share();
            for _ in 0..DRAWS {
                let kind = random.pick(&kinds)?;
                let drawn = self.draw_from(kind, random);
                if let Some(backend) = drawn.filter(|backend| self.can_take(*backend, request)) {
                    return Some(backend);
                }
            }
        }
        self.pick_among_all(request, random)
    }

    fn kinds_by_share(&self) -> Vec<Weighted<KindId>> {
        let by_share =
            |(id, kind): (&KindId, &TrackedKind)| Weighted { item: *id, weight: kind.picks.total() };
        self.fleet.kinds.iter().map(by_share).collect()
    }

    /// A backend of the kind by traffic share; `None` where none can be used.
    fn draw_from(&self, kind: KindId, random: &mut Random) -> Option<BackendId> {
        let point = random.unit();
        self.fleet.kinds.get(&kind)?.picks.pick(point)
    }

    fn pick_among_all(&self, request: &Request, random: &mut Random) -> Option<BackendId> {
        let candidates = self.fleet.backends.iter().filter(|(id, _)| self.can_take(**id, request));
        let by_share: Vec<Weighted<BackendId>> =
            candidates.map(|(id, backend)| Weighted { item: *id, weight: backend.traffic_share }).collect();
        random.pick(&by_share)
    }

    /// Whether the backend may be sent the request and has capacity for it.
    fn can_take(&self, id: BackendId, request: &Request) -> bool {
        let Some(backend) = self.fleet.backends.get(&id) else { return false };
        if backend.readiness <= 0.0 || backend.health.is_unresponsive() {
            return false;
        }
        let limit = backend.concurrency.own(is_low_priority(request.relative_value));
        f64::from(backend.in_flight()) < limit && self.is_allowed(backend, request)
    }

    /// Whether the rules let the backend have the request: its state, duplicate effects, slow start.
    fn is_allowed(&self, backend: &TrackedBackend, request: &Request) -> bool {
        backend.is_listed_ready()
            && retry::may_execute_at(&backend.record, request)
            && self.slow_start.admits(backend, self.classes.relative_work(request.class))
    }
}
