//! Which backends a proxy sends to: in a small fleet all, the near ones first; in a large one those in a
//! window on each kind. Driven by `src/logic.rs`, through `src/interface.rs` like all decisions.

use crate::interface::*;
use crate::logic::HOLD;
use crate::ramp::LIKELY_RAMP;
use crate::state::*;
use std::collections::BTreeMap;

/// Proxies that use one backend. Each keeps a connection there, and a backend keeps only so many; how many is
/// told nowhere. Twice the hold: what it may have in hand finds a connection that stands, and windows that
/// have moved on leave some behind for a while.
const REACH: f64 = 2.0 * HOLD;
/// In a fleet of very many at least so many use one, whatever a window would need: fewer load the backends
/// unevenly.
const LEAST_REACH: f64 = 5.0;
/// Up to so many proxies windows are as wide as the reach: few share the limit of a cold backend in coarse
/// parts.
const FEW: f64 = 100.0;
/// Backends of a kind in a window at most, so far as that many proxies still use each: each costs a
/// connection, and another one when it is replaced or the window moves.
const MOST: f64 = 10.0;
/// Backends of a kind in a window at least: one may be ill and another busy.
const LEAST: f64 = 3.0;
/// Its multiples lie evenly on a ring, whichever run of the proxies is alive.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// The part of the arc between two points of the ring, of length 1, that lies in the window.
fn overlap(arc: (f64, f64), start: f64, width: f64) -> f64 {
    let shared = |start: f64| (arc.1.min(start + width) - arc.0.max(start)).max(0.0);
    ((shared(start) + shared(start - 1.0)) / (arc.1 - arc.0).max(1e-12)).min(1.0)
}

/// What all windows together have of an arc: the sum of its parts that lie in them, and in how many some part
/// does.
fn coverage(arc: (f64, f64), width: f64, proxies: u32) -> (f64, f64) {
    let starts = (0..proxies).map(window_start);
    let parts = starts.map(|start| overlap(arc, start, width)).filter(|part| *part > 0.0);
    parts.fold((0.0, 0.0), |all, part| (all.0 + part, all.1 + 1.0))
}

/// Where the window of the proxy at that position begins.
fn window_start(position: u32) -> f64 {
    (f64::from(position) * GOLDEN).fract()
}

impl Balancer {
    /// Lays every kind's backends on a ring, each on an arc as long as it is warm, and finds what this
    /// proxy's window covers. Only what all proxies are told alike counts: so their windows fit together.
    pub(crate) fn place_window(&mut self, now: Time) {
        let (cfg, proxies) = (&self.cfg, f64::from(self.cfg.proxies));
        let arc = |p: &Peer| match p.entry.state {
            BackendState::Ready => warmth(cfg, now, &p.entry, LIKELY_RAMP),
            _ => 0.0,
        };
        let mut rings: BTreeMap<KindId, Vec<(f64, &mut Peer)>> = BTreeMap::new();
        for p in self.peers.values_mut() {
            rings.entry(p.entry.kind).or_default().push((arc(p), p));
        }
        let start = window_start(cfg.position);
        for (kind, mut ring) in rings {
            let count = ring.iter().filter(|(arc, _)| *arc > 0.0).count() as f64;
            let length: f64 = ring.iter().map(|(arc, _)| arc).sum();
            let least = LEAST_REACH + (REACH - LEAST_REACH) * (FEW / proxies).min(1.0);
            let reach = (MOST * proxies / count.max(1.0)).clamp(least, REACH);
            let width = (reach / proxies).max(LEAST / count.max(1.0)).min(1.0);
            let (mut at, mut covered) = (0.0, 0.0);
            for (arc, p) in &mut ring {
                let end = at + *arc / length.max(1e-12);
                p.slice = if width < 1.0 { overlap((at, end), start, width) } else { 1.0 };
                (p.covered, p.users) = (width * proxies, width * proxies);
                if reach < REACH && p.slice > 0.0 && *arc < 1.0 {
                    // Few windows lie evenly only on the whole, and the sum holds a cold one to its limit.
                    let (covered, users) = coverage((at, end), width, cfg.proxies);
                    (p.covered, p.users) = (p.covered.max(covered), p.users.max(users));
                }
                (at, covered) = (end, covered + p.ready * p.slice);
            }
            let k = self.kinds.entry(kind).or_default();
            (k.width, k.gain) = (width, k.ready / covered.max(1e-12));
            if covered <= 0.0 {
                // All in the window are out of use: better any other of the kind than none.
                (k.width, k.gain) = (1.0, 1.0);
                ring.iter_mut().for_each(|(_, p)| (p.slice, p.covered, p.users) = (1.0, proxies, proxies));
            }
        }
    }

    /// The part of this proxy's traffic that goes to a backend where all proxies give every backend its due.
    pub(crate) fn due(&self, p: &Peer) -> f64 {
        self.kinds.get(&p.entry.kind).map_or(0.0, |k| k.share * p.ready / k.ready.max(1e-9))
    }

    /// How much more of its due a zone gets from this proxy. Where crossing zones costs traffic stays near so
    /// far as all proxies together still give every backend the same part: a zone whose backends are due less
    /// than its proxies bring sends its surplus to the zones due more. A window has too few of its zone.
    /// Zones that are not named get just their due.
    pub(crate) fn biases(&self) -> BTreeMap<ZoneId, f64> {
        let mut due: BTreeMap<ZoneId, f64> = BTreeMap::new();
        if self.cfg.cross_zone_cost <= 0.0 || self.kinds.values().any(|k| k.width < 1.0) {
            return due;
        }
        let ready = self.peers.values().filter(|p| p.ready > 0.0);
        ready.for_each(|p| *due.entry(p.entry.zone).or_default() += self.due(p));
        let zones = due.len() as f64;
        let rich: f64 = due.values().map(|d| (d * zones - 1.0).max(0.0)).sum();
        let own = due.get(&self.cfg.zone).copied().unwrap_or(0.0);
        let bias = |(zone, here): (ZoneId, f64)| {
            let here = here.max(1e-9);
            let far = (1.0 - own * zones).max(0.0) * (here * zones - 1.0).max(0.0) / rich.max(1e-9);
            let near = if zone == self.cfg.zone { (own * zones).min(1.0) } else { far };
            (zone, near / here)
        };
        due.into_iter().map(bias).collect()
    }
}
