//! What the backends' counters contribute to the result of a point, whatever its proxies are.

use super::BackendCounters;
use crate::point_result::{Check, Figure};

impl BackendCounters {
    /// Requests to draining backends, and the sum of all proxies at warming ones.
    pub fn figures(&self) -> [Figure; 3] {
        [
            Figure::count("sent_to_draining", self.rejected),
            Figure::count("sent_to_draining_late", self.late_requests),
            Figure::new("cold_sum_of_limit", Some(self.slow_start_peak_ratio)),
        ]
    }

    /// No request reaches a draining backend later than allowed.
    pub fn drain_check(&self) -> Check {
        Check {
            name: "nothing reaches a draining backend past the limit and the slack",
            passed: self.late_requests == 0,
            observed: format!("{} late of {} while draining", self.late_requests, self.rejected),
        }
    }
}
