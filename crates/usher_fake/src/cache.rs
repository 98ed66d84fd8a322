//! The prefix cache of a fake engine and its events. Not for: the memory of running streams.

use std::{collections, time};

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// It is cached now.
    Add,
    /// It is no longer cached.
    Evict,
}

/// One event of the cache.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a lost event.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hash of the prefix.
    pub prefix: String,
}

/// The answer to `GET /v1/cache/events`.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEventPage {
    /// What to ask for next.
    pub next: u64,
    /// Events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// How many events are kept for reading.
const MAX_CACHE_EVENTS: usize = 8_192;

/// Prefixes in memory, evicted in order of least recent use.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    event_lag: time::Duration,
    event_gap: u64,
    // Prefix to the number of its last use.
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

    /// Returns how many pieces at the start of the prompt are cached, and marks them as used.
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

    /// Caches the prefixes of a prompt within `max_pieces` pieces in all.
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

    /// Evicts until at most `max_pieces` pieces are used.
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

    /// Returns the events from number `since` that are old enough to be seen.
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
