//! Tracks on the leader which entries are alive. Not for: their claims.

use std::{collections, time};

use usher_wire::message;

use crate::plan::timing;

/// Name and incarnation of an entry.
type EntryId = (String, u64);

/// State of one incarnation of an entry.
#[derive(Clone, Debug)]
pub struct TrackedEntry {
    /// Region of the entry.
    pub region: String,
    /// When it sent its last known heartbeat.
    pub seen: time::Instant,
    /// Demands in that heartbeat.
    pub demands: Vec<message::ServiceDemand>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Version of the configuration that it used when it sent that heartbeat.
    pub config_version: u64,
}

/// Progress of a configuration change across the entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigRollout {
    /// Version of the configuration.
    pub version: u64,
    /// Whether no entry can still use an older version.
    pub everywhere: bool,
    /// Names of the entries that may still use an older version.
    pub waiting_for: Vec<String>,
}

/// Tracks the entries through the reports of all control nodes while this node is the leader.
///
/// A node renews rights for up to 1 s after its last answered report. An entry therefore counts as
/// gone only if it has not been seen for [`timing::ENTRY_GONE_AFTER`] and every node that has
/// reported to this leader has either reported since or been silent for that long.
#[derive(Clone, Debug, Default)]
pub struct EntryTracker {
    /// Start of this node's latest leadership; `None` before the first one.
    since: Option<time::Instant>,
    entries: collections::BTreeMap<EntryId, TrackedEntry>,
    nodes: collections::BTreeMap<EntryId, time::Instant>,
    /// Newest configuration version, and when this node first saw it.
    config: Option<(u64, time::Instant)>,
}

impl EntryTracker {
    /// Creates an empty tracker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Resets the tracker at the start of a leadership.
    pub fn reset(&mut self, now: time::Instant) {
        self.since = Some(now);
        self.entries.clear();
        self.nodes.clear();
    }

    /// Applies the report of a node about the entries that it serves.
    pub fn record_report(
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
            let id = (entry.name.clone(), entry.incarnation);
            let known = self.entries.get(&id).map(|entry| entry.seen);
            if known.is_none_or(|known| known <= seen) {
                let tracked = TrackedEntry {
                    region: presence.region.clone(),
                    seen,
                    demands: presence.demands.clone(),
                    stopping: presence.stopping,
                    config_version: presence.config_version,
                };
                self.entries.insert(id, tracked);
            }
        }
    }

    /// Records the newest accepted configuration.
    pub fn record_config(&mut self, version: u64, now: time::Instant) {
        if self.config.is_none_or(|(known, _)| known != version) {
            self.config = Some((version, now));
        }
    }

    /// Returns the rollout of the newest configuration; `None` if this node has not been the leader
    /// yet or knows no configuration.
    ///
    /// An entry unknown to this leader may hold a right from the previous leader, and a node may
    /// grant a right based on the older version until its confirmation expires. The configuration
    /// counts as in force everywhere only after both periods have passed.
    pub fn rollout(&self, now: time::Instant) -> Option<ConfigRollout> {
        let (since, (version, recorded)) = (self.since?, self.config?);
        let passed = |from: time::Instant| now.saturating_duration_since(from);
        let waiting = self
            .present(now)
            .filter(|(_, entry)| entry.config_version < version);
        let waiting_for: Vec<_> = waiting.map(|(id, _)| id.0.clone()).collect();
        let settled = passed(since) >= timing::ENTRY_GONE_AFTER
            && passed(recorded) >= timing::MAX_CONFIRMATION_AGE + 2 * timing::RELAY_INTERVAL;
        Some(ConfigRollout {
            version,
            everywhere: settled && waiting_for.is_empty(),
            waiting_for,
        })
    }

    /// Returns whether the routing right of an entry has certainly expired.
    pub fn is_gone(&self, name: &str, incarnation: u64, now: time::Instant) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        let past =
            |from: time::Instant| now.saturating_duration_since(from) >= timing::ENTRY_GONE_AFTER;
        let id = (name.to_owned(), incarnation);
        let seen = self.entries.get(&id).map_or(since, |entry| entry.seen);
        let nodes_clear = self
            .nodes
            .values()
            .all(|reported| self.is_reporting(*reported, now) || past(*reported));
        past(seen.max(since)) && nodes_clear
    }

    /// Returns whether a node that last reported at `reported` is still reporting.
    fn is_reporting(&self, reported: time::Instant, now: time::Instant) -> bool {
        now.saturating_duration_since(reported) < 2 * timing::RELAY_INTERVAL
    }

    /// Returns the entries whose routing right may still be valid.
    pub fn present(&self, now: time::Instant) -> impl Iterator<Item = (&EntryId, &TrackedEntry)> {
        self.entries
            .iter()
            .filter(move |(id, _)| !self.is_gone(&id.0, id.1, now))
    }

    /// Removes entries that are gone, and nodes that have been silent for twice
    /// [`timing::ENTRY_GONE_AFTER`].
    pub fn remove_stale(&mut self, now: time::Instant) {
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|id| self.is_gone(&id.0, id.1, now))
            .cloned()
            .collect();
        for id in gone {
            self.entries.remove(&id);
        }
        self.nodes.retain(|_, reported| {
            now.saturating_duration_since(*reported) < 2 * timing::ENTRY_GONE_AFTER
        });
    }
}
