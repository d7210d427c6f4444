//! Selection of a backend for one attempt: a kind by its share, then a backend of it, both at random. What is
//! full, unresponsive or not allowed is drawn again, for a crowded backend slows for long.

use super::classes::ClassTable;
use super::concurrency_limit::ProxyLimit;
use super::fleet::{Fleet, TrackedBackend};
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
    /// A backend for the next attempt of the request; `None` where none has room.
    pub fn pick(&self, request: &Request, random: &mut Random) -> Option<BackendId> {
        if !self.proxy_limit.allows(self.in_flight, is_low_priority(request.relative_value)) {
            return None;
        }
        if request.is_unsent() {
            let kinds = self.kinds();
            for _ in 0..DRAWS {
                let drawn = self.draw(&kinds, random)?;
                if let Some(backend) = drawn.filter(|backend| self.is_open(*backend, request)) {
                    return Some(backend);
                }
            }
        }
        self.pick_among_all(request, random)
    }

    fn kinds(&self) -> Vec<Weighted<KindId>> {
        let weighted = |(kind, tracked): (&KindId, &super::fleet::TrackedKind)| Weighted {
            item: *kind,
            weight: tracked.picks.total(),
        };
        self.fleet.kinds.iter().map(weighted).collect()
    }

    /// A backend by traffic share; `None` where there is no kind to draw from, `Some(None)` where the kind is
    /// empty.
    fn draw(&self, kinds: &[Weighted<KindId>], random: &mut Random) -> Option<Option<BackendId>> {
        let kind = random.pick(kinds)?;
        let point = random.unit();
        Some(self.fleet.kinds.get(&kind).and_then(|kind| kind.picks.pick(point)))
    }

    fn pick_among_all(&self, request: &Request, random: &mut Random) -> Option<BackendId> {
        let open = self.fleet.backends.iter().filter(|(id, _)| self.is_open(**id, request));
        let weighted: Vec<Weighted<BackendId>> =
            open.map(|(id, backend)| Weighted { item: *id, weight: backend.traffic_share }).collect();
        random.pick(&weighted)
    }

    /// Whether the backend may be sent the request and has room for it.
    fn is_open(&self, id: BackendId, request: &Request) -> bool {
        let Some(backend) = self.fleet.backends.get(&id) else { return false };
        if backend.readiness <= 0.0 || backend.health.is_unresponsive() {
            return false;
        }
        let limit = backend.concurrency.own(is_low_priority(request.relative_value));
        f64::from(backend.in_flight) < limit && self.is_allowed(backend, request)
    }

    /// Whether the rules let the backend have the request: its state, duplicate effects, slow start.
    fn is_allowed(&self, backend: &TrackedBackend, request: &Request) -> bool {
        backend.is_listed_ready()
            && retry::may_execute_at(&backend.record, request)
            && self.slow_start.admits(backend, self.classes.relative_work(request.class))
    }
}
