//! Turns among the proxies of a fleet, which share nothing: each knows its place in the order by its index
//! alone.
//!
//! The order moves on by one place each period of the host's clock. Where the hosts' clocks have one origin
//! (Unix time in the proxy), the places of all proxies differ at every moment; else each has every place as
//! often.

use crate::config::Config;
use crate::units::{BackendId, Micros, Time};

/// Places in an order of all proxies that moves on by one each period.
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

    /// This proxy's place for a backend, from 0 to 1, evenly spaced over the proxies; another order for each
    /// backend.
    pub fn position(&self, backend: BackendId, now: Time) -> f64 {
        let periods_passed = now.0 / self.period.0.max(1);
        let place = backend.0.wrapping_add(self.proxy_index).wrapping_add(periods_passed) % self.proxy_count;
        (place as f64 + 0.5) / self.proxy_count as f64
    }
}
