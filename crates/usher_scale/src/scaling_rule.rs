//! The rules for ordering engines of a service. Not for: the decision.

use std::time;

usher_types::value_type! {
    /// Limits and price of the engines of a service, the same in each domain.
    pub struct ScalingRule {
        /// Fewest engines of a domain, of both kinds together.
        pub min: u32,
        /// Most engines of a domain, of both kinds together.
        pub max: u32,
        /// Time from an order until a new engine takes work.
        pub boot_time: time::Duration,
        /// Price of a reclaimable engine as a share of that of a lasting one; none when there are
        /// no reclaimable ones.
        pub reclaimable_price: Option<f64>,
    }
}
