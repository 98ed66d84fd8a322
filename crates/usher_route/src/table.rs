//! Finds the route and the team of a call. Not for: choosing its target.

use std::{collections, sync};

use crate::{key, key_digest, rule, sheet, team_rule, team_table};

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: collections::HashMap<String, sync::Arc<rule::RouteRule>>,
    /// Lengths of the prefixes, each with the number of routes that have it.
    lengths: collections::BTreeMap<usize, usize>,
}

impl HostRoutes {
    fn insert(
        &mut self,
        prefix: String,
        rule: sync::Arc<rule::RouteRule>,
    ) -> Option<sync::Arc<rule::RouteRule>> {
        let length = prefix.len();
        let replaced = self.by_prefix.insert(prefix, rule);
        if replaced.is_none() {
            *self.lengths.entry(length).or_default() += 1;
        }
        replaced
    }

    fn remove(&mut self, prefix: &str) -> Option<sync::Arc<rule::RouteRule>> {
        let removed = self.by_prefix.remove(prefix)?;
        if let Some(count) = self.lengths.get_mut(&prefix.len()) {
            *count -= 1;
            if *count == 0 {
                self.lengths.remove(&prefix.len());
            }
        }
        Some(removed)
    }

    /// Returns the route with the longest prefix of a path.
    fn find(&self, path: &str) -> Option<&sync::Arc<rule::RouteRule>> {
        let lengths = self.lengths.range(..=path.len()).rev();
        lengths
            .filter_map(|(length, _)| path.get(..*length))
            .find_map(|prefix| self.by_prefix.get(prefix))
    }
}

/// A validated set of routes with an index by host and prefix.
///
/// A change costs time by its own size: neither it nor a look-up goes through all routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: usher_types::ConfigVersion,
    limits: rule::CallerLimits,
    hosts: collections::HashMap<String, HostRoutes>,
    digest: u64,
    /// Sum of the checksums of the public marks of routes.
    public_digest: u64,
    teams: team_table::TeamTable,
    requires_keys: bool,
}

impl RouteTable {
    /// Makes the index of a validated set.
    pub fn new(sheet: sheet::RouteSheet) -> Self {
        let mut table = Self::default();
        for rule in sheet.routes {
            // Hosts that differ only in case are the same host; the first route has precedence.
            if table.get(&key::RouteKey::of(&rule)).is_none() {
                table.insert(sync::Arc::new(rule));
            }
        }
        let requires_keys = sheet.teams.is_some();
        let teams = team_rule::TeamRule::by_name(sheet.teams.unwrap_or_default());
        for team in teams.into_values() {
            table.teams.insert(sync::Arc::new(team));
        }
        table.complete(sheet.version, sheet.limits, requires_keys);
        table
    }

    /// Returns the version of the set.
    pub fn version(&self) -> usher_types::ConfigVersion {
        self.version
    }

    /// Returns the limits on the requests of callers.
    pub fn limits(&self) -> &rule::CallerLimits {
        &self.limits
    }

    /// Returns the sum of the checksums of all routes. Equal sets have equal digests, in whatever
    /// order they were made.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the sum of the checksums of all teams and of the public marks of routes.
    pub fn access_digest(&self) -> u64 {
        self.teams.digest().wrapping_add(self.public_digest)
    }

    /// Returns whether calls need the key of a team, unless their route is public.
    pub fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the team that has a key.
    pub fn team_of_key(
        &self,
        key: &key_digest::KeyDigest,
    ) -> Option<&sync::Arc<team_rule::TeamRule>> {
        self.teams.of_key(key)
    }

    /// Returns the route of a host, which may include a port, with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<rule::RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            let numeric = port.bytes().all(|digit| digit.is_ascii_digit());
            if numeric {
                name
            } else {
                host
            }
        });
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.find(path)
    }

    /// Returns the route with a key.
    pub(crate) fn get(&self, key: &key::RouteKey) -> Option<&sync::Arc<rule::RouteRule>> {
        self.hosts.get(&key.host)?.by_prefix.get(&key.prefix)
    }

    /// Returns the keys of all routes.
    pub(crate) fn keys(&self) -> impl Iterator<Item = key::RouteKey> + '_ {
        self.hosts.iter().flat_map(|(host, routes)| {
            let prefixes = routes.by_prefix.keys();
            prefixes.map(|prefix| key::RouteKey {
                host: host.clone(),
                prefix: prefix.clone(),
            })
        })
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        let hosts = self.hosts.values();
        hosts.map(|routes| routes.by_prefix.len()).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Adds a route or replaces the one with the same key.
    pub(crate) fn insert(&mut self, rule: sync::Arc<rule::RouteRule>) {
        let key = key::RouteKey::of(&rule);
        let (checksum, public) = (rule.checksum(), rule.public_checksum());
        let routes = self.hosts.entry(key.host).or_default();
        let replaced = routes.insert(key.prefix, rule);
        self.digest = self.digest.wrapping_add(checksum);
        self.public_digest = self.public_digest.wrapping_add(public);
        if let Some(replaced) = replaced {
            self.subtract(&replaced);
        }
    }

    /// Removes the route with a key, if there is one.
    pub(crate) fn remove(&mut self, key: &key::RouteKey) {
        let Some(routes) = self.hosts.get_mut(&key.host) else {
            return;
        };
        let removed = routes.remove(&key.prefix);
        if routes.by_prefix.is_empty() {
            self.hosts.remove(&key.host);
        }
        if let Some(removed) = removed {
            self.subtract(&removed);
        }
    }

    fn subtract(&mut self, rule: &rule::RouteRule) {
        self.digest = self.digest.wrapping_sub(rule.checksum());
        self.public_digest = self.public_digest.wrapping_sub(rule.public_checksum());
    }

    pub(crate) fn teams(&self) -> &team_table::TeamTable {
        &self.teams
    }

    pub(crate) fn teams_mut(&mut self) -> &mut team_table::TeamTable {
        &mut self.teams
    }

    /// Sets the version and what applies to all routes after routes and teams have been changed.
    pub(crate) fn complete(
        &mut self,
        version: usher_types::ConfigVersion,
        limits: rule::CallerLimits,
        requires_keys: bool,
    ) {
        self.version = version;
        self.limits = limits;
        self.requires_keys = requires_keys;
    }
}
