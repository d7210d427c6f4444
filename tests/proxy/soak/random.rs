//! Random draws from the generator of a run.

use rand_core::RngCore;
use rand_pcg::Pcg32;

/// Draws a number from `0..end`.
pub fn below(random: &mut Pcg32, end: u64) -> u64 {
    u64::from(random.next_u32()) % end
}

/// Returns `true` with probability `1 / n`.
pub fn one_in(random: &mut Pcg32, n: u64) -> bool {
    below(random, n) == 0
}
