//! Settings of the policies that an operator can change. Not for: reading files.

use std::{collections, time};

use usher_types::RegionName;

/// Settings of routing and admission in one entry.
///
/// ```
/// use usher_policy::RouteSettings;
/// let settings = RouteSettings::new("south-a").with_seed(7);
/// assert_eq!(settings.seed, 7);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSettings {
    /// Region of the entry.
    pub home: RegionName,
    /// One-way delay to each known other region.
    pub links: collections::BTreeMap<RegionName, time::Duration>,
    /// One-way delay inside the home region.
    pub local_delay: time::Duration,
    /// One-way delay to regions that are not in `links`.
    pub remote_delay: time::Duration,
    /// Seconds of expected time that sending one megabyte to another region costs in the score.
    pub remote_cost_per_megabyte: f64,
    /// Prefill rate in tokens per second, assumed before any observation.
    pub prefill_rate: f64,
    /// Time per output token of a single call on an engine, assumed before any observation.
    pub token_time: time::Duration,
    /// Time to load an adapter that isn't resident.
    pub adapter_load: time::Duration,
    /// Rate at which KV cache is transferred between engines, in tokens per second.
    pub kv_transfer_rate: f64,
    /// Largest number of calls that run on one engine at a time.
    pub batch_limit: u32,
    /// Goal for the time to first token.
    pub first_token_goal: time::Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

impl RouteSettings {
    /// Creates settings for an entry in a region.
    pub fn new(home: &str) -> Self {
        Self {
            home: RegionName::new(home),
            links: collections::BTreeMap::new(),
            local_delay: time::Duration::from_millis(1),
            remote_delay: time::Duration::from_millis(30),
            // Cross-region traffic is billed by volume: sending a prompt of 1 MB costs as much as
            // a delay of 200 ms.
            remote_cost_per_megabyte: 0.2,
            prefill_rate: 8_000.0,
            token_time: time::Duration::from_millis(15),
            adapter_load: time::Duration::from_millis(1_500),
            kv_transfer_rate: 100_000.0,
            batch_limit: 64,
            first_token_goal: time::Duration::from_millis(510),
            seed: 1,
        }
    }

    /// Sets the one-way delay to a region.
    pub fn with_link(mut self, region: &str, delay: time::Duration) -> Self {
        self.links.insert(RegionName::new(region), delay);
        self
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the prefill rate assumed before any observation, in tokens per second.
    pub fn with_prefill_rate(mut self, rate: f64) -> Self {
        self.prefill_rate = rate;
        self
    }

    /// Returns the one-way delay from the entry to a region.
    pub fn delay_to(&self, region: &RegionName) -> time::Duration {
        if *region == self.home {
            return self.local_delay;
        }
        self.links.get(region).copied().unwrap_or(self.remote_delay)
    }
}
