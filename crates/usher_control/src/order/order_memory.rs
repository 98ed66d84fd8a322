//! What the order service remembers within one leadership. Not for: the replicated orders.

use std::{collections, time};

use crate::plan;

/// How long an engine isn't ordered after a failed order, so that a fault isn't repeated at once.
const HOLD_BACK: time::Duration = time::Duration::from_secs(5);

/// Starts again with each leadership.
#[derive(Debug)]
pub(crate) struct OrderMemory {
    pub(crate) term: usher_types::TermNumber,
    since: time::Instant,
    held_back: collections::BTreeMap<String, time::Instant>,
    leaving_since: collections::BTreeMap<(String, u64), time::Instant>,
    pub(crate) bucket: plan::LoadBucket,
    pub(crate) next_read_back: time::Instant,
}

impl OrderMemory {
    pub(crate) fn new(
        term: usher_types::TermNumber,
        mut bucket: plan::LoadBucket,
        now: time::Instant,
    ) -> Self {
        bucket.empty(now);
        Self {
            term,
            since: now,
            held_back: collections::BTreeMap::new(),
            leaving_since: collections::BTreeMap::new(),
            bucket,
            next_read_back: now + plan::ORDER_WAIT,
        }
    }

    /// Returns whether orders of an earlier leader can no longer be on their way.
    pub(crate) fn has_waited(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.since) >= plan::ORDER_WAIT
    }

    /// Keeps an engine from being ordered for a while.
    pub(crate) fn hold_back(&mut self, engine: &str, now: time::Instant) {
        self.held_back.insert(engine.to_owned(), now + HOLD_BACK);
    }

    /// Returns the engines that aren't ordered now.
    pub(crate) fn held_back(&mut self, now: time::Instant) -> collections::BTreeSet<String> {
        self.held_back.retain(|_, until| *until > now);
        self.held_back.keys().cloned().collect()
    }

    /// Returns whether the leaving mark of a target is in force at all entries.
    pub(crate) fn is_left(&mut self, name: &str, incarnation: u64, now: time::Instant) -> bool {
        let life = (name.to_owned(), incarnation);
        let since = *self.leaving_since.entry(life).or_insert(now);
        now.saturating_duration_since(since) >= plan::DRAIN_WAIT
    }
}
