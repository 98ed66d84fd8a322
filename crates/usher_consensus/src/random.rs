//! Seeded pseudo-random numbers for election timeouts. Not for: secrets.

/// A SplitMix64 generator, deterministic for a given seed.
#[derive(Clone, Debug)]
pub(crate) struct SeedSequence(u64);

impl SeedSequence {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number below `bound`, or 0 when `bound` is 0.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)).checked_rem(bound).unwrap_or(0)
    }
}
