//! Draws from the generator of a run.

use rand_core::RngCore;
use rand_pcg::Pcg32;

/// A number from 0 to less than `end`.
pub fn below(random: &mut Pcg32, end: u64) -> u64 {
    u64::from(random.next_u32()) % end
}

/// True once in so many draws.
pub fn one_in(random: &mut Pcg32, many: u64) -> bool {
    below(random, many) == 0
}
