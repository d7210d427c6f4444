//! Draws from the generator of a run.

use rand_core::RngCore;
use rand_pcg::Pcg32;

pub fn below(dice: &mut Pcg32, end: u64) -> u64 {
    u64::from(dice.next_u32()) % end
}

/// One in so many.
pub fn one_in(dice: &mut Pcg32, many: u64) -> bool {
    below(dice, many) == 0
}
