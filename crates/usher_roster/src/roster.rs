//! Target entries merged from several registrars. Not for: receiving heartbeats.

use std::{collections, time};

use crate::entry;

/// Retention of the record of a target that ended, or has been silent since it said that it is
/// leaving, so that delayed heartbeats of its process don't bring it back. Longer than a partition usually lasts.
const GONE_RETENTION: time::Duration = time::Duration::from_secs(120);

/// The newest entry of each target.
#[derive(Clone, Debug, Default)]
pub struct TargetRoster {
    entries: collections::BTreeMap<usher_types::TargetName, RosterRecord>,
}

#[derive(Clone, Debug)]
struct RosterRecord {
    entry: entry::TargetEntry,
    merged_at: time::Instant,
}

impl TargetRoster {
    /// Makes an empty roster.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges an entry if it is newer than the known one; returns whether the difference affects
    /// the decisions of a gateway.
    pub fn merge(&mut self, entry: entry::TargetEntry, now: time::Instant) -> bool {
        let changed = match self.entries.get(&entry.name) {
            Some(known) if !entry.supersedes(&known.entry) => return false,
            Some(known) => entry.differs(&known.entry),
            None => true,
        };
        let record = RosterRecord {
            merged_at: now,
            entry,
        };
        self.entries.insert(record.entry.name.clone(), record);
        changed
    }

    /// Records that the process of a target that began at `born_ms` has said in an answer that it is
    /// leaving; returns whether it counted as taking work so far.
    ///
    /// The mark stays until a later start of the target is known, whatever its heartbeats say.
    pub fn mark_leaving(
        &mut self,
        name: &usher_types::TargetName,
        born_ms: u64,
        now: time::Instant,
    ) -> bool {
        let Some(known) = self.get(name).filter(|known| known.is_process(born_ms)) else {
            return false;
        };
        let entry = known.clone().into_leaving();
        self.merge(entry, now)
    }

    /// Removes targets that ended, or left and fell silent, before the retention period.
    pub fn forget(&mut self, now: time::Instant) {
        self.entries.retain(|_, record| {
            let kept = now.saturating_duration_since(record.merged_at) < GONE_RETENTION;
            let has_ended = match record.entry.phase {
                entry::TargetPhase::Ready => false,
                entry::TargetPhase::Leaving => record.entry.silent,
                entry::TargetPhase::Gone => true,
            };
            !has_ended || kept
        });
    }

    /// Returns the entry of a target.
    pub fn get(&self, name: &usher_types::TargetName) -> Option<&entry::TargetEntry> {
        self.entries.get(name).map(|record| &record.entry)
    }

    /// Returns all entries by name.
    pub fn iter(&self) -> impl Iterator<Item = &entry::TargetEntry> {
        self.entries.values().map(|record| &record.entry)
    }
}
