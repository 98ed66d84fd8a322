//! Which engines probably have shared parts of prompts in their cache. Not for: exact contents.

use std::{collections, time};

/// How long parts that were read are thought to be kept. Engines of the deployments read 10,000 to
/// 15,000 tokens a second and keep some 400,000.
const KEPT: time::Duration = time::Duration::from_secs(20);

/// After this time a read of known parts is told to other gateways again, so that they know that
/// the parts are still kept.
const TELL_AGAIN: time::Duration = time::Duration::from_secs(5);

/// Most parts that are remembered.
const MAX_PARTS: usize = 20_000;

usher_types::value_type! {
    /// Shared parts that an engine has read, as gateways tell each other.
    #[derive(Copy)]
    pub struct PartsRead {
        /// Key of the parts.
        pub parts: u64,
        /// Key of the engine's name.
        pub target: u64,
    }
}

/// What gateways sent where, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheGuess {
    /// Engines by the key of the parts, with the time of the last read.
    holders: collections::HashMap<u64, Vec<(u64, time::Instant)>>,
    /// Own reads that other gateways haven't been told.
    untold: Vec<PartsRead>,
}

impl CacheGuess {
    /// Notes that an engine has read or used the parts for a call of this gateway.
    pub(crate) fn note(&mut self, read: PartsRead, now: time::Instant) {
        let before = self.take(read, now);
        if before.is_none_or(|before| now.saturating_duration_since(before) >= TELL_AGAIN) {
            self.untold.push(read);
        }
    }

    /// Takes a read that another gateway told; returns when it was known before.
    pub(crate) fn take(&mut self, read: PartsRead, now: time::Instant) -> Option<time::Instant> {
        if self.holders.len() >= MAX_PARTS {
            self.holders.retain(|_, holders| {
                holders.retain(|(_, at)| now.saturating_duration_since(*at) < KEPT);
                !holders.is_empty()
            });
        }
        let holders = self.holders.entry(read.parts).or_default();
        if let Some((_, at)) = holders.iter_mut().find(|(name, _)| *name == read.target) {
            return Some(std::mem::replace(at, now));
        }
        holders.retain(|(_, at)| now.saturating_duration_since(*at) < KEPT);
        holders.push((read.target, now));
        None
    }

    /// Returns the own reads that other gateways don't know yet, and takes them for told.
    pub(crate) fn take_untold(&mut self) -> Vec<PartsRead> {
        std::mem::take(&mut self.untold)
    }

    /// Returns the engines that probably have the parts.
    pub(crate) fn holders(&self, parts: u64, now: time::Instant) -> impl Iterator<Item = u64> + '_ {
        let holders = self.holders.get(&parts).into_iter().flatten();
        holders
            .filter(move |(_, at)| now.saturating_duration_since(*at) < KEPT)
            .map(|(target, _)| *target)
    }
}
