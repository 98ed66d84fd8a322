//! Engines that were ordered to change their role and have not reported the new one. Not for:
//! giving orders.

use std::{collections, time};

use usher_types::EngineRole;

use crate::entry;

#[derive(Clone, Debug)]
struct RoleChange {
    role: EngineRole,
    until: time::Instant,
}

/// The role changes in progress. An engine refuses new calls during one, and its heartbeats state
/// the old role until it is complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoleChangeList {
    changes: collections::BTreeMap<usher_types::TargetName, RoleChange>,
}

impl RoleChangeList {
    /// Adds a role change, which ends at the given time if it isn't reported before.
    pub(crate) fn begin(
        &mut self,
        engine: usher_types::TargetName,
        role: EngineRole,
        until: time::Instant,
    ) {
        self.changes.insert(engine, RoleChange { role, until });
    }

    /// Removes a role change; returns whether it was in progress.
    pub(crate) fn end(&mut self, engine: &usher_types::TargetName) -> bool {
        self.changes.remove(engine).is_some()
    }

    /// Removes the change of an engine that reports its new role, or has ended; returns whether
    /// there was one.
    pub(crate) fn complete(&mut self, entry: &entry::TargetEntry) -> bool {
        let change = self.changes.get(&entry.name);
        let done = change.is_some_and(|change| {
            entry.role == Some(change.role) || entry.phase != entry::TargetPhase::Ready
        });
        done && self.end(&entry.name)
    }

    /// Removes the changes that were not reported in time; returns whether there were any.
    pub(crate) fn expire(&mut self, now: time::Instant) -> bool {
        let before = self.changes.len();
        self.changes.retain(|_, change| now < change.until);
        self.changes.len() != before
    }

    /// Returns the engines whose role is changing.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &usher_types::TargetName> {
        self.changes.keys()
    }

    /// Returns the new role of an engine whose role is changing.
    pub(crate) fn role(&self, engine: &usher_types::TargetName) -> Option<EngineRole> {
        self.changes.get(engine).map(|change| change.role)
    }
}
