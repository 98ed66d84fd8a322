//! A transfer of changes from a registrar to a gateway. Not for: requesting the parts.

use std::{collections, sync};

use usher_wire::message;

use crate::{error, key, rule, table, team_rule};

/// Collects the parts of a transfer until the set is complete; nothing is in force before.
#[derive(Clone, Debug, Default)]
pub struct RouteTransfer {
    base: usher_types::ConfigVersion,
    /// The newest state of each route that was received; none for a removed one.
    changes: collections::HashMap<key::RouteKey, Option<sync::Arc<rule::RouteRule>>>,
    /// The newest state of each team that was received; none for a removed one.
    teams: collections::HashMap<usher_types::TeamName, Option<sync::Arc<team_rule::TeamRule>>>,
    next: Option<message::RouteCursor>,
}

impl RouteTransfer {
    /// Starts a transfer of the changes since a version; 0 requests all routes.
    pub fn new(base: usher_types::ConfigVersion) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Returns the request for the next part.
    pub fn request(&self) -> message::RouteChangesRequest {
        message::RouteChangesRequest {
            base_version: self.base.get(),
            after: self.next,
        }
    }

    /// Returns the number of routes and teams that have been received.
    pub fn len(&self) -> usize {
        self.changes.len() + self.teams.len()
    }

    /// Returns whether neither a route nor a team has been received.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty() && self.teams.is_empty()
    }

    /// Adds a part; after the last one [`Self::apply`] completes the transfer.
    ///
    /// # Errors
    ///
    /// Fails when the part can't be read or doesn't follow the ones before.
    pub fn add(&mut self, part: &message::RouteChanges) -> Result<(), error::TransferError> {
        if part.first {
            self.changes.clear();
            self.teams.clear();
            self.base = usher_types::ConfigVersion::new(part.base_version);
        } else if self.next.is_none() {
            let change = part.next.map_or(0, |next| next.change);
            return Err(error::TransferError::Gap { change });
        }
        for record in &part.changed {
            let rule = rule::RouteRule::from_message(record)?;
            let key = key::RouteKey::of(&rule);
            self.changes.insert(key, Some(sync::Arc::new(rule)));
        }
        for key in &part.removed {
            self.changes.insert(key::RouteKey::from_message(key), None);
        }
        for record in &part.changed_teams {
            let team = team_rule::TeamRule::from_message(record)?;
            self.teams
                .insert(team.name.clone(), Some(sync::Arc::new(team)));
        }
        for name in &part.removed_teams {
            let name = usher_types::TeamName::new(name.as_str());
            self.teams.insert(name, None);
        }
        self.next = part.next;
        Ok(())
    }

    /// Applies a complete transfer to the routes in force, whose version becomes `version`.
    ///
    /// # Errors
    ///
    /// Fails when the changes apply to another version, or when the result isn't the set of the
    /// sender; `table` is unchanged then.
    pub fn apply(
        self,
        table: &mut table::RouteTable,
        version: usher_types::ConfigVersion,
        last: &message::RouteChanges,
    ) -> Result<(), error::TransferError> {
        let is_complete_set = self.base.get() == 0;
        if !is_complete_set && self.base != table.version() {
            return Err(error::TransferError::Base {
                base: self.base,
                held: table.version(),
            });
        }
        let mut fresh = table::RouteTable::default();
        let held = if is_complete_set { &fresh } else { &*table };
        let digests = [
            (self.digest_after(held), last.digest),
            (self.access_digest_after(held), last.access_digest),
        ];
        for (computed, expected) in digests {
            if computed != expected {
                return Err(error::TransferError::Digest { computed, expected });
            }
        }
        let target = if is_complete_set {
            &mut fresh
        } else {
            &mut *table
        };
        for (key, rule) in self.changes {
            match rule {
                Some(rule) => target.insert(rule),
                None => target.remove(&key),
            }
        }
        for (name, team) in self.teams {
            match team {
                Some(team) => target.teams_mut().insert(team),
                None => target.teams_mut().remove(&name),
            }
        }
        let limits = last.limits.as_ref();
        let limits = limits.map_or_else(rule::CallerLimits::default, |limits| {
            rule::CallerLimits::from_message(limits)
        });
        target.complete(version, limits, last.requires_keys);
        if is_complete_set {
            *table = fresh;
        }
        Ok(())
    }

    /// Returns the digest that a set would have with the changes.
    fn digest_after(&self, held: &table::RouteTable) -> u64 {
        let checksum = |rule: &sync::Arc<rule::RouteRule>| rule.checksum();
        let changes = self.changes.iter();
        changes.fold(held.digest(), |digest, (key, rule)| {
            digest
                .wrapping_sub(held.get(key).map_or(0, checksum))
                .wrapping_add(rule.as_ref().map_or(0, checksum))
        })
    }

    /// Returns the digest of teams and public marks that a set would have with the changes.
    fn access_digest_after(&self, held: &table::RouteTable) -> u64 {
        let public = |rule: &sync::Arc<rule::RouteRule>| rule.public_checksum();
        let team = |team: &sync::Arc<team_rule::TeamRule>| team.checksum();
        let routes = self.changes.iter().map(|(key, rule)| {
            let before = held.get(key).map_or(0, public);
            rule.as_ref().map_or(0, public).wrapping_sub(before)
        });
        let teams = self.teams.iter().map(|(name, rule)| {
            let before = held.teams().get(name).map_or(0, team);
            rule.as_ref().map_or(0, team).wrapping_sub(before)
        });
        let changes = routes.chain(teams);
        changes.fold(held.access_digest(), u64::wrapping_add)
    }
}
