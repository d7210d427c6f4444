//! Turns among the proxies of a fleet, which share nothing: each knows its place in them by its index alone.

use crate::config::Config;
use crate::units::{BackendId, Micros, Time};

/// Places in an order of all proxies that moves on by one each term.
pub(super) struct Rotation {
    proxy_count: u64,
    proxy_index: u64,
    term: Micros,
}

impl Rotation {
    pub fn new(config: &Config, term: Micros) -> Rotation {
        let (proxy_count, proxy_index) = (u64::from(config.proxy_count), u64::from(config.proxy_index));
        Rotation { proxy_count, proxy_index, term }
    }

    /// This proxy's place for a backend, from 0 to 1, evenly spaced over the proxies.
    pub fn position(&self, backend: BackendId, now: Time) -> f64 {
        let terms_passed = now.0 / self.term.0.max(1);
        let place = backend.0.wrapping_add(self.proxy_index).wrapping_add(terms_passed) % self.proxy_count;
        (place as f64 + 0.5) / self.proxy_count as f64
    }
}
