//! Reproducible random draws.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Seeds of the proxies of two successive seeds of a point lie this far apart.
const PROXY_SEED_STRIDE: u64 = 1_000_003;

/// The seed of one proxy of a point.
pub fn proxy_seed(point_seed: u64, proxy_index: u32) -> u64 {
    point_seed.wrapping_mul(PROXY_SEED_STRIDE).wrapping_add(u64::from(proxy_index))
}

/// A generator that yields the same draws on every machine for the same seed.
pub struct Random(Pcg32);

impl Random {
    /// A generator at the start of the sequence of this seed.
    pub fn new(seed: u64) -> Random {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// Uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Uniform in [0, 1].
    pub fn uniform_inclusive(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / f64::from(u32::MAX)
    }

    /// A whole number below `count`.
    pub fn below(&mut self, count: u32) -> u32 {
        (self.uniform() * f64::from(count)) as u32
    }

    /// The time to the next arrival of a Poisson process of this rate.
    pub fn interarrival_time(&mut self, rate_per_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.uniform()).ln() / rate_per_s)
    }
}
