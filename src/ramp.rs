//! What a backend that has just started is sent, so that the sum of all proxies keeps the rule. Driven by
//! `src/logic.rs`, through `src/interface.rs` like all decisions.
//!
//! No proxy knows what the others send. Each bounds its draw, so that the sum is some spreads below the limit
//! on average, and counts what it sends against its own part of the limit: the parts add up to less than all
//! of it, however uneven the arrivals are.

use crate::interface::*;
use crate::state::*;

/// Part of the longest ramp that a backend likely needs to warm: that one is the bound over all kinds.
pub(crate) const LIKELY_RAMP: f64 = 0.7;
/// Part of a kind's backends that has to be warm and well for what they carry to count.
pub(crate) const WARM_PART: f64 = 0.8;
/// What the rule takes for chance beyond N requests of mean work: so many roots of N, and so many requests.
const CHANCE_ROOTS: f64 = 2.0;
const CHANCE_LEAST: f64 = 2.0;
/// Spreads of a random count that the whole traffic to a cold backend stays under the limit.
const SPREADS: f64 = 3.0;
/// Part of the limit that the proxies share out: the rest is for heavy work, and for their unequal windows.
const MARGIN: f64 = 0.8;

impl Balancer {
    /// Work that all proxies may send to a cold backend in a fall window, what is chance included; infinite
    /// once it is warm.
    fn fall_limit(&self, now: Time, p: &Peer) -> f64 {
        let warmth = warmth(&self.cfg, now, &p.entry, 1.0);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let fair = self.rate.per_s().unwrap_or(1.0) * f64::from(self.cfg.proxies) / self.peers.len() as f64;
        // What the others of its kind carried tells what it can do; it can do no less than one request at a
        // time. The flow of the moment tells nothing where few are ready: it is the one to be bounded.
        let known = |k: &Kind| k.quickest.map(|t| k.carried.max(1.0 / t));
        let speed = self.kinds.get(&p.entry.kind).and_then(known).unwrap_or(fair);
        let n = self.cfg.fall_multiple * warmth * speed * self.cfg.fall_window.secs();
        n + CHANCE_ROOTS * n.sqrt() + CHANCE_LEAST
    }

    /// The greatest part of the traffic that leaves chance no room to push the backend over: the limit is
    /// some spreads of a random count above the mean.
    pub(crate) fn fall_part(&self, now: Time, p: &Peer) -> f64 {
        let root = ((SPREADS * SPREADS + 4.0 * self.fall_limit(now, p)).sqrt() - SPREADS) / 2.0;
        let rate = self.rate.per_s().unwrap_or(0.0) * f64::from(self.cfg.proxies);
        root * root / (rate * self.cfg.fall_window.secs()).max(1e-9)
    }

    /// Whether this proxy's part of the limit, that of one of those whose windows cover the backend, has room
    /// for a request of that much work in the present fall window.
    pub(crate) fn ramp_allows(&self, now: Time, p: &Peer, work: f64) -> bool {
        let limit = self.fall_limit(now, p);
        if limit == f64::INFINITY {
            return true;
        }
        let part = limit * MARGIN / p.users.max(1.0) / work;
        if part < 1.0 {
            // Even one request each were too many: one each in several windows, the first ones in turn.
            let apart = self.cfg.fall_window.times(1.0 / part);
            let first = apart.times(self.turn(p.entry.id, Time(0), apart));
            let rested = p.spent.last().is_none_or(|last| now - last.0 >= apart);
            return rested && p.entry.booted.is_none_or(|boot| now >= boot + first);
        }
        // What is left of a whole request goes round by turns of one window. Any window touches two of them,
        // so that half as many have theirs.
        let turn = f64::from(self.turn(p.entry.id, now, self.cfg.fall_window) < part.fract() / 2.0);
        let spent: f64 = p.spent.iter().filter(|s| now - s.0 < self.cfg.fall_window).map(|s| s.1).sum();
        spent / work + 1.0 <= part.floor() + turn
    }

    /// From 0 to 1, evenly apart over the proxies, by position and the backend's mark; each term has its own.
    pub(crate) fn turn(&self, backend: BackendId, now: Time, term: Micros) -> f64 {
        let proxies = u64::from(self.cfg.proxies);
        let epoch = now.0 / term.0.max(1);
        let turn = backend.0.wrapping_add(u64::from(self.cfg.position)).wrapping_add(epoch);
        ((turn % proxies) as f64 + 0.5) / proxies as f64
    }
}
