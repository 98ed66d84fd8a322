//! The change feed of the targets that one registrar knows. Not for: sending it.

use std::{collections, time};

use crate::{entry, role_change, roster};

/// Number of missed heartbeat intervals after which a target is silent. Heartbeats may be up to a
/// second late, and targets that are cut off from this registrar report to another one meanwhile.
const MISSED_HEARTBEATS: u32 = 4;

/// The targets that a registrar knows, each with the number of its last change.
#[derive(Clone, Debug)]
pub struct RosterFeed {
    roster: roster::TargetRoster,
    /// Number of the last change of each target; watchers get those after their cursor.
    changed: collections::BTreeMap<usher_types::TargetName, u64>,
    /// Time of the last heartbeat that this registrar itself received from a target.
    heartbeats: collections::BTreeMap<usher_types::TargetName, time::Instant>,
    /// Targets restored after a restart, with the time of the restore, until a registrar receives a
    /// heartbeat of theirs.
    restored: collections::BTreeMap<usher_types::TargetName, time::Instant>,
    last_change: u64,
    role_changes: role_change::RoleChangeList,
    /// Number of the last change of `role_changes`.
    last_role_change: u64,
    silent_after: time::Duration,
}

impl RosterFeed {
    /// Makes an empty feed of targets that send heartbeats at this interval.
    pub fn new(interval: time::Duration) -> Self {
        Self {
            roster: roster::TargetRoster::new(),
            changed: collections::BTreeMap::new(),
            heartbeats: collections::BTreeMap::new(),
            restored: collections::BTreeMap::new(),
            last_change: 0,
            role_changes: role_change::RoleChangeList::default(),
            last_role_change: 0,
            silent_after: interval * MISSED_HEARTBEATS,
        }
    }

    /// Records a heartbeat that this registrar received; returns whether watchers must be notified.
    pub fn record_heartbeat(&mut self, mut entry: entry::TargetEntry, now: time::Instant) -> bool {
        let name = entry.name.clone();
        if let Some(known) = self.roster.get(&name) {
            // A target that doesn't state its start keeps the known one.
            if entry.born_ms == 0 {
                entry.born_ms = known.born_ms;
            }
            if !entry.supersedes(known) {
                return false;
            }
        }
        // A target that moved here from another registrar is announced again, so that watchers know
        // that it isn't silent.
        let has_moved = self.heartbeats.insert(name.clone(), now).is_none();
        self.restored.remove(&name);
        if entry.phase == entry::TargetPhase::Gone {
            self.heartbeats.remove(&name);
        }
        let completed = self.role_changes.complete(&entry);
        let changed = self.roster.merge(entry, now) || has_moved;
        if changed {
            self.mark_changed(name);
        }
        if completed {
            self.mark_role_changes();
        }
        changed || completed
    }

    /// Records that a target has ended; returns whether watchers must be notified.
    ///
    /// `born_ms` is the start of the process that ended, 0 when not stated. The end of an unknown
    /// target is recorded too, because another registrar may know the target.
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
            None => entry::TargetEntry::ended(name.clone(), born_ms),
        };
        self.record_heartbeat(entry, now)
    }

    /// Records that a target has said to a gateway, in an answer, that it is leaving; returns whether
    /// watchers must be notified.
    pub fn record_leaving(
        &mut self,
        name: &usher_types::TargetName,
        born_ms: u64,
        now: time::Instant,
    ) -> bool {
        if !self.roster.mark_leaving(name, born_ms, now) {
            return false;
        }
        self.restored.remove(name);
        self.mark_changed(name.clone());
        if self.role_changes.end(name) {
            self.mark_role_changes();
        }
        true
    }

    /// Merges an entry that another registrar sent.
    pub fn merge(&mut self, entry: entry::TargetEntry, now: time::Instant) {
        let name = entry.name.clone();
        let newer = self
            .roster
            .get(&name)
            .is_none_or(|known| entry.supersedes(known));
        if newer {
            self.heartbeats.remove(&name);
            self.restored.remove(&name);
            if self.role_changes.complete(&entry) {
                self.mark_role_changes();
            }
            if self.roster.merge(entry, now) {
                self.mark_changed(name);
            }
        }
    }

    /// Records that an engine was ordered to change its role, so that watchers send it no new calls
    /// until it reports that role, or until the given time.
    pub fn begin_role_change(
        &mut self,
        engine: usher_types::TargetName,
        role: usher_types::EngineRole,
        until: time::Instant,
    ) {
        self.role_changes.begin(engine, role, until);
        self.mark_role_changes();
    }

    /// Records that an engine keeps its role; returns whether watchers must be notified.
    pub fn end_role_change(&mut self, engine: &usher_types::TargetName) -> bool {
        let ended = self.role_changes.end(engine);
        if ended {
            self.mark_role_changes();
        }
        ended
    }

    /// Returns the role that an engine was ordered to take and has not reported yet.
    pub fn ordered_role(
        &self,
        engine: &usher_types::TargetName,
    ) -> Option<usher_types::EngineRole> {
        self.role_changes.role(engine)
    }

    /// Returns the engines whose role is changing, if the list has changed after a cursor.
    pub fn role_changes_since(&self, cursor: u64) -> Option<Vec<usher_types::TargetName>> {
        let engines = || self.role_changes.engines().cloned().collect();
        (self.last_role_change > cursor).then(engines)
    }

    /// Adds a target that was known before a restart. One that took work is used until it turns out to
    /// be silent: most targets keep running when the system's own processes are restarted. One that
    /// had left is announced, as the other registrars may have been stopped before they knew.
    pub fn restore(&mut self, entry: entry::TargetEntry, now: time::Instant) {
        let name = entry.name.clone();
        let is_gone = entry.phase == entry::TargetPhase::Gone;
        if self.roster.merge(entry, now) {
            if !is_gone {
                self.restored.insert(name.clone(), now);
            }
            self.mark_changed(name);
        }
    }

    /// Marks targets without a recent heartbeat as silent; returns them.
    pub fn expire(&mut self, now: time::Instant) -> Vec<usher_types::TargetName> {
        self.roster.forget(now);
        if self.role_changes.expire(now) {
            self.mark_role_changes();
        }
        let due = |last: &time::Instant| now.saturating_duration_since(*last) >= self.silent_after;
        let heartbeats = self.heartbeats.iter().chain(&self.restored);
        let silent: Vec<_> = heartbeats
            .filter(|(_, last)| due(last))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &silent {
            self.heartbeats.remove(name);
            self.restored.remove(name);
            if let Some(known) = self.roster.get(name) {
                let entry = entry::TargetEntry {
                    silent: true,
                    ..known.clone()
                };
                if self.roster.merge(entry, now) {
                    self.mark_changed(name.clone());
                }
            }
        }
        silent
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the entries that changed after a cursor; with `own_only`, without the targets that
    /// take work and whose heartbeats this registrar doesn't receive.
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
                !own_only || !entry.takes_work() || self.heartbeats.contains_key(&entry.name)
            })
    }

    /// Returns the known entries.
    pub fn roster(&self) -> &roster::TargetRoster {
        &self.roster
    }

    fn mark_role_changes(&mut self) {
        self.last_change += 1;
        self.last_role_change = self.last_change;
    }

    fn mark_changed(&mut self, name: usher_types::TargetName) {
        self.last_change += 1;
        self.changed.insert(name, self.last_change);
    }
}
