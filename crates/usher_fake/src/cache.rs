//! The prefix cache of a fake engine and its event log. Not for: the memory of running streams.

use std::{collections, time};

/// Kind of a cache event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Add,
    /// The prefix was evicted from the cache.
    Evict,
}

/// An event of the prefix cache.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// Sequence number; a gap means that an event was lost.
    pub seq: u64,
    /// Kind of the event.
    pub kind: CacheEventKind,
    /// Hash of the prefix.
    pub prefix: String,
}

/// The response to `GET /v1/cache/events`.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEventPage {
    /// Sequence number to pass as `since` in the next request.
    pub next: u64,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// Number of events that are retained for readers.
const MAX_CACHE_EVENTS: usize = 8_192;

/// A cache of prompt prefixes with least-recently-used eviction.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    event_lag: time::Duration,
    event_gap: u64,
    // Maps each prefix to the value of `use_count` at its last use.
    last_used: collections::HashMap<String, u64>,
    use_count: u64,
    events: collections::VecDeque<(time::Instant, CacheEvent)>,
    next_seq: u64,
}

impl PrefixCache {
    pub(crate) fn new(event_lag: time::Duration, event_gap: u64) -> Self {
        Self {
            event_lag,
            event_gap,
            last_used: collections::HashMap::new(),
            use_count: 0,
            events: collections::VecDeque::new(),
            next_seq: 1,
        }
    }

    pub(crate) fn pieces(&self) -> u64 {
        self.last_used.len() as u64
    }

    /// Returns the number of pieces at the start of the prompt that are cached, and marks them as
    /// used.
    pub(crate) fn lookup(&mut self, prefixes: &[String]) -> u64 {
        self.use_count += 1;
        let mut pieces = 0;
        for prefix in prefixes {
            let Some(last_use) = self.last_used.get_mut(prefix) else {
                break;
            };
            *last_use = self.use_count;
            pieces += 1;
        }
        pieces
    }

    /// Adds the prefixes of a prompt, then evicts until the cache has at most `max_pieces` pieces.
    pub(crate) fn insert(&mut self, prefixes: &[String], max_pieces: u64, now: time::Instant) {
        self.use_count += 1;
        for prefix in prefixes {
            if self
                .last_used
                .insert(prefix.clone(), self.use_count)
                .is_none()
            {
                self.publish(CacheEventKind::Add, prefix, now);
            }
        }
        self.shrink(max_pieces, now);
    }

    /// Evicts prefixes until at most `max_pieces` pieces are cached.
    pub(crate) fn shrink(&mut self, max_pieces: u64, now: time::Instant) {
        while self.pieces() > max_pieces {
            let oldest = self
                .last_used
                .iter()
                .min_by_key(|(prefix, last_used)| (**last_used, *prefix));
            let Some(prefix) = oldest.map(|(prefix, _)| prefix.clone()) else {
                return;
            };
            self.last_used.remove(&prefix);
            self.publish(CacheEventKind::Evict, &prefix, now);
        }
    }

    fn publish(&mut self, kind: CacheEventKind, prefix: &str, now: time::Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if seq.is_multiple_of(self.event_gap) {
            return;
        }
        if self.events.len() == MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            seq,
            kind,
            prefix: prefix.to_owned(),
        };
        self.events.push_back((now + self.event_lag, event));
    }

    /// Returns the events from sequence number `since` that are older than the event lag.
    pub(crate) fn page(&self, since: u64, now: time::Instant) -> CacheEventPage {
        let events: Vec<_> = self
            .events
            .iter()
            .filter(|(visible, event)| *visible <= now && event.seq >= since)
            .map(|(_, event)| event.clone())
            .collect();
        CacheEventPage {
            next: events.last().map_or(since, |event| event.seq + 1),
            events,
        }
    }
}
