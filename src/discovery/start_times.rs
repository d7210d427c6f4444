//! When backends started, on the clock of this process.
//!
//! The list gives starts in wall clock time, which this machine may have wrong by any amount, so the wall
//! clock is not read here: the list alone bounds a start. No backend starts later than the list that names it
//! comes, and one that was not listed before has started no longer ago than the last list without it. A start
//! placed too late lets its backend warm up too late; one placed too early would skip its slow start.

use crate::wire::endpoint_list::Endpoint;
use crate::{BackendId, BackendState, Time};
use std::collections::{HashMap, HashSet};

/// A start by both clocks.
struct PlacedStart {
    /// As the list has it.
    listed: Time,
    /// On the clock of this process.
    local: Time,
}

/// Places the starts of backends on the clock of this process.
#[derive(Default)]
pub struct StartTimes {
    placed: HashMap<BackendId, PlacedStart>,
    /// The most that this clock may be ahead of the list's, in microseconds: no listed start lay ahead.
    max_offset: Option<i64>,
    /// When the last list came. `None`: nothing is known of backends before the first.
    last_list_at: Option<Time>,
}

impl StartTimes {
    /// Takes a list that came at `now`, a snapshot or changes (also none), and replaces the starts in it.
    pub fn place(&mut self, now: Time, is_snapshot: bool, endpoints: &mut [Endpoint]) {
        self.bound_offset(now, endpoints);
        if is_snapshot {
            self.forget_unlisted(endpoints);
        }
        for endpoint in endpoints.iter_mut() {
            let backend = &mut endpoint.backend;
            if backend.state == BackendState::Removed {
                self.placed.remove(&backend.id);
            } else if let Some(listed) = backend.started_at {
                backend.started_at = Some(self.local_start(now, backend.id, listed));
            }
        }
        let nothing_known = self.last_list_at.is_none() && endpoints.is_empty();
        if !nothing_known {
            self.last_list_at = Some(now);
        }
    }

    fn bound_offset(&mut self, now: Time, endpoints: &[Endpoint]) {
        for listed in endpoints.iter().filter_map(|endpoint| endpoint.backend.started_at) {
            let offset = now.0 as i64 - listed.0 as i64;
            self.max_offset = Some(self.max_offset.map_or(offset, |least| least.min(offset)));
        }
    }

    fn forget_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: HashSet<BackendId> = endpoints.iter().map(|endpoint| endpoint.backend.id).collect();
        self.placed.retain(|id, _| listed.contains(id));
    }

    fn local_start(&mut self, now: Time, id: BackendId, listed: Time) -> Time {
        if let Some(placed) = self.placed.get(&id).filter(|placed| placed.listed == listed) {
            return placed.local;
        }
        let latest = Time(listed.0.saturating_add_signed(self.max_offset.unwrap_or(0)));
        let earliest = self.last_list_at.unwrap_or(Time(0)).min(now);
        let local = latest.clamp(earliest, now);
        self.placed.insert(id, PlacedStart { listed, local });
        local
    }
}
