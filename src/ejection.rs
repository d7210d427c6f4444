//! Which backends are ill, by what comes back from them: error shares, ejection, silence. Driven by
//! `src/logic.rs`, through `src/interface.rs` like all decisions.

use crate::interface::*;
use crate::state::*;

/// Good answers owed after an ejection for errors: as a rule two errors come sooner where a fourth are.
const AMENDS: u32 = 10;
/// Least error share from which a backend is ejected: two errors close together reach it.
const ERROR_LIMIT: f64 = 0.3;
/// Spreads of such a share above that of the others from which it is not chance: over few answers its tail is
/// long.
const ERROR_SPREADS: f64 = 5.0;
/// Weight of the newest outcome in a backend's error share.
const ERROR_STEP: f64 = 0.2;
/// An unanswered attempt this many times older than usual, with no later answer, marks silence.
const SILENT_AFTER: f64 = 6.0;
/// First term of an ejection, s; it doubles with each strike that still stands.
const EJECT_TERM: f64 = 1.0;
/// Strikes that count at most: a backend that is well again is back within some seconds.
const STRIKES: i32 = 3;
/// Ejected backends beyond half of the fleet are used after all: then it is not they who are ill. Not those
/// to which no connection came up, so long as there are others.
const PANIC: f64 = 0.5;

impl Balancer {
    /// What an outcome says of the backend, its kind and its class.
    pub(crate) fn learn(&mut self, now: Time, attempt: &Attempt, end: &AttemptEnd) {
        let id = attempt.to;
        let Some(p) = self.peers.get_mut(&id) else { return };
        p.out = p.out.saturating_sub(1);
        p.unreachable = match end.outcome {
            Outcome::ConnectFailed => true,
            Outcome::Ok | Outcome::Error | Outcome::Full => false,
            _ => p.unreachable,
        };
        match end.outcome {
            Outcome::Ok => {
                p.served(now, end.latency);
                p.errors *= 1.0 - ERROR_STEP;
                p.forgive();
                let kind = p.entry.kind;
                self.served(kind, attempt.class, end.latency);
            }
            Outcome::Cancelled | Outcome::NeverSent | Outcome::Full => {}
            // A heavy request alone is no illness: other answers came back meanwhile.
            Outcome::TimedOut if p.answered >= attempt.at => {}
            // One connection that breaks is no dead process: that breaks them all, and refuses the next.
            // Nor is one refused: a full table refuses too. After an ejection the first refused is enough.
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                p.answered = if end.outcome == Outcome::Error { now } else { p.answered };
                p.errors += (1.0 - p.errors) * ERROR_STEP;
                let (errors, again) = (p.errors, p.strikes > 0);
                let limit = if p.unreachable { ERROR_LIMIT } else { self.error_limit(id) };
                if errors > limit || (again && end.outcome == Outcome::ConnectFailed) {
                    self.eject(now, id, end.outcome);
                }
            }
            _ => self.eject(now, id, end.outcome),
        }
    }

    /// The error share that tells an ill backend from the others: where all err, for a way that garbles or a
    /// request that none can answer, to eject those that erred last only crowds the rest.
    fn error_limit(&self, id: BackendId) -> f64 {
        let alive = |p: &Peer| p.ejected.is_none() && !p.unreachable && p.slice > 0.0;
        let others = self.peers.iter().filter(|(b, p)| **b != id && alive(p));
        let (sum, count) = others.fold((0.0, 0.0), |n, (_, p)| (n.0 + p.errors, n.1 + 1.0));
        let mean = sum / f64::max(count, 1.0);
        let spread = (mean * (1.0 - mean) * ERROR_STEP / (2.0 - ERROR_STEP)).sqrt();
        (mean + ERROR_SPREADS * spread).max(ERROR_LIMIT)
    }

    fn eject(&mut self, now: Time, id: BackendId, why: Outcome) {
        let term = EJECT_TERM * (0.75 + 0.5 * self.dice.unit());
        let Some(p) = self.peers.get_mut(&id) else { return };
        if p.ejected.is_none_or(|until| now >= until) {
            p.ejected = Some(now + Micros::from_secs(term * f64::from(p.strikes.min(STRIKES)).exp2()));
            (p.strikes, p.ready) = (p.strikes + 1, 0.0);
            p.owes = if why == Outcome::Error { AMENDS } else { 1 };
            self.wake_by(now + self.cfg.tick);
            self.log(now, format!("backend {} ejected: {why:?}", id.0));
        }
    }

    /// Marks the backends that owe an answer for suspiciously long.
    pub(crate) fn suspect(&mut self, now: Time) {
        for id in std::mem::take(&mut self.silent) {
            self.peers.get_mut(&id).into_iter().for_each(|p| p.silent = false);
        }
        let mut attempts = std::mem::take(&mut self.attempts);
        for a in attempts.values_mut() {
            // Late is known once the time is up: an overloaded backend answers only much later.
            let limit = a.at + self.brisk(a);
            if !a.late && now >= limit {
                a.late = true;
                self.gauge(false);
            }
            let usual = self.usual(a.class, a.aim);
            let from = a.at + usual.times(SILENT_AFTER);
            let next = if now < from { from } else { now + usual };
            self.wake_by(if a.late { next } else { next.min(limit) });
            let peer = self.peers.get_mut(&a.to).filter(|p| now >= from && p.answered <= a.at);
            if let Some(p) = peer {
                p.silent = true;
                self.silent.push(a.to);
            }
        }
        self.attempts = attempts;
    }

    /// Each backend's readiness so far as what came back tells it; ejections end here whose term is over.
    pub(crate) fn judge(&mut self, now: Time) {
        let listed = self.peers.values().filter(|p| p.entry.state == BackendState::Ready);
        let count = |n: (f64, f64, f64), p: &Peer| {
            let ejected = f64::from(p.ejected.is_some());
            (n.0 + 1.0, n.1 + ejected, n.2 + ejected * f64::from(p.unreachable))
        };
        let (all, ejected, unreachable) = listed.fold((0.0, 0.0, 0.0), count);
        for p in self.peers.values_mut() {
            if p.ejected.is_some_and(|until| now >= until) {
                // It comes back as it is: the next failure ejects it for longer.
                (p.ejected, p.errors) = (None, 0.0);
            }
            p.ready = match p.ejected {
                _ if p.entry.state != BackendState::Ready => 0.0,
                Some(_) => f64::from(ejected > all * PANIC && (!p.unreachable || unreachable == all)),
                None => 1.0 - p.errors,
            };
        }
    }
}
