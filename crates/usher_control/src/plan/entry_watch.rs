//! Which entries are alive, as the leader knows it. Not for: their claims.

use std::{collections, time};

use usher_wire::message;

use crate::plan::timing;

type EntryLife = (String, u64);

/// What the leader knows of one life of an entry.
#[derive(Clone, Debug)]
pub struct WatchedEntry {
    /// Region of the entry.
    pub region: String,
    /// When it sent its newest known heartbeat.
    pub seen: time::Instant,
    /// Its newest demands.
    pub demands: Vec<message::ServiceDemand>,
    /// Set when it is stopping.
    pub stopping: bool,
    /// Version of the configuration that it acted on when it sent its newest known heartbeat.
    pub config_version: u64,
}

/// How far a configuration has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigSpread {
    /// Its version.
    pub version: u64,
    /// Set when no entry can act on an older version any more.
    pub everywhere: bool,
    /// Names of the entries that may still act on an older version.
    pub waiting_for: Vec<String>,
}

/// Follows the entries through the reports of all control nodes, while this node leads.
///
/// A node renews rights for up to 1 s after its last answered report. An entry is therefore gone
/// only when it was unseen for [`timing::ENTRY_GONE`], and every node that reported in this
/// leadership has either reported since or been silent for as long.
#[derive(Clone, Debug, Default)]
pub struct EntryWatch {
    since: Option<time::Instant>,
    entries: collections::BTreeMap<EntryLife, WatchedEntry>,
    nodes: collections::BTreeMap<EntryLife, time::Instant>,
    /// Newest configuration version, and when it was noted.
    config: Option<(u64, time::Instant)>,
}

impl EntryWatch {
    /// Makes an empty watch.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts again at the beginning of a leadership.
    pub fn restart(&mut self, now: time::Instant) {
        self.since = Some(now);
        self.entries.clear();
        self.nodes.clear();
    }

    /// Takes the report of a node about the entries that it serves.
    pub fn report(
        &mut self,
        node: &message::NodeIdentity,
        presences: &[message::EntryPresence],
        now: time::Instant,
    ) {
        self.nodes
            .insert((node.name.clone(), node.incarnation), now);
        for presence in presences {
            let Some(entry) = presence.entry.as_ref() else {
                continue;
            };
            let age = time::Duration::from_millis(presence.age_ms);
            let seen = now.checked_sub(age).unwrap_or(now);
            let life = (entry.name.clone(), entry.incarnation);
            let known = self.entries.get(&life).map(|entry| entry.seen);
            if known.is_none_or(|known| known <= seen) {
                let watched = WatchedEntry {
                    region: presence.region.clone(),
                    seen,
                    demands: presence.demands.clone(),
                    stopping: presence.stopping,
                    config_version: presence.config_version,
                };
                self.entries.insert(life, watched);
            }
        }
    }

    /// Notes the newest accepted configuration.
    pub fn note_config(&mut self, version: u64, now: time::Instant) {
        if self.config.is_none_or(|(known, _)| known != version) {
            self.config = Some((version, now));
        }
    }

    /// Returns how far the newest configuration has come; `None` while this node doesn't lead.
    ///
    /// An entry that this leader never heard of may hold a right of the earlier leader, and a
    /// node may give a right on the older version until its confirmation is too old; both are
    /// waited out before the configuration counts as in force everywhere.
    pub fn spread(&self, now: time::Instant) -> Option<ConfigSpread> {
        let (since, (version, noted)) = (self.since?, self.config?);
        let passed = |from: time::Instant| now.saturating_duration_since(from);
        let waiting = self
            .present(now)
            .filter(|(_, entry)| entry.config_version < version);
        let waiting_for: Vec<_> = waiting.map(|(life, _)| life.0.clone()).collect();
        let settled = passed(since) >= timing::ENTRY_GONE
            && passed(noted) >= timing::RELAY_CONFIRM + 2 * timing::RELAY_INTERVAL;
        Some(ConfigSpread {
            version,
            everywhere: settled && waiting_for.is_empty(),
            waiting_for,
        })
    }

    /// Returns whether an entry has certainly lost its routing right.
    pub fn is_gone(&self, name: &str, incarnation: u64, now: time::Instant) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        let past = |from: time::Instant| now.saturating_duration_since(from) >= timing::ENTRY_GONE;
        let life = (name.to_owned(), incarnation);
        let seen = self.entries.get(&life).map_or(since, |entry| entry.seen);
        let nodes_clear = self
            .nodes
            .values()
            .all(|reported| self.reports(*reported, now) || past(*reported));
        past(seen.max(since)) && nodes_clear
    }

    /// Returns whether a node still reports.
    fn reports(&self, reported: time::Instant, now: time::Instant) -> bool {
        now.saturating_duration_since(reported) < 2 * timing::RELAY_INTERVAL
    }

    /// Returns the entries whose right may still hold.
    pub fn present(&self, now: time::Instant) -> impl Iterator<Item = (&EntryLife, &WatchedEntry)> {
        self.entries
            .iter()
            .filter(move |(life, _)| !self.is_gone(&life.0, life.1, now))
    }

    /// Forgets entries that are gone and nodes that have been silent for long.
    pub fn forget_old(&mut self, now: time::Instant) {
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|life| self.is_gone(&life.0, life.1, now))
            .cloned()
            .collect();
        for life in gone {
            self.entries.remove(&life);
        }
        self.nodes.retain(|_, reported| {
            now.saturating_duration_since(*reported) < 2 * timing::ENTRY_GONE
        });
    }
}
