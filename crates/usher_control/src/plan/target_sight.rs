//! When targets were last heard of. Not for: their records.

use std::{collections, time};

use crate::plan::timing;

/// Remembers, while this node leads, when each target was last reported by an entry.
#[derive(Clone, Debug, Default)]
pub struct TargetSight {
    since: Option<time::Instant>,
    seen: collections::HashMap<(String, u64), time::Instant>,
}

impl TargetSight {
    /// Makes an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts again at the beginning of a leadership: nothing counts as unseen before it.
    pub fn restart(&mut self, now: time::Instant) {
        self.since = Some(now);
        self.seen.clear();
    }

    /// Records that a target was reported.
    pub fn see(&mut self, name: &str, incarnation: u64, now: time::Instant) {
        self.seen.insert((name.to_owned(), incarnation), now);
    }

    /// Returns whether a target has been unseen for so long that it is gone.
    pub fn is_gone(&self, name: &str, incarnation: u64, now: time::Instant) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        let seen = self.seen.get(&(name.to_owned(), incarnation));
        let last = seen.copied().unwrap_or(since).max(since);
        now.saturating_duration_since(last) >= timing::TARGET_GONE
    }

    /// Forgets targets that were last seen long ago, such as replaced incarnations.
    pub fn forget_old(&mut self, now: time::Instant) {
        self.seen
            .retain(|_, seen| now.saturating_duration_since(*seen) < 2 * timing::TARGET_GONE);
    }
}
