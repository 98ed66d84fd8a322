//! The entries of one registrar in the order in which they changed. Not for: sending them.

use std::{collections, time};

use crate::{entry, role_change, roster};

/// How many intervals without a heartbeat make a target silent. Heartbeats come up to a second
/// late, and targets that are cut off from this registrar report to another one meanwhile.
const SILENT_INTERVALS: u32 = 4;

/// What a registrar knows of targets, and since which change.
#[derive(Clone, Debug)]
pub struct RosterFeed {
    roster: roster::TargetRoster,
    /// Number of the last change of each target; those behind a cursor are sent to a watcher.
    changed: collections::BTreeMap<usher_types::TargetName, u64>,
    /// When this registrar itself last heard from a target.
    heard: collections::BTreeMap<usher_types::TargetName, time::Instant>,
    /// Since when a target is known from before a restart, until somebody hears it.
    restored: collections::BTreeMap<usher_types::TargetName, time::Instant>,
    last_change: u64,
    role_changes: role_change::RoleChangeList,
    /// Number of the last change of `role_changes`.
    role_changes_changed: u64,
    silent_after: time::Duration,
}

impl RosterFeed {
    /// Makes an empty feed of targets that send a heartbeat at this interval.
    pub fn new(interval: time::Duration) -> Self {
        Self {
            roster: roster::TargetRoster::new(),
            changed: collections::BTreeMap::new(),
            heard: collections::BTreeMap::new(),
            restored: collections::BTreeMap::new(),
            last_change: 0,
            role_changes: role_change::RoleChangeList::default(),
            role_changes_changed: 0,
            silent_after: interval * SILENT_INTERVALS,
        }
    }

    /// Takes a heartbeat that this registrar received; returns whether watchers must hear of it.
    pub fn record_heartbeat(&mut self, mut entry: entry::TargetEntry, now: time::Instant) -> bool {
        let name = entry.name.clone();
        if let Some(known) = self.roster.get(&name) {
            // A target that doesn't tell its start keeps the one that is known.
            if entry.born_ms == 0 {
                entry.born_ms = known.born_ms;
            }
            if !entry.supersedes(known) {
                return false;
            }
        }
        // A target that moved here from another registrar is announced again, so that watchers
        // know that it isn't silent.
        let moved = self.heard.insert(name.clone(), now).is_none();
        self.restored.remove(&name);
        if entry.phase == entry::TargetPhase::Gone {
            self.heard.remove(&name);
        }
        let settled = self.role_changes.settle(&entry);
        let changed = self.roster.merge(entry, now) || moved;
        if changed {
            self.note(name);
        }
        if settled {
            self.note_role_changes();
        }
        changed || settled
    }

    /// Notes that a target has ended; returns whether watchers must hear of it.
    ///
    /// `born_ms` is the start of the life that ended, 0 when not told. A target that isn't known
    /// here is noted all the same: another registrar may know it.
    pub fn record_end(
        &mut self,
        name: &usher_types::TargetName,
        born_ms: u64,
        now: time::Instant,
    ) -> bool {
        let entry = match self.roster.get(name) {
            Some(known) => entry::TargetEntry {
                phase: entry::TargetPhase::Gone,
                born_ms: if born_ms == 0 { known.born_ms } else { born_ms },
                ..known.clone()
            },
            None => entry::TargetEntry::unknown(name.clone(), born_ms),
        };
        self.record_heartbeat(entry, now)
    }

    /// Takes an entry that another registrar sent.
    pub fn merge(&mut self, entry: entry::TargetEntry, now: time::Instant) {
        let name = entry.name.clone();
        let newer = self
            .roster
            .get(&name)
            .is_none_or(|known| entry.supersedes(known));
        if newer {
            self.heard.remove(&name);
            self.restored.remove(&name);
            if self.role_changes.settle(&entry) {
                self.note_role_changes();
            }
            if self.roster.merge(entry, now) {
                self.note(name);
            }
        }
    }

    /// Notes that an engine is ordered another role, so that watchers send it no new calls until
    /// it reports that role, or until the given time.
    pub fn begin_role_change(
        &mut self,
        engine: usher_types::TargetName,
        role: usher_types::EngineRole,
        until: time::Instant,
    ) {
        self.role_changes.begin(engine, role, until);
        self.note_role_changes();
    }

    /// Notes that an engine keeps its role; returns whether watchers must hear of it.
    pub fn end_role_change(&mut self, engine: &usher_types::TargetName) -> bool {
        let ended = self.role_changes.end(engine);
        if ended {
            self.note_role_changes();
        }
        ended
    }

    /// Returns the role that an engine was ordered and hasn't reported yet.
    pub fn ordered_role(
        &self,
        engine: &usher_types::TargetName,
    ) -> Option<usher_types::EngineRole> {
        self.role_changes.role(engine)
    }

    /// Returns the engines whose role changes, if the list differs from that at a cursor.
    pub fn role_changes_since(&self, cursor: u64) -> Option<Vec<usher_types::TargetName>> {
        let engines = || self.role_changes.engines().cloned().collect();
        (self.role_changes_changed > cursor).then(engines)
    }

    /// Takes a target that was known before a restart. It is used until it turns out to be silent:
    /// most targets live on when the system's own processes are restarted.
    pub fn restore(&mut self, entry: entry::TargetEntry, now: time::Instant) {
        let name = entry.name.clone();
        if self.roster.merge(entry, now) {
            self.restored.insert(name.clone(), now);
            self.note(name);
        }
    }

    /// Marks targets that have been silent for too long; returns them.
    pub fn expire(&mut self, now: time::Instant) -> Vec<usher_types::TargetName> {
        self.roster.forget(now);
        if self.role_changes.expire(now) {
            self.note_role_changes();
        }
        let due =
            |heard: &time::Instant| now.saturating_duration_since(*heard) >= self.silent_after;
        let heard = self.heard.iter().chain(&self.restored);
        let silent: Vec<_> = heard
            .filter(|(_, heard)| due(heard))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &silent {
            self.heard.remove(name);
            self.restored.remove(name);
            if let Some(known) = self.roster.get(name) {
                let entry = entry::TargetEntry {
                    silent: true,
                    ..known.clone()
                };
                if self.roster.merge(entry, now) {
                    self.note(name.clone());
                }
            }
        }
        silent
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the entries that changed behind a cursor; with `own_only`, only those that this
    /// registrar hears itself or heard last.
    pub fn changes_since(
        &self,
        cursor: u64,
        own_only: bool,
    ) -> impl Iterator<Item = &entry::TargetEntry> {
        self.changed
            .iter()
            .filter(move |(_, number)| **number > cursor)
            .filter_map(|(name, _)| self.roster.get(name))
            .filter(move |entry| {
                !own_only || !entry.takes_work() || self.heard.contains_key(&entry.name)
            })
    }

    /// Returns the known entries.
    pub fn roster(&self) -> &roster::TargetRoster {
        &self.roster
    }

    fn note_role_changes(&mut self) {
        self.last_change += 1;
        self.role_changes_changed = self.last_change;
    }

    fn note(&mut self, name: usher_types::TargetName) {
        self.last_change += 1;
        self.changed.insert(name, self.last_change);
    }
}
