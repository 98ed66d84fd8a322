//! Tracks which targets have which prompt prefixes in their caches, from late events that may have
//! gaps. Not for: the text of prompts.

use std::collections;

use crate::{request, slot, target};

/// Prefixes remembered per target. With 4,096 entries of about 40 bytes, the maps of 760 targets
/// with mostly shared prefixes stay within the memory limit of a daemon.
const MAX_PREFIXES_PER_TARGET: usize = 4_096;

/// Weight of a cache hit while events of the target are missing.
const GAPPED_HIT_WEIGHT: f64 = 0.5;

#[derive(Clone, Debug, Default)]
struct CachedPrefixes {
    /// Hashes in order of insertion, for evicting the oldest first.
    insertion_order: collections::VecDeque<u64>,
    hashes: collections::HashSet<u64>,
    next_seq: Option<u64>,
    gapped: bool,
}

/// Map from prompt prefixes to the targets that have them cached.
///
/// Events carry consecutive numbers. When a number is missing, the target is marked as gapped and
/// its hits count half until [`PrefixMap::replace`] supplies a complete listing.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    holders: collections::HashMap<u64, Vec<slot::TargetSlot>>,
    caches: Vec<CachedPrefixes>,
}

impl PrefixMap {
    /// Applies events; returns whether all numbers below `next` have been received.
    pub fn apply(
        &mut self,
        slot: slot::TargetSlot,
        events: &[target::CacheEvent],
        next: u64,
    ) -> bool {
        for event in events {
            self.apply_event(slot, event);
        }
        let cache = self.cache_mut(slot);
        if cache.next_seq.is_some_and(|seq| seq < next) {
            cache.gapped = true;
            cache.next_seq = Some(next);
        }
        !cache.gapped
    }

    fn apply_event(&mut self, slot: slot::TargetSlot, event: &target::CacheEvent) {
        let cache = self.cache_mut(slot);
        match cache.next_seq {
            // A redelivered older event must not undo a newer one.
            Some(seq) if event.seq < seq => return,
            Some(seq) if event.seq > seq => cache.gapped = true,
            // Events before the first received one are unknown.
            None if event.seq > 1 => cache.gapped = true,
            _ => {}
        }
        cache.next_seq = Some(event.seq + 1);
        match event.kind {
            target::CacheEventKind::Add => self.add(slot, event.hash),
            target::CacheEventKind::Evict => self.evict(slot, event.hash),
        }
    }

    /// Replaces the known prefixes of a target by a complete listing.
    pub fn replace(&mut self, slot: slot::TargetSlot, hashes: &[u64], next: u64) {
        self.remove(slot);
        for &hash in hashes {
            self.add(slot, hash);
        }
        let cache = self.cache_mut(slot);
        cache.next_seq = Some(next);
        cache.gapped = false;
    }

    /// Records that a target has a prefix cached, for instance because a call just ran there.
    pub fn add(&mut self, slot: slot::TargetSlot, hash: u64) {
        let cache = self.cache_mut(slot);
        if !cache.hashes.insert(hash) {
            return;
        }
        cache.insertion_order.push_back(hash);
        self.holders.entry(hash).or_default().push(slot);
        self.evict_oldest(slot);
    }

    /// Records that a target no longer has a prefix cached.
    pub fn evict(&mut self, slot: slot::TargetSlot, hash: u64) {
        let Some(cache) = self.caches.get_mut(slot.index()) else {
            return;
        };
        if cache.hashes.remove(&hash) {
            self.remove_holder(slot, hash);
        }
    }

    /// Removes all prefixes of a target.
    pub fn remove(&mut self, slot: slot::TargetSlot) {
        let Some(cache) = self.caches.get_mut(slot.index()) else {
            return;
        };
        let cache = std::mem::take(cache);
        for hash in cache.hashes {
            self.remove_holder(slot, hash);
        }
    }

    /// Returns whether events of the target are missing, so that a complete listing is needed.
    pub fn is_gapped(&self, slot: slot::TargetSlot) -> bool {
        self.caches
            .get(slot.index())
            .is_some_and(|cache| cache.gapped)
    }

    /// Returns the number of the next event expected from the target.
    pub fn next_seq(&self, slot: slot::TargetSlot) -> u64 {
        let next = self
            .caches
            .get(slot.index())
            .and_then(|cache| cache.next_seq);
        next.unwrap_or(0)
    }

    /// Returns the expected number of prompt tokens that the target has cached.
    pub fn hit_tokens(&self, slot: slot::TargetSlot, prefixes: &[request::PromptPrefix]) -> f64 {
        let Some(cache) = self.caches.get(slot.index()) else {
            return 0.0;
        };
        let longest = prefixes
            .iter()
            .rev()
            .find(|prefix| cache.hashes.contains(&prefix.hash));
        longest.map_or(0.0, |prefix| {
            prefix.tokens.get() as f64 * self.hit_weight(slot)
        })
    }

    /// Returns up to `limit` targets that have the longest known prefix cached.
    pub fn holders(&self, prefixes: &[request::PromptPrefix], limit: usize) -> &[slot::TargetSlot] {
        let longest = prefixes
            .iter()
            .rev()
            .find_map(|prefix| self.holders.get(&prefix.hash));
        let holders = longest.map_or(&[][..], Vec::as_slice);
        holders.get(..limit).unwrap_or(holders)
    }

    fn cache_mut(&mut self, slot: slot::TargetSlot) -> &mut CachedPrefixes {
        if self.caches.len() <= slot.index() {
            self.caches
                .resize_with(slot.index() + 1, CachedPrefixes::default);
        }
        &mut self.caches[slot.index()]
    }

    fn hit_weight(&self, slot: slot::TargetSlot) -> f64 {
        if self.is_gapped(slot) {
            GAPPED_HIT_WEIGHT
        } else {
            1.0
        }
    }

    fn remove_holder(&mut self, slot: slot::TargetSlot, hash: u64) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.retain(|holder| *holder != slot);
            if holders.is_empty() {
                self.holders.remove(&hash);
            }
        }
    }

    fn evict_oldest(&mut self, slot: slot::TargetSlot) {
        let mut dropped = Vec::new();
        if let Some(cache) = self.caches.get_mut(slot.index()) {
            // The insertion order may still contain prefixes that were evicted since.
            while cache.insertion_order.len() > MAX_PREFIXES_PER_TARGET {
                match cache.insertion_order.pop_front() {
                    Some(hash) if cache.hashes.remove(&hash) => dropped.push(hash),
                    _ => {}
                }
            }
        }
        for hash in dropped {
            self.remove_holder(slot, hash);
        }
    }
}
