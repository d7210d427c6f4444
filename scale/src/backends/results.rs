//! Figures and checks from the backends' counters, shared by points with real and with simulated proxies.

use super::BackendCounters;
use crate::point_result::{Check, Figure};

impl BackendCounters {
    /// Returns the figures on draining backends and on backends in slow start.
    pub fn figures(&self) -> [Figure; 3] {
        [
            Figure::count("sent_to_draining", self.rejected),
            Figure::count("sent_to_draining_late", self.late_requests),
            Figure::new("cold_sum_of_limit", Some(self.slow_start_peak_ratio)),
        ]
    }

    /// Checks that no request reached a draining backend after the time limit plus the drain slack.
    pub fn drain_check(&self) -> Check {
        Check {
            name: "no request reaches a draining backend after the time limit plus the slack",
            passed: self.late_requests == 0,
            observed: format!(
                "{} late of {} requests to draining backends",
                self.late_requests, self.rejected
            ),
        }
    }
}
