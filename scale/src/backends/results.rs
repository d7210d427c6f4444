//! What the backends' counters contribute to the result of a point, whatever its proxies are.

use super::BackendCounters;
use crate::point_result::{Check, Figure};

impl BackendCounters {
    /// Requests to draining backends, and the sum of all proxies at warming ones.
    pub fn figures(&self) -> [Figure; 3] {
        [
            Figure::count("sent_to_draining", self.rejected),
            Figure::count("sent_to_draining_late", self.late),
            Figure::new("cold_sum_of_limit", Some(self.warming_peak_of_limit)),
        ]
    }

    /// No request reaches a draining backend later than allowed.
    pub fn drain_check(&self) -> Check {
        Check {
            name: "nothing reaches a draining backend past the limit and the slack",
            holds: self.late == 0,
            seen: format!("{} late of {} while draining", self.late, self.rejected),
        }
    }
}
