//! Volatile state of the order service within one term. Not for: the replicated orders.

use std::{collections, time};

use crate::plan;

/// Time for which an engine gets no orders after a failed one, so that a fault isn't repeated at
/// once.
const FAILURE_BACKOFF: time::Duration = time::Duration::from_secs(5);

/// Created anew at the start of each leadership.
#[derive(Debug)]
pub(crate) struct TermState {
    pub(crate) term: usher_types::TermNumber,
    since: time::Instant,
    backing_off: collections::BTreeMap<String, time::Instant>,
    leaving_since: collections::BTreeMap<(String, u64), time::Instant>,
    pub(crate) limiter: plan::LoadOrderLimiter,
    pub(crate) next_read_back: time::Instant,
}

impl TermState {
    pub(crate) fn new(
        term: usher_types::TermNumber,
        mut limiter: plan::LoadOrderLimiter,
        now: time::Instant,
    ) -> Self {
        limiter.empty(now);
        Self {
            term,
            since: now,
            backing_off: collections::BTreeMap::new(),
            leaving_since: collections::BTreeMap::new(),
            limiter,
            next_read_back: now + plan::NEW_LEADER_ORDER_DELAY,
        }
    }

    /// Returns whether orders of the previous leader can no longer be in flight.
    pub(crate) fn may_order(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.since) >= plan::NEW_LEADER_ORDER_DELAY
    }

    /// Excludes an engine from orders for [`FAILURE_BACKOFF`].
    pub(crate) fn back_off(&mut self, engine: &str, now: time::Instant) {
        self.backing_off
            .insert(engine.to_owned(), now + FAILURE_BACKOFF);
    }

    /// Returns the engines that are currently excluded from orders.
    pub(crate) fn backing_off(&mut self, now: time::Instant) -> collections::BTreeSet<String> {
        self.backing_off.retain(|_, until| *until > now);
        self.backing_off.keys().cloned().collect()
    }

    /// Returns whether all entries have acted on the leaving mark of a target, so that it can be
    /// ordered to drain.
    pub(crate) fn is_drain_due(
        &mut self,
        name: &str,
        incarnation: u64,
        now: time::Instant,
    ) -> bool {
        let id = (name.to_owned(), incarnation);
        let since = *self.leaving_since.entry(id).or_insert(now);
        now.saturating_duration_since(since) >= plan::DRAIN_ORDER_DELAY
    }
}
