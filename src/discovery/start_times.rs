//! When backends started, on the clock of this process.
//!
//! The list tells it in the wall clock's time, which the machine of this process may have wrong by any amount. It is not
//! compared with the wall clock here: the list alone bounds it. No backend starts later than the list that names it
//! comes, and one that comes as news has started no longer ago than the last list without it. A start that is placed
//! too late only lets its backend warm up too late; one that is placed too early would skip its slow start.

use crate::wire::endpoint_list::Endpoint;
use crate::{BackendId, BackendState, Time};
use std::collections::{HashMap, HashSet};

/// A start as the list told it, and where it was placed.
struct Placed {
    told: Time,
    at: Time,
}

/// Places the starts of backends on the clock of this process.
#[derive(Default)]
pub struct StartTimes {
    placed: HashMap<BackendId, Placed>,
    /// This clock less the list's, in microseconds, is no more than this: no start that was told lay ahead.
    offset: Option<i64>,
    /// When the last list came. `None`: nothing is known of backends before the first.
    heard: Option<Time>,
}

impl StartTimes {
    /// Takes news of the list that came at `now`, a whole list or changes (also none), and replaces the starts in it.
    pub fn place(&mut self, now: Time, whole: bool, targets: &mut [Endpoint]) {
        for told in targets.iter().filter_map(|t| t.backend.started_at) {
            let ahead = now.0 as i64 - told.0 as i64;
            self.offset = Some(self.offset.map_or(ahead, |least| least.min(ahead)));
        }
        if whole {
            let named: HashSet<BackendId> = targets.iter().map(|t| t.backend.id).collect();
            self.placed.retain(|id, _| named.contains(id));
        }
        for target in targets.iter_mut() {
            let backend = &mut target.backend;
            match backend.started_at {
                _ if backend.state == BackendState::Removed => {
                    self.placed.remove(&backend.id);
                }
                Some(told) => backend.started_at = Some(self.start_of(now, backend.id, told)),
                None => {}
            }
        }
        let nothing_known = self.heard.is_none() && targets.is_empty();
        if !nothing_known {
            self.heard = Some(now);
        }
    }

    fn start_of(&mut self, now: Time, id: BackendId, told: Time) -> Time {
        if let Some(placed) = self.placed.get(&id).filter(|placed| placed.told == told) {
            return placed.at;
        }
        let latest = Time(told.0.saturating_add_signed(self.offset.unwrap_or(0)));
        let earliest = self.heard.unwrap_or(Time(0)).min(now);
        let at = latest.clamp(earliest, now);
        self.placed.insert(id, Placed { told, at });
        at
    }
}
