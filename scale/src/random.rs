//! Reproducible random numbers.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Difference between the seeds of the same proxy for two consecutive point seeds.
const PROXY_SEED_STRIDE: u64 = 1_000_003;

/// Returns the seed of one proxy of a point.
pub fn proxy_seed(point_seed: u64, proxy_index: u32) -> u64 {
    point_seed.wrapping_mul(PROXY_SEED_STRIDE).wrapping_add(u64::from(proxy_index))
}

/// A random number generator whose sequence only depends on the seed, not on the machine.
pub struct Random(Pcg32);

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Random {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// Returns a uniformly distributed number in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Returns a uniformly distributed number in [0, 1].
    pub fn uniform_inclusive(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / f64::from(u32::MAX)
    }

    /// Returns a uniformly distributed integer in [0, `count`).
    pub fn below(&mut self, count: u32) -> u32 {
        (self.uniform() * f64::from(count)) as u32
    }

    /// Returns the time between two arrivals of a Poisson process with this rate, in events per second.
    pub fn interarrival_time(&mut self, rate_per_s: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.uniform()).ln() / rate_per_s)
    }
}
