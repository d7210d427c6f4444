//! A rotation of slots among the proxies of a fleet, without communication: a proxy computes its slot from
//! its index and the time.
//!
//! Each proxy advances by one slot per period of its host's clock. If the clocks share one origin (Unix time
//! in the proxy), no two proxies have the same slot for a backend at any time. Otherwise each proxy still has
//! every slot equally often.

use crate::config::Config;
use crate::units::{BackendId, Micros, Time};

/// A rotation that advances by one slot per period.
pub(super) struct Rotation {
    proxy_count: u64,
    proxy_index: u64,
    period: Micros,
}

impl Rotation {
    pub fn new(config: &Config, period: Micros) -> Rotation {
        Rotation {
            proxy_count: u64::from(config.proxy_count),
            proxy_index: u64::from(config.proxy_index),
            period,
        }
    }

    /// This proxy's slot for a backend at `now`, strictly between 0 and 1. The slots of the proxies are
    /// evenly spaced, and shifted by the backend's id.
    pub fn slot(&self, backend: BackendId, now: Time) -> f64 {
        let periods_passed = now.0 / self.period.0.max(1);
        let slot = backend.0.wrapping_add(self.proxy_index).wrapping_add(periods_passed) % self.proxy_count;
        (slot as f64 + 0.5) / self.proxy_count as f64
    }
}
