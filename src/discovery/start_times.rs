//! Converts start times of backends to the clock of this process.
//!
//! The endpoint list gives start times in wall clock time. The wall clock of this machine may be off by any
//! amount, so it is not read here; start times are estimated from the arrival times of lists. A start lies
//! between the arrivals of the last list without it and of the first list with it. The estimate is the
//! listed time plus the upper bound of the difference between the clocks, limited to that interval. An
//! estimate that is too late delays the end of the backend's slow start; one that is too early cuts its slow
//! start short.

use crate::wire::endpoint_list::Endpoint;
use crate::{BackendId, BackendState, Time};
use std::collections::{HashMap, HashSet};

/// The start time of a backend on both clocks.
struct StartTime {
    /// On the clock of the endpoint list.
    listed: Time,
    /// On the clock of this process.
    local: Time,
}

/// Start times of the listed backends, converted to the clock of this process.
#[derive(Default)]
pub struct StartTimes {
    known: HashMap<BackendId, StartTime>,
    /// Upper bound of local clock minus list clock, in microseconds: the least difference between the arrival
    /// of a list and a start time in it. `None` until a list contains a start time.
    max_offset: Option<i64>,
    /// When the last list arrived. `None` until a list contains an endpoint: start times then have no lower
    /// bound.
    last_list_at: Option<Time>,
}

impl StartTimes {
    /// Converts the start times in a list that arrived at `now`, in place. The list is a snapshot or a delta,
    /// which may be empty.
    pub fn convert_to_local(&mut self, now: Time, is_snapshot: bool, endpoints: &mut [Endpoint]) {
        self.bound_offset(now, endpoints);
        if is_snapshot {
            self.remove_unlisted(endpoints);
        }
        for endpoint in endpoints.iter_mut() {
            let backend = &mut endpoint.backend;
            if backend.state == BackendState::Removed {
                self.known.remove(&backend.id);
            } else if let Some(listed) = backend.started_at {
                backend.started_at = Some(self.local_start(now, backend.id, listed));
            }
        }
        let no_endpoint_yet = self.last_list_at.is_none() && endpoints.is_empty();
        if !no_endpoint_yet {
            self.last_list_at = Some(now);
        }
    }

    fn bound_offset(&mut self, now: Time, endpoints: &[Endpoint]) {
        for listed in endpoints.iter().filter_map(|endpoint| endpoint.backend.started_at) {
            let offset = now.0 as i64 - listed.0 as i64;
            self.max_offset = Some(self.max_offset.map_or(offset, |max_offset| max_offset.min(offset)));
        }
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: HashSet<BackendId> = endpoints.iter().map(|endpoint| endpoint.backend.id).collect();
        self.known.retain(|id, _| listed.contains(id));
    }

    fn local_start(&mut self, now: Time, id: BackendId, listed: Time) -> Time {
        if let Some(start) = self.known.get(&id).filter(|start| start.listed == listed) {
            return start.local;
        }
        let latest = Time(listed.0.saturating_add_signed(self.max_offset.unwrap_or(0)));
        let earliest = self.last_list_at.unwrap_or(Time(0)).min(now);
        let local = latest.clamp(earliest, now);
        self.known.insert(id, StartTime { listed, local });
        local
    }
}
