//! Reproducible random numbers.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// A pseudorandom number generator that yields the same sequence on every machine for the same seed.
pub(crate) struct Random(Pcg32);

/// An item and its weight in a weighted choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weighted<T> {
    pub item: T,
    pub weight: f64,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Pcg32::seed_from_u64(seed))
    }

    /// A number uniformly distributed in [0, 1).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// Chooses an item with a probability proportional to its weight; `None` only if `choices` is empty.
    pub fn choose_weighted<T: Copy>(&mut self, choices: &[Weighted<T>]) -> Option<T> {
        let total = choices.iter().map(|choice| choice.weight).sum::<f64>();
        let mut remaining = self.unit() * total;
        for choice in choices {
            remaining -= choice.weight;
            if remaining < 0.0 {
                return Some(choice.item);
            }
        }
        choices.last().map(|choice| choice.item)
    }
}
