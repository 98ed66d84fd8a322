//! Estimates which engines have a shared prompt prefix in their KV cache. Not for: the exact cache
//! contents.

use std::{collections, time};

/// Time after its last read for which a prefix is assumed to be cached. Engines of the deployments
/// read 10,000 to 15,000 tokens a second and cache about 400,000, so that a prefix usually stays
/// cached for longer.
const CACHE_LIFETIME: time::Duration = time::Duration::from_secs(20);

/// Interval after which another read of a known prefix is reported to the other gateways again, so
/// that they know that it is still cached.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Number of tracked prefixes at which expired ones are removed.
const PRUNE_THRESHOLD: usize = 20_000;

/// Maximum number of unreported reads while no registrar can be reached; the newest are kept.
const MAX_UNREPORTED: usize = 1_024;

usher_types::value_type! {
    /// A shared prefix that an engine has read, as gateways report it to each other.
    #[derive(Copy)]
    pub struct PrefixRead {
        /// Key of the prefix.
        pub prefix: u64,
        /// Key of the engine's name.
        pub target: u64,
    }
}

/// The estimated cache contents of the engines, from the reads of this and of other gateways.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheEstimate {
    /// Engines by the key of the prefix, with the time of the last read.
    holders: collections::HashMap<u64, Vec<(u64, time::Instant)>>,
    /// Reads of this gateway that have not been reported to the other gateways.
    unreported: Vec<PrefixRead>,
}

impl CacheEstimate {
    /// Records that an engine has read or reused the prefix for a call of this gateway.
    pub(crate) fn record(&mut self, read: PrefixRead, now: time::Instant) {
        let before = self.merge(read, now);
        if before.is_none_or(|before| now.saturating_duration_since(before) >= REPORT_INTERVAL) {
            self.unreported.push(read);
        }
    }

    /// Adds a read that another gateway reported; returns the time of the previous read.
    pub(crate) fn merge(&mut self, read: PrefixRead, now: time::Instant) -> Option<time::Instant> {
        if self.holders.len() >= PRUNE_THRESHOLD {
            self.holders.retain(|_, holders| {
                holders.retain(|(_, at)| now.saturating_duration_since(*at) < CACHE_LIFETIME);
                !holders.is_empty()
            });
        }
        let holders = self.holders.entry(read.prefix).or_default();
        if let Some((_, at)) = holders.iter_mut().find(|(name, _)| *name == read.target) {
            return Some(std::mem::replace(at, now));
        }
        holders.retain(|(_, at)| now.saturating_duration_since(*at) < CACHE_LIFETIME);
        holders.push((read.target, now));
        None
    }

    /// Returns the newest reads that have not been reported to the other gateways, and forgets older
    /// ones.
    pub(crate) fn unreported(&mut self) -> Vec<PrefixRead> {
        let excess = self.unreported.len().saturating_sub(MAX_UNREPORTED);
        self.unreported.drain(..excess);
        self.unreported.clone()
    }

    /// Marks the first reads of the last [`Self::unreported`] as reported.
    pub(crate) fn mark_reported(&mut self, count: usize) {
        self.unreported.drain(..count.min(self.unreported.len()));
    }

    /// Returns the engines that probably have the prefix cached.
    pub(crate) fn holders(
        &self,
        prefix: u64,
        now: time::Instant,
    ) -> impl Iterator<Item = u64> + '_ {
        let holders = self.holders.get(&prefix).into_iter().flatten();
        holders
            .filter(move |(_, at)| now.saturating_duration_since(*at) < CACHE_LIFETIME)
            .map(|(target, _)| *target)
    }
}
