//! The changes between versions of the routes and teams, as a registrar keeps them for gateways. Not for:
//! sending them.

use std::{collections, sync};

use usher_wire::message;

use crate::{key, rule, sheet, table, team_rule};

/// Size of one part of a transfer, in bytes. A part of this size passes a link of 10 Mbit/s in
/// 26 ms, so that it neither delays other messages nor runs into a timeout.
const PART_BYTES: usize = 32 * 1_024;

/// Number of versions from which changes can be requested; a gateway with an older one gets all
/// routes. At 2,400 changes a day these are the versions of 10 hours.
const KEPT_VERSIONS: usize = 1_024;

/// Number of removed routes that are kept beyond the number of existing ones. With more, the feed
/// starts a new epoch without them.
const KEPT_REMOVALS: usize = 1_024;

/// Size of the numbers and field tags of a route's message, in bytes; an upper estimate.
const RECORD_OVERHEAD: usize = 48;

/// Size of the digest of a key with its tag and length, in bytes.
const DIGEST_BYTES: usize = 34;

/// What a change concerns.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum ChangeKey {
    Route(key::RouteKey),
    Team(usher_types::TeamName),
}

/// The routes and teams of a registrar in the order of their last change.
///
/// A transfer sends them in that order. A route or team that changes meanwhile moves to the end and is
/// sent again, so that the transfer ends with the newest version however many changes arrive before
/// its end.
#[derive(Clone, Debug)]
pub struct RouteFeed {
    /// Identifies the numbering of the changes.
    epoch: u64,
    table: table::RouteTable,
    /// Last change of each route and team, also of removed ones.
    changed: collections::HashMap<ChangeKey, u64>,
    order: collections::BTreeMap<u64, ChangeKey>,
    /// Versions that were in force here, each with the number of the last change up to it.
    versions: collections::VecDeque<(usher_types::ConfigVersion, u64)>,
    last_change: u64,
}

impl RouteFeed {
    /// Makes a feed without routes; `epoch` must differ between runs of a process.
    pub fn new(epoch: u64) -> Self {
        Self {
            epoch,
            table: table::RouteTable::default(),
            changed: collections::HashMap::new(),
            order: collections::BTreeMap::new(),
            versions: collections::VecDeque::new(),
            last_change: 0,
        }
    }

    /// Returns the newest version; 0 before the first one.
    pub fn version(&self) -> usher_types::ConfigVersion {
        self.table.version()
    }

    /// Replaces the set by a newer one; returns the number of routes and teams that differ, or `None`
    /// if the set isn't newer.
    pub fn update(&mut self, sheet: sheet::RouteSheet) -> Option<usize> {
        if sheet.version <= self.table.version() {
            return None;
        }
        let mut differences = 0;
        let mut keys = collections::HashSet::with_capacity(sheet.routes.len());
        for rule in sheet.routes {
            let key = key::RouteKey::of(&rule);
            // Hosts that differ only in case are the same host; the first route has precedence.
            if !keys.insert(key.clone()) {
                continue;
            }
            if self.table.get(&key).is_none_or(|known| **known != rule) {
                self.table.insert(sync::Arc::new(rule));
                self.mark_changed(ChangeKey::Route(key));
                differences += 1;
            }
        }
        let removed: Vec<_> = self
            .table
            .keys()
            .filter(|key| !keys.contains(key))
            .collect();
        for key in removed {
            self.table.remove(&key);
            self.mark_changed(ChangeKey::Route(key));
            differences += 1;
        }
        let requires_keys = sheet.teams.is_some();
        let teams = team_rule::TeamRule::by_name(sheet.teams.unwrap_or_default());
        let kept = keys.len() + teams.len();
        differences += self.update_teams(teams);
        self.table
            .complete(sheet.version, sheet.limits, requires_keys);
        if self.order.len() > 2 * kept + KEPT_REMOVALS {
            self.start_epoch();
        }
        self.versions.push_back((sheet.version, self.last_change));
        if self.versions.len() > KEPT_VERSIONS {
            self.versions.pop_front();
        }
        Some(differences)
    }

    fn update_teams(
        &mut self,
        teams: collections::BTreeMap<usher_types::TeamName, team_rule::TeamRule>,
    ) -> usize {
        let known = self.table.teams().names();
        let removed = known.filter(|name| !teams.contains_key(*name));
        let removed: Vec<_> = removed.cloned().collect();
        let mut differences = removed.len();
        for name in removed {
            self.table.teams_mut().remove(&name);
            self.mark_changed(ChangeKey::Team(name));
        }
        for (name, team) in teams {
            let known = self.table.teams().get(&name);
            if known.is_none_or(|known| **known != team) {
                self.table.teams_mut().insert(sync::Arc::new(team));
                self.mark_changed(ChangeKey::Team(name));
                differences += 1;
            }
        }
        differences
    }

    /// Returns the next part of a transfer; all routes and teams if the base version was not in force here.
    pub fn part(&self, request: &message::RouteChangesRequest) -> message::RouteChanges {
        let base = usher_types::ConfigVersion::new(request.base_version);
        let start = self.versions.iter().find(|(version, _)| *version == base);
        let after = request.after.filter(|after| after.epoch == self.epoch);
        let position = match (after, start) {
            (Some(after), _) => after.change,
            (None, Some((_, change))) => *change,
            (None, None) => 0,
        };
        let mut part = message::RouteChanges {
            base_version: start.map_or(0, |(version, _)| version.get()),
            first: after.is_none(),
            limits: Some(self.table.limits().to_message()),
            digest: self.table.digest(),
            access_digest: self.table.access_digest(),
            requires_keys: self.table.requires_keys(),
            ..Default::default()
        };
        let mut bytes = 0;
        let mut reached = position;
        for (number, key) in self.order.range(position.saturating_add(1)..) {
            if bytes >= PART_BYTES {
                break;
            }
            bytes += self.add_change(key, &mut part);
            reached = *number;
        }
        part.last = self
            .order
            .range(reached.saturating_add(1)..)
            .next()
            .is_none();
        part.next = Some(message::RouteCursor {
            epoch: self.epoch,
            change: reached,
        });
        part
    }

    /// Adds the present state of a route or team to a part; returns an estimate of its size in
    /// bytes.
    fn add_change(&self, key: &ChangeKey, part: &mut message::RouteChanges) -> usize {
        match key {
            ChangeKey::Route(key) => match self.table.get(key) {
                Some(rule) => {
                    part.changed.push(rule.to_message());
                    estimate_bytes(rule)
                }
                None => {
                    part.removed.push(key.to_message());
                    key.host.len() + key.prefix.len()
                }
            },
            ChangeKey::Team(name) => match self.table.teams().get(name) {
                Some(team) => {
                    part.changed_teams.push(team.to_message());
                    name.as_str().len() + team.keys.len() * DIGEST_BYTES + RECORD_OVERHEAD
                }
                None => {
                    part.removed_teams.push(name.to_string());
                    name.as_str().len()
                }
            },
        }
    }

    fn mark_changed(&mut self, key: ChangeKey) {
        self.last_change += 1;
        if let Some(before) = self.changed.insert(key.clone(), self.last_change) {
            self.order.remove(&before);
        }
        self.order.insert(self.last_change, key);
    }

    /// Forgets removed routes and teams, and with them the versions and the transfers that need them.
    fn start_epoch(&mut self) {
        self.epoch = self.epoch.wrapping_add(1);
        self.versions.clear();
        let is_held = |key: &ChangeKey| match key {
            ChangeKey::Route(key) => self.table.get(key).is_some(),
            ChangeKey::Team(name) => self.table.teams().get(name).is_some(),
        };
        self.order.retain(|_, key| is_held(key));
        self.changed.retain(|key, _| is_held(key));
    }
}

fn estimate_bytes(rule: &rule::RouteRule) -> usize {
    let services = rule.services.iter();
    let services = services.map(|share| share.service.as_str().len() + 6);
    rule.name.len()
        + rule.host.len()
        + rule.prefix.len()
        + services.sum::<usize>()
        + RECORD_OVERHEAD
}
