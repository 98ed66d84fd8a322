//! Which targets hold which prompt prefixes, from late and gapped events. Not for: prompts.

use std::collections;

use crate::{request, slot, target};

/// Prefixes remembered for each target; 4,096 entries of about 40 bytes keep 760 targets' maps
/// of mostly shared prefixes within the memory limit of a daemon.
const MAX_PREFIXES_PER_TARGET: usize = 4_096;

/// How much of a hit counts while events of the target are missing.
const GAPPED_TRUST: f64 = 0.5;

#[derive(Clone, Debug, Default)]
struct TargetCache {
    /// Order of arrival, for forgetting the oldest first.
    order: collections::VecDeque<u64>,
    held: collections::HashSet<u64>,
    next_seq: Option<u64>,
    gapped: bool,
}

/// Map of prompt prefixes to the targets that hold them.
///
/// Events carry consecutive numbers. A missing number puts the target into a gapped state: its
/// hits count half until [`PrefixMap::replace`] brings a complete listing.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    holders: collections::HashMap<u64, Vec<slot::TargetSlot>>,
    caches: Vec<TargetCache>,
}

impl PrefixMap {
    /// Applies events; returns whether all numbers up to `next` are covered.
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
            // An older event that was delivered again must not undo a newer one.
            Some(seq) if event.seq < seq => return,
            Some(seq) if event.seq > seq => cache.gapped = true,
            // The events before the first one that was seen are unknown.
            None if event.seq > 1 => cache.gapped = true,
            _ => {}
        }
        cache.next_seq = Some(event.seq + 1);
        match event.kind {
            target::CacheEventKind::Add => self.add(slot, event.hash),
            target::CacheEventKind::Evict => self.evict(slot, event.hash),
        }
    }

    /// Replaces what is known of a target by a complete listing.
    pub fn replace(&mut self, slot: slot::TargetSlot, hashes: &[u64], next: u64) {
        self.remove(slot);
        for &hash in hashes {
            self.add(slot, hash);
        }
        let cache = self.cache_mut(slot);
        cache.next_seq = Some(next);
        cache.gapped = false;
    }

    /// Notes that a target holds a prefix, for instance because a call just ran there.
    pub fn add(&mut self, slot: slot::TargetSlot, hash: u64) {
        let cache = self.cache_mut(slot);
        if !cache.held.insert(hash) {
            return;
        }
        cache.order.push_back(hash);
        self.holders.entry(hash).or_default().push(slot);
        self.trim(slot);
    }

    /// Notes that a target no longer holds a prefix.
    pub fn evict(&mut self, slot: slot::TargetSlot, hash: u64) {
        let Some(cache) = self.caches.get_mut(slot.index()) else {
            return;
        };
        if cache.held.remove(&hash) {
            self.drop_holder(slot, hash);
        }
    }

    /// Forgets everything about a target.
    pub fn remove(&mut self, slot: slot::TargetSlot) {
        let Some(cache) = self.caches.get_mut(slot.index()) else {
            return;
        };
        let cache = std::mem::take(cache);
        for hash in cache.held {
            self.drop_holder(slot, hash);
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

    /// Returns how many prompt tokens the target is expected to have in its cache.
    pub fn hit_tokens(&self, slot: slot::TargetSlot, marks: &[request::PromptPrefix]) -> f64 {
        let Some(cache) = self.caches.get(slot.index()) else {
            return 0.0;
        };
        let longest = marks
            .iter()
            .rev()
            .find(|mark| cache.held.contains(&mark.hash));
        longest.map_or(0.0, |mark| mark.tokens.get() as f64 * self.trust(slot))
    }

    /// Returns up to `limit` targets that hold the longest known prefix.
    pub fn holders(&self, marks: &[request::PromptPrefix], limit: usize) -> &[slot::TargetSlot] {
        let longest = marks
            .iter()
            .rev()
            .find_map(|mark| self.holders.get(&mark.hash));
        let holders = longest.map_or(&[][..], Vec::as_slice);
        holders.get(..limit).unwrap_or(holders)
    }

    fn cache_mut(&mut self, slot: slot::TargetSlot) -> &mut TargetCache {
        if self.caches.len() <= slot.index() {
            self.caches
                .resize_with(slot.index() + 1, TargetCache::default);
        }
        &mut self.caches[slot.index()]
    }

    fn trust(&self, slot: slot::TargetSlot) -> f64 {
        if self.is_gapped(slot) {
            GAPPED_TRUST
        } else {
            1.0
        }
    }

    fn drop_holder(&mut self, slot: slot::TargetSlot, hash: u64) {
        if let Some(holders) = self.holders.get_mut(&hash) {
            holders.retain(|holder| *holder != slot);
            if holders.is_empty() {
                self.holders.remove(&hash);
            }
        }
    }

    fn trim(&mut self, slot: slot::TargetSlot) {
        let mut dropped = Vec::new();
        if let Some(cache) = self.caches.get_mut(slot.index()) {
            // The order may still list prefixes that were evicted since.
            while cache.order.len() > MAX_PREFIXES_PER_TARGET {
                match cache.order.pop_front() {
                    Some(hash) if cache.held.remove(&hash) => dropped.push(hash),
                    _ => {}
                }
            }
        }
        for hash in dropped {
            self.drop_holder(slot, hash);
        }
    }
}
