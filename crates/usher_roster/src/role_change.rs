//! Engines that were ordered another role and haven't reported it yet. Not for: giving orders.

use std::{collections, time};

use usher_types::EngineRole;

use crate::entry;

#[derive(Clone, Debug)]
struct RoleChange {
    role: EngineRole,
    until: time::Instant,
}

/// The changes of role that are under way. An engine refuses new calls during one, and its
/// heartbeats tell the old role until it is done.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoleChangeList {
    changes: collections::BTreeMap<usher_types::TargetName, RoleChange>,
}

impl RoleChangeList {
    /// Notes that an engine gets a role, for as long as its report may take.
    pub(crate) fn begin(
        &mut self,
        engine: usher_types::TargetName,
        role: EngineRole,
        until: time::Instant,
    ) {
        self.changes.insert(engine, RoleChange { role, until });
    }

    /// Forgets a change; returns whether it was under way.
    pub(crate) fn end(&mut self, engine: &usher_types::TargetName) -> bool {
        self.changes.remove(engine).is_some()
    }

    /// Ends the change of an engine that reports its new role, or has ended; returns whether it
    /// did.
    pub(crate) fn settle(&mut self, entry: &entry::TargetEntry) -> bool {
        let change = self.changes.get(&entry.name);
        let done = change.is_some_and(|change| {
            entry.role == Some(change.role) || entry.phase != entry::TargetPhase::Ready
        });
        done && self.end(&entry.name)
    }

    /// Ends the changes of engines that didn't report in time; returns whether there were any.
    pub(crate) fn expire(&mut self, now: time::Instant) -> bool {
        let before = self.changes.len();
        self.changes.retain(|_, change| now < change.until);
        self.changes.len() != before
    }

    /// Returns the engines.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &usher_types::TargetName> {
        self.changes.keys()
    }

    /// Returns the role that an engine gets.
    pub(crate) fn role(&self, engine: &usher_types::TargetName) -> Option<EngineRole> {
        self.changes.get(engine).map(|change| change.role)
    }
}
