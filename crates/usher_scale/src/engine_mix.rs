//! The cheapest mix of lasting and reclaimable engines. Not for: the way to it.

use crate::scaling_rule;

/// Divisor of the usual number that gives the lasting engines that each domain keeps. All
/// reclaimable engines of more than one domain may be lost at once.
const LASTING_DIVISOR: u32 = 10;

usher_types::value_type! {
    /// Numbers of engines of one domain by kind.
    #[derive(Copy, Eq)]
    pub struct EngineMix {
        /// Lasting engines.
        pub lasting: u32,
        /// Reclaimable engines.
        pub reclaimable: u32,
    }
}

impl EngineMix {
    /// Returns the cheapest mix for each of `domains` equal domains with which, after one of them
    /// has lost all its reclaimable engines, all together still have the usual number.
    ///
    /// ```
    /// use usher_scale::{EngineMix, ScalingRule};
    /// let rule = ScalingRule {
    ///     min: 1,
    ///     max: 40,
    ///     boot_time: std::time::Duration::from_secs(4),
    ///     reclaimable_price: Some(0.25),
    /// };
    /// let mix = EngineMix::cheapest(20, 5, &rule);
    /// assert_eq!((mix.lasting, mix.reclaimable), (2, 23));
    /// ```
    pub fn cheapest(usual: u32, domains: u32, rule: &scaling_rule::ScalingRule) -> Self {
        let all_lasting = Self {
            lasting: usual,
            reclaimable: 0,
        };
        let Some(price) = rule.reclaimable_price.filter(|_| domains > 1) else {
            return all_lasting;
        };
        let fewest = usual.div_ceil(LASTING_DIVISOR).max(rule.min).max(1);
        let mixes = (fewest..usual).map(|lasting| Self {
            lasting,
            reclaimable: (domains * (usual - lasting)).div_ceil(domains - 1),
        });
        let allowed = mixes.filter(|mix| mix.lasting + mix.reclaimable <= rule.max);
        let cost = |mix: &Self| f64::from(mix.lasting) + price * f64::from(mix.reclaimable);
        allowed
            .chain([all_lasting])
            .min_by(|one, other| cost(one).total_cmp(&cost(other)))
            .unwrap_or(all_lasting)
    }

    /// Returns the usual number that has led to a mix, whose lasting engines may not all have been
    /// given up yet.
    pub(crate) fn usual(self, domains: u32, rule: &scaling_rule::ScalingRule) -> u32 {
        let leads_here =
            |usual: &u32| Self::cheapest(*usual, domains, rule).reclaimable >= self.reclaimable;
        let usual = (0..=rule.max).find(leads_here);
        usual.map_or(self.lasting + self.reclaimable, |usual| {
            usual.max(self.lasting)
        })
    }
}
