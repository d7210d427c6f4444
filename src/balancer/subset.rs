//! Deterministic subsetting: each proxy uses only some backends of each kind, because connections from every
//! proxy would fill the connection tables of the backends.
//!
//! The backends of a kind form a ring of length 1, on which each has an arc in proportion to its warm
//! fraction. A proxy's subset is an arc of the ring too: the backends that it overlaps, each by the
//! overlapped fraction. Start and width of the arc are fractions of the ring. They depend on the endpoint
//! list, the proxy index and the proxy count alone, so that the subsets of all proxies fit together without
//! communication.
//!
//! With 100 proxies, an arc of 8 / 100 of the ring per proxy puts 8 proxies on every backend.

use super::concurrency_limit::IN_FLIGHT_PER_BACKEND;
use super::fleet::{Fleet, TrackedBackend};
use super::slow_start::{warm_fraction, LIKELY_DURATION_FRACTION};
use crate::config::Config;
use crate::units::{KindId, Time};
use std::collections::BTreeMap;

/// Number of proxies that use one backend: twice the attempts in flight there. A proxy keeps its connection
/// open between attempts, and for some time after its subset has changed.
const PROXIES_PER_BACKEND: f64 = 2.0 * IN_FLIGHT_PER_BACKEND;
/// Minimum number of proxies that use one backend in a very large fleet: with fewer, the load of the backends
/// is uneven.
const MIN_PROXIES_PER_BACKEND: f64 = 5.0;
/// Number of proxies up to which [`PROXIES_PER_BACKEND`] is not reduced, whatever the number of connections.
/// With fewer proxies on a warming backend, each one's fraction of its limit would be too large.
const MAX_UNREDUCED_PROXIES: f64 = 100.0;
/// Target maximum of backends of a kind in a subset, as long as enough proxies use each backend. Each backend
/// needs a connection, and another one when it is replaced or the subset changes.
const MAX_BACKENDS_PER_KIND: f64 = 10.0;
/// Minimum number of backends of a kind in a subset: one may be an outlier and another busy.
const MIN_BACKENDS_PER_KIND: f64 = 3.0;
/// The subsets of the proxies start at multiples of the golden ratio, modulo 1. Any run of consecutive proxy
/// indices is then spread evenly over the ring, even while the other proxies are down.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Lower bound of the divisors, against division by zero.
const EPSILON: f64 = 1e-12;

/// How the subsets of all proxies cover a backend. `total_fraction` and `proxy_count` are means over the
/// ring, unless [`update_coverage`] counts them exactly.
#[derive(Default)]
pub(super) struct SubsetCoverage {
    own_fraction: f64,
    total_fraction: f64,
    proxy_count: f64,
}

impl SubsetCoverage {
    /// The coverage of a backend that every proxy uses as a whole.
    fn by_all_proxies(count: f64) -> SubsetCoverage {
        SubsetCoverage { own_fraction: 1.0, total_fraction: count, proxy_count: count }
    }

    pub fn is_in_subset(&self) -> bool {
        self.own_fraction > 0.0
    }

    /// Fraction of the backend inside this proxy's subset, from 0 to 1.
    pub fn own_fraction(&self) -> f64 {
        self.own_fraction
    }

    /// Sum over all proxies of the fraction of the backend inside their subsets.
    pub fn total_fraction(&self) -> f64 {
        self.total_fraction
    }

    /// Number of proxies whose subsets contain a fraction of the backend.
    pub fn proxy_count(&self) -> f64 {
        self.proxy_count
    }
}

/// This proxy's subset of a kind.
#[derive(Default)]
pub(super) struct KindSubset {
    width: f64,
    share_multiplier: f64,
}

impl KindSubset {
    /// The subset that contains all backends of the kind.
    fn whole_kind() -> KindSubset {
        KindSubset { width: 1.0, share_multiplier: 1.0 }
    }

    /// Fraction of the kind's ring inside the subset, from 0 to 1.
    pub fn width(&self) -> f64 {
        self.width
    }

    /// The kind's total readiness divided by the readiness inside the subset. The traffic shares of the
    /// covered backends are multiplied by it, so that the kind keeps its share of this proxy's traffic.
    pub fn share_multiplier(&self) -> f64 {
        self.share_multiplier
    }

    pub fn is_whole_kind(&self) -> bool {
        self.width >= 1.0
    }
}

/// An arc of a ring of length 1.
#[derive(Clone, Copy)]
struct Arc {
    start: f64,
    end: f64,
}

impl Arc {
    /// Fraction of the arc inside a subset, which may extend past the end of the ring to its origin.
    fn fraction_inside(self, subset_start: f64, width: f64) -> f64 {
        let overlap = |start: f64| (self.end.min(start + width) - self.start.max(start)).max(0.0);
        let covered = overlap(subset_start) + overlap(subset_start - 1.0);
        (covered / (self.end - self.start).max(EPSILON)).min(1.0)
    }

    /// The coverage of the arc, counted over the subsets of all proxies.
    fn exact_coverage(self, own_fraction: f64, width: f64, proxy_count: u32) -> SubsetCoverage {
        let mut coverage = SubsetCoverage { own_fraction, total_fraction: 0.0, proxy_count: 0.0 };
        for proxy_index in 0..proxy_count {
            let fraction = self.fraction_inside(subset_start(proxy_index), width);
            if fraction > 0.0 {
                coverage.total_fraction += fraction;
                coverage.proxy_count += 1.0;
            }
        }
        coverage
    }
}

/// Where the subset of a proxy starts on every ring, from 0 to 1.
fn subset_start(proxy_index: u32) -> f64 {
    (f64::from(proxy_index) * GOLDEN_RATIO_FRACTION).fract()
}

/// A backend on its kind's ring. The length of its arc, before the ring is scaled to 1, is its warm fraction.
struct RingMember<'a> {
    length: f64,
    backend: &'a mut TrackedBackend,
}

/// The size of the subsets of one kind, equal for all proxies.
///
/// Up to 100 proxies, `proxies_per_backend` is 8. In a larger fleet it falls towards 5 if subsets would
/// otherwise have more than [`MAX_BACKENDS_PER_KIND`] backends. A subset is at least as wide as
/// [`MIN_BACKENDS_PER_KIND`] arcs of mean length, or contains the whole ring.
struct SubsetSize {
    proxies_per_backend: f64,
    /// Fraction of the ring in each subset.
    width: f64,
}

impl SubsetSize {
    fn of(proxy_count: f64, backend_count: f64) -> SubsetSize {
        let reduction = (MAX_UNREDUCED_PROXIES / proxy_count).min(1.0);
        let reducible = PROXIES_PER_BACKEND - MIN_PROXIES_PER_BACKEND;
        let min_proxies = MIN_PROXIES_PER_BACKEND + reducible * reduction;
        let wanted = MAX_BACKENDS_PER_KIND * proxy_count / backend_count.max(1.0);
        let proxies_per_backend = wanted.clamp(min_proxies, PROXIES_PER_BACKEND);
        let min_width = MIN_BACKENDS_PER_KIND / backend_count.max(1.0);
        let width = (proxies_per_backend / proxy_count).max(min_width).min(1.0);
        SubsetSize { proxies_per_backend, width }
    }

    /// Whether fewer than [`PROXIES_PER_BACKEND`] proxies use each backend on average. Their number then
    /// varies more between backends.
    fn is_reduced(&self) -> bool {
        self.proxies_per_backend < PROXIES_PER_BACKEND
    }
}

/// Computes this proxy's subset of every kind, and how the subsets of all proxies cover each backend.
pub(super) fn update_subsets(config: &Config, now: Time, fleet: &mut Fleet) {
    let mut rings: BTreeMap<KindId, Vec<RingMember>> = BTreeMap::new();
    for backend in fleet.backends.values_mut() {
        let length = arc_length(config, now, backend);
        rings.entry(backend.endpoint.kind).or_default().push(RingMember { length, backend });
    }
    for (kind, mut ring) in rings {
        let kind = fleet.kinds.entry(kind).or_default();
        kind.subset = update_subset(config, &mut ring, kind.total_readiness);
    }
}

fn arc_length(config: &Config, now: Time, backend: &TrackedBackend) -> f64 {
    if backend.is_listed_ready() {
        warm_fraction(config, now, &backend.endpoint, LIKELY_DURATION_FRACTION)
    } else {
        0.0
    }
}

fn update_subset(config: &Config, ring: &mut [RingMember], total_readiness: f64) -> KindSubset {
    let proxy_count = f64::from(config.proxy_count);
    let backend_count = ring.iter().filter(|member| member.length > 0.0).count() as f64;
    let size = SubsetSize::of(proxy_count, backend_count);
    let covered_readiness = update_coverage(config, ring, &size);
    if covered_readiness > 0.0 {
        let share_multiplier = total_readiness / covered_readiness.max(EPSILON);
        return KindSubset { width: size.width, share_multiplier };
    }
    // No backend in the subset is usable: fall back to all backends of the kind.
    for member in ring {
        member.backend.coverage = SubsetCoverage::by_all_proxies(proxy_count);
    }
    KindSubset::whole_kind()
}

/// Sets the coverage of every backend on the ring. Returns the readiness inside this proxy's subset: the sum
/// of each backend's readiness times the covered fraction.
fn update_coverage(config: &Config, ring: &mut [RingMember], size: &SubsetSize) -> f64 {
    let ring_length: f64 = ring.iter().map(|member| member.length).sum();
    let own_start = subset_start(config.proxy_index);
    let mean_proxies = size.width * f64::from(config.proxy_count);
    let mut start = 0.0;
    let mut covered_readiness = 0.0;
    for member in ring {
        let arc = Arc { start, end: start + member.length / ring_length.max(EPSILON) };
        let own_fraction = if size.width < 1.0 { arc.fraction_inside(own_start, size.width) } else { 1.0 };
        let mut coverage =
            SubsetCoverage { own_fraction, total_fraction: mean_proxies, proxy_count: mean_proxies };
        if size.is_reduced() && own_fraction > 0.0 && member.length < 1.0 {
            // The limit of a warming backend is divided among the proxies that use it. If more proxies use
            // it than the mean number, a division by the mean would let them exceed the limit.
            let exact = arc.exact_coverage(own_fraction, size.width, config.proxy_count);
            coverage.total_fraction = coverage.total_fraction.max(exact.total_fraction);
            coverage.proxy_count = coverage.proxy_count.max(exact.proxy_count);
        }
        member.backend.coverage = coverage;
        covered_readiness += member.backend.readiness * own_fraction;
        start = arc.end;
    }
    covered_readiness
}
