//! The deterministic subset: which backends does a proxy use, when a connection from every proxy would fill
//! the tables of the backends? Each kind's backends lie on a ring, and each proxy uses those in its own
//! window of it. Windows depend only on what all proxies are notified of alike, so they fit together without
//! a word between proxies.

use super::concurrency_limit::IN_FLIGHT_PER_BACKEND;
use super::fleet::{Fleet, TrackedBackend};
use super::slow_start::{warm_fraction, LIKELY_DURATION_FRACTION};
use crate::config::Config;
use crate::units::{KindId, Time};
use std::collections::BTreeMap;

/// Proxies that use one backend, each with a connection there: twice what may be in flight at it, which finds
/// a connection that stands, and windows that have moved on leave some behind for a while.
const PROXIES_PER_BACKEND: f64 = 2.0 * IN_FLIGHT_PER_BACKEND;
/// Least number of proxies that use one backend in a very large fleet: fewer load the backends unevenly.
const LEAST_PROXIES_PER_BACKEND: f64 = 5.0;
/// Up to this many proxies windows have their full width: few share the limit of a warming backend in coarse
/// parts.
const FULL_WIDTH_PROXIES: f64 = 100.0;
/// Backends of a kind in a window at most, as long as enough proxies use each: a connection each, and another
/// one when it is replaced or the window moves.
const MAX_BACKENDS_PER_KIND: f64 = 10.0;
/// Backends of a kind in a window at least: one may be an outlier and another busy.
const MIN_BACKENDS_PER_KIND: f64 = 3.0;
/// Multiples of the golden ratio lie evenly on a ring, whichever run of the proxies is alive.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Guards a division by the length of a ring or an arc.
const LEAST_LENGTH: f64 = 1e-12;

/// How the windows of all proxies cover a backend.
#[derive(Default)]
pub(super) struct SubsetCoverage {
    /// Part of it inside this proxy's window.
    own: f64,
    /// Sum of its parts inside the windows of all proxies.
    total: f64,
    /// How many windows contain some part of it.
    users: f64,
}

impl SubsetCoverage {
    pub fn is_in_subset(&self) -> bool {
        self.own > 0.0
    }

    /// Part of the backend that this proxy's window covers.
    pub fn own(&self) -> f64 {
        self.own
    }

    /// Windows on the backend, by the sum of their parts.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Proxies that use the backend.
    pub fn users(&self) -> f64 {
        self.users
    }
}

/// This proxy's window on a kind.
#[derive(Default)]
pub(super) struct KindSubset {
    /// Part of the ring that it covers.
    width: f64,
    /// How much more than its equal part a covered backend receives from this proxy.
    gain: f64,
}

impl KindSubset {
    pub fn width(&self) -> f64 {
        self.width
    }

    pub fn gain(&self) -> f64 {
        self.gain
    }

    /// The window covers the whole ring.
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
    /// The part of it inside a window, which may cross the ring's origin.
    fn part_inside(self, window_start: f64, width: f64) -> f64 {
        let shared = |start: f64| (self.end.min(start + width) - self.start.max(start)).max(0.0);
        let covered = shared(window_start) + shared(window_start - 1.0);
        (covered / (self.end - self.start).max(LEAST_LENGTH)).min(1.0)
    }

    /// The sum of its parts inside the windows of all proxies, and how many windows contain some of it.
    fn coverage(self, width: f64, proxy_count: u32) -> (f64, f64) {
        let (mut total, mut users) = (0.0, 0.0);
        for proxy_index in 0..proxy_count {
            let part = self.part_inside(window_start(proxy_index), width);
            if part > 0.0 {
                total += part;
                users += 1.0;
            }
        }
        (total, users)
    }
}

fn window_start(proxy_index: u32) -> f64 {
    (f64::from(proxy_index) * GOLDEN_RATIO_FRACTION).fract()
}

/// A backend on its kind's ring; its arc is as long as the backend is warm.
struct RingMember<'a> {
    length: f64,
    backend: &'a mut TrackedBackend,
}

/// The width of all windows on one kind.
struct WindowSize {
    /// Proxies that use one backend.
    proxies_per_backend: f64,
    /// Part of the ring.
    width: f64,
}

impl WindowSize {
    fn of(proxy_count: f64, backend_count: f64) -> WindowSize {
        let shrink = (FULL_WIDTH_PROXIES / proxy_count).min(1.0);
        let least = LEAST_PROXIES_PER_BACKEND + (PROXIES_PER_BACKEND - LEAST_PROXIES_PER_BACKEND) * shrink;
        let wanted = MAX_BACKENDS_PER_KIND * proxy_count / backend_count.max(1.0);
        let proxies_per_backend = wanted.clamp(least, PROXIES_PER_BACKEND);
        let least_width = MIN_BACKENDS_PER_KIND / backend_count.max(1.0);
        let width = (proxies_per_backend / proxy_count).max(least_width).min(1.0);
        WindowSize { proxies_per_backend, width }
    }

    /// Few windows lie evenly only on the whole ring, not on each arc.
    fn is_narrowed(&self) -> bool {
        self.proxies_per_backend < PROXIES_PER_BACKEND
    }
}

/// Places this proxy's window on every kind and notes which backends it covers.
pub(super) fn place_windows(config: &Config, now: Time, fleet: &mut Fleet) {
    let mut rings: BTreeMap<KindId, Vec<RingMember>> = BTreeMap::new();
    for backend in fleet.backends.values_mut() {
        let length = arc_length(config, now, backend);
        rings.entry(backend.record.kind).or_default().push(RingMember { length, backend });
    }
    for (kind, mut ring) in rings {
        let kind = fleet.kinds.entry(kind).or_default();
        kind.subset = place_window(config, &mut ring, kind.readiness);
    }
}

fn arc_length(config: &Config, now: Time, backend: &TrackedBackend) -> f64 {
    if backend.is_listed_ready() {
        warm_fraction(config, now, &backend.record, LIKELY_DURATION_FRACTION)
    } else {
        0.0
    }
}

fn place_window(config: &Config, ring: &mut [RingMember], kind_readiness: f64) -> KindSubset {
    let proxy_count = f64::from(config.proxy_count);
    let backend_count = ring.iter().filter(|member| member.length > 0.0).count() as f64;
    let ring_length: f64 = ring.iter().map(|member| member.length).sum();
    let size = WindowSize::of(proxy_count, backend_count);
    let own_start = window_start(config.proxy_index);
    let (mut start, mut covered_readiness) = (0.0, 0.0);
    for member in &mut *ring {
        let arc = Arc { start, end: start + member.length / ring_length.max(LEAST_LENGTH) };
        let own = if size.width < 1.0 { arc.part_inside(own_start, size.width) } else { 1.0 };
        let mean = size.width * proxy_count;
        let mut coverage = SubsetCoverage { own, total: mean, users: mean };
        if size.is_narrowed() && own > 0.0 && member.length < 1.0 {
            // The sum of all windows on a warming backend holds it to its limit.
            let (total, users) = arc.coverage(size.width, config.proxy_count);
            coverage.total = coverage.total.max(total);
            coverage.users = coverage.users.max(users);
        }
        member.backend.coverage = coverage;
        start = arc.end;
        covered_readiness += member.backend.readiness * own;
    }
    if covered_readiness > 0.0 {
        return KindSubset { width: size.width, gain: kind_readiness / covered_readiness.max(LEAST_LENGTH) };
    }
    // Nothing in the window can be used: any other backend of the kind is better than none.
    for member in ring {
        member.backend.coverage = SubsetCoverage { own: 1.0, total: proxy_count, users: proxy_count };
    }
    KindSubset { width: 1.0, gain: 1.0 }
}
