//! Finds the team of a key. Not for: routes.

use std::{collections, sync};

use crate::{key_digest, team_rule};

/// Teams by name and by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamTable {
    by_name: collections::HashMap<usher_types::TeamName, sync::Arc<team_rule::TeamRule>>,
    by_key: collections::HashMap<key_digest::KeyDigest, sync::Arc<team_rule::TeamRule>>,
    digest: u64,
}

impl TeamTable {
    /// Returns the team that has a key.
    pub(crate) fn of_key(
        &self,
        key: &key_digest::KeyDigest,
    ) -> Option<&sync::Arc<team_rule::TeamRule>> {
        self.by_key.get(key)
    }

    pub(crate) fn get(
        &self,
        name: &usher_types::TeamName,
    ) -> Option<&sync::Arc<team_rule::TeamRule>> {
        self.by_name.get(name)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &usher_types::TeamName> {
        self.by_name.keys()
    }

    /// Returns the sum of the checksums of all teams.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Adds a team or replaces the one with the same name.
    pub(crate) fn insert(&mut self, team: sync::Arc<team_rule::TeamRule>) {
        self.remove(&team.name);
        self.digest = self.digest.wrapping_add(team.checksum());
        for key in &team.keys {
            self.by_key.insert(*key, sync::Arc::clone(&team));
        }
        self.by_name.insert(team.name.clone(), team);
    }

    /// Removes the team with a name, if there is one.
    pub(crate) fn remove(&mut self, name: &usher_types::TeamName) {
        let Some(removed) = self.by_name.remove(name) else {
            return;
        };
        self.digest = self.digest.wrapping_sub(removed.checksum());
        for key in &removed.keys {
            // A key that moves between teams may already have its new one.
            if self.by_key.get(key).is_some_and(|team| team.name == *name) {
                self.by_key.remove(key);
            }
        }
    }
}
