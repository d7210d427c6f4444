//! The deterministic subset: which backends does a proxy use, when a connection from every proxy would fill
//! the connection tables of the backends? The backends of a kind form a ring, and each proxy uses those in
//! its own stretch of it; the stretches follow from the endpoint list and the proxies' indices alone, so that
//! they fit together without communication between proxies.
//!
//! With 100 proxies, a stretch of 8 / 100 of the ring each puts 8 proxies on every backend.

use super::concurrency_limit::IN_FLIGHT_PER_BACKEND;
use super::fleet::{Fleet, TrackedBackend};
use super::slow_start::{warm_fraction, LIKELY_DURATION_FRACTION};
use crate::config::Config;
use crate::units::{KindId, Time};
use std::collections::BTreeMap;

/// Proxies that use one backend: twice the attempts in flight there, since a proxy keeps its connection
/// between attempts, and for a while after its subset has moved on.
const PROXIES_PER_BACKEND: f64 = 2.0 * IN_FLIGHT_PER_BACKEND;
/// Least number of proxies that use one backend in a very large fleet: with fewer, backends are loaded
/// unevenly.
const MIN_PROXIES_PER_BACKEND: f64 = 5.0;
/// Fleets up to this many proxies use [`PROXIES_PER_BACKEND`], whatever connections that costs: with fewer
/// proxies on a warming backend, the limit that they share out would fall into few large parts.
const UNREDUCED_FLEET: f64 = 100.0;
/// Backends of a kind in a subset at most, as long as enough proxies use each backend: each costs a
/// connection, and another one when it is replaced or the subset moves.
const MAX_BACKENDS_PER_KIND: f64 = 10.0;
/// Backends of a kind in a subset at least: one may be an outlier and another busy.
const MIN_BACKENDS_PER_KIND: f64 = 3.0;
/// The stretches begin at multiples of the golden ratio: any run of consecutive proxies is spread evenly over
/// the ring, also while others of the fleet are down.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Guards divisions by the length of a ring, an arc or what a subset covers.
const EPSILON: f64 = 1e-12;

/// How the subsets of all proxies cover a backend.
#[derive(Default)]
pub(super) struct SubsetCoverage {
    /// Part of it inside this proxy's subset.
    own: f64,
    /// Sum of its parts inside the subsets of all proxies.
    total: f64,
    /// How many subsets contain some part of it.
    users: f64,
}

impl SubsetCoverage {
    /// Every proxy uses the whole backend.
    fn everywhere(proxy_count: f64) -> SubsetCoverage {
        SubsetCoverage { own: 1.0, total: proxy_count, users: proxy_count }
    }

    pub fn is_in_subset(&self) -> bool {
        self.own > 0.0
    }

    /// Part of the backend inside this proxy's subset, from 0 to 1.
    pub fn own(&self) -> f64 {
        self.own
    }

    /// Sum of the backend's parts inside the subsets of all proxies.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Proxies that use the backend.
    pub fn users(&self) -> f64 {
        self.users
    }
}

/// This proxy's subset of a kind.
#[derive(Default)]
pub(super) struct KindSubset {
    /// Part of the ring that it covers.
    width: f64,
    /// How many times its equal part of the kind's traffic a covered backend receives from this proxy.
    share_multiplier: f64,
}

impl KindSubset {
    /// All backends of the kind.
    fn everything() -> KindSubset {
        KindSubset { width: 1.0, share_multiplier: 1.0 }
    }

    pub fn width(&self) -> f64 {
        self.width
    }

    pub fn share_multiplier(&self) -> f64 {
        self.share_multiplier
    }

    pub fn is_everything(&self) -> bool {
        self.width >= 1.0
    }
}

/// A stretch of a ring of length 1.
#[derive(Clone, Copy)]
struct Arc {
    start: f64,
    end: f64,
}

impl Arc {
    /// The part of it inside a subset, which may cross the ring's origin.
    fn part_inside(self, subset_start: f64, width: f64) -> f64 {
        let shared = |start: f64| (self.end.min(start + width) - self.start.max(start)).max(0.0);
        let covered = shared(subset_start) + shared(subset_start - 1.0);
        (covered / (self.end - self.start).max(EPSILON)).min(1.0)
    }

    /// How the subsets of all proxies cover it, counted one by one.
    fn coverage(self, own: f64, width: f64, proxy_count: u32) -> SubsetCoverage {
        let mut coverage = SubsetCoverage { own, total: 0.0, users: 0.0 };
        for proxy_index in 0..proxy_count {
            let part = self.part_inside(subset_start(proxy_index), width);
            if part > 0.0 {
                coverage.total += part;
                coverage.users += 1.0;
            }
        }
        coverage
    }
}

fn subset_start(proxy_index: u32) -> f64 {
    (f64::from(proxy_index) * GOLDEN_RATIO_FRACTION).fract()
}

/// A backend on its kind's ring; its arc is as long as the backend is warm.
struct RingMember<'a> {
    length: f64,
    backend: &'a mut TrackedBackend,
}

/// The size of all proxies' subsets of one kind. Proxies per backend fall from 8 towards 5 as the fleet grows
/// past 100 proxies, as far as [`MAX_BACKENDS_PER_KIND`] asks for it; no subset has fewer than
/// [`MIN_BACKENDS_PER_KIND`] backends.
struct SubsetSize {
    proxies_per_backend: f64,
    /// Part of the ring.
    width: f64,
}

impl SubsetSize {
    fn of(proxy_count: f64, backend_count: f64) -> SubsetSize {
        let reduction = (UNREDUCED_FLEET / proxy_count).min(1.0);
        let reducible = PROXIES_PER_BACKEND - MIN_PROXIES_PER_BACKEND;
        let least = MIN_PROXIES_PER_BACKEND + reducible * reduction;
        let wanted = MAX_BACKENDS_PER_KIND * proxy_count / backend_count.max(1.0);
        let proxies_per_backend = wanted.clamp(least, PROXIES_PER_BACKEND);
        let least_width = MIN_BACKENDS_PER_KIND / backend_count.max(1.0);
        let width = (proxies_per_backend / proxy_count).max(least_width).min(1.0);
        SubsetSize { proxies_per_backend, width }
    }

    /// Fewer proxies than usual use each backend, so that their number differs more from one to the next.
    fn is_reduced(&self) -> bool {
        self.proxies_per_backend < PROXIES_PER_BACKEND
    }
}

/// Places this proxy's subset of every kind and notes how the subsets cover each backend.
pub(super) fn place_subsets(config: &Config, now: Time, fleet: &mut Fleet) {
    let mut rings: BTreeMap<KindId, Vec<RingMember>> = BTreeMap::new();
    for backend in fleet.backends.values_mut() {
        let length = arc_length(config, now, backend);
        rings.entry(backend.record.kind).or_default().push(RingMember { length, backend });
    }
    for (kind, mut ring) in rings {
        let kind = fleet.kinds.entry(kind).or_default();
        kind.subset = place_subset(config, &mut ring, kind.total_readiness);
    }
}

fn arc_length(config: &Config, now: Time, backend: &TrackedBackend) -> f64 {
    if backend.is_listed_ready() {
        warm_fraction(config, now, &backend.record, LIKELY_DURATION_FRACTION)
    } else {
        0.0
    }
}

fn place_subset(config: &Config, ring: &mut [RingMember], total_readiness: f64) -> KindSubset {
    let proxy_count = f64::from(config.proxy_count);
    let backend_count = ring.iter().filter(|member| member.length > 0.0).count() as f64;
    let size = SubsetSize::of(proxy_count, backend_count);
    let covered_backends = cover(config, ring, &size);
    if covered_backends > 0.0 {
        let share_multiplier = total_readiness / covered_backends.max(EPSILON);
        return KindSubset { width: size.width, share_multiplier };
    }
    // Nothing in the subset can be used: any other backend of the kind is better than none.
    for member in ring {
        member.backend.coverage = SubsetCoverage::everywhere(proxy_count);
    }
    KindSubset::everything()
}

/// Sets the coverage of every backend on the ring; returns how many ready backends this proxy's subset
/// covers.
fn cover(config: &Config, ring: &mut [RingMember], size: &SubsetSize) -> f64 {
    let ring_length: f64 = ring.iter().map(|member| member.length).sum();
    let own_start = subset_start(config.proxy_index);
    let mean_users = size.width * f64::from(config.proxy_count);
    let mut start = 0.0;
    let mut covered_backends = 0.0;
    for member in ring {
        let arc = Arc { start, end: start + member.length / ring_length.max(EPSILON) };
        let own = if size.width < 1.0 { arc.part_inside(own_start, size.width) } else { 1.0 };
        let mut coverage = SubsetCoverage { own, total: mean_users, users: mean_users };
        if size.is_reduced() && own > 0.0 && member.length < 1.0 {
            // The limit of a warming backend is shared out among those that really use it.
            let counted = arc.coverage(own, size.width, config.proxy_count);
            coverage.total = coverage.total.max(counted.total);
            coverage.users = coverage.users.max(counted.users);
        }
        member.backend.coverage = coverage;
        covered_backends += member.backend.readiness * own;
        start = arc.end;
    }
    covered_backends
}
