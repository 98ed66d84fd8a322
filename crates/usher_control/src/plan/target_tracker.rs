//! Tracks on the leader when targets were last reported. Not for: their records.

use std::{collections, time};

use crate::plan::timing;

/// Tracks when each target was last reported by an entry, while this node is the leader.
#[derive(Clone, Debug, Default)]
pub struct TargetTracker {
    since: Option<time::Instant>,
    seen: collections::HashMap<(String, u64), time::Instant>,
}

impl TargetTracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets the tracker at the start of a leadership; the time before it doesn't count as
    /// silence.
    pub fn reset(&mut self, now: time::Instant) {
        self.since = Some(now);
        self.seen.clear();
    }

    /// Records that a target was reported at `now`.
    pub fn record_report(&mut self, name: &str, incarnation: u64, now: time::Instant) {
        self.seen.insert((name.to_owned(), incarnation), now);
    }

    /// Returns whether a target has not been reported for so long that it counts as gone.
    pub fn is_gone(&self, name: &str, incarnation: u64, now: time::Instant) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        let seen = self.seen.get(&(name.to_owned(), incarnation));
        let last = seen.copied().unwrap_or(since).max(since);
        now.saturating_duration_since(last) >= timing::TARGET_GONE_AFTER
    }

    /// Removes targets that were last reported long ago, such as replaced incarnations.
    pub fn remove_stale(&mut self, now: time::Instant) {
        self.seen
            .retain(|_, seen| now.saturating_duration_since(*seen) < 2 * timing::TARGET_GONE_AFTER);
    }
}
