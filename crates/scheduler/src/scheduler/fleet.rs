//! The instance's place in the fleet: the number of instances, the load that this instance does not observe, and random
//! numbers that differ between instances.

use super::Scheduler;

/// Number of instances up to which each receives enough of the load to rely on its own observations.
const FEW_INSTANCES: f64 = 4.0;
/// Multiplier of the hash function: 2^64 divided by the golden ratio.
const GOLDEN_RATIO: u64 = 0x9E37_79B9_7F4A_7C15;
/// Second multiplier of the hash function, of a 64-bit congruential generator.
const MULTIPLIER: u64 = 0xD134_2543_DE82_EF95;
/// Shift between the multiplications of the hash function.
const HASH_SHIFT: u32 = 29;
/// Bits of a random fraction: as many as are exact in an `f32`.
const FRACTION_BITS: u32 = 24;

impl Scheduler {
    /// Returns the number of instances, at least 1.
    pub(crate) fn instances(&self) -> f64 {
        self.settings.instances.max(1) as f64
    }

    /// Returns the fraction of the load that this instance does not observe, from 0 to 1. It is 0 for up to
    /// [`FEW_INSTANCES`] instances.
    pub(crate) fn unobserved_load(&self) -> f64 {
        (1.0 - FEW_INSTANCES / self.instances()).max(0.0)
    }

    /// Returns a random number in 0..1 that depends only on this instance's seed and `purpose`.
    pub(crate) fn seeded_fraction(&self, purpose: u64) -> f64 {
        let input = purpose.wrapping_add(1).wrapping_mul(GOLDEN_RATIO);
        let mixed = (self.seed ^ input).wrapping_mul(MULTIPLIER);
        let bits = (mixed ^ (mixed >> HASH_SHIFT)).wrapping_mul(GOLDEN_RATIO);
        (bits >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
    }
}
