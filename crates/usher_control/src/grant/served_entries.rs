//! State of the entries that send their heartbeats to this node. Not for: the leader's view of
//! them.

use std::{collections, time};

use usher_wire::message;

use crate::plan;

/// Time after its last heartbeat for which an entry is reported to the leader.
const ENTRY_TTL: time::Duration = time::Duration::from_secs(5);

/// Time for which an announcement is relayed repeatedly while the registry doesn't contain it.
const ANNOUNCEMENT_TTL: time::Duration = time::Duration::from_secs(10);

/// Interval at which shares are sent to an entry. An entry uses them for the duration of the right
/// that they are sent with, so not every reply needs them.
const SHARE_INTERVAL: time::Duration = time::Duration::from_millis(900);

/// Largest age of shares from the leader that are passed on to entries.
const MAX_SHARE_AGE: time::Duration = plan::MAX_CONFIRMATION_AGE;

/// Largest number of demands accepted from one heartbeat; the largest demands are kept. They are
/// part of every relay request and of the leader's share table. A sheet of 170 rows, the size used
/// in benchmarks, has fewer services.
const MAX_DEMANDS: usize = 256;

/// Name and incarnation of an entry.
type EntryId = (String, u64);

#[derive(Debug)]
struct ServedEntry {
    region: String,
    seen: time::Instant,
    demands: Vec<message::ServiceDemand>,
    stopping: bool,
    config_version: u64,
    loads_seen: u64,
    subset: plan::LoadSubset,
    shares_sent: Option<time::Instant>,
}

/// Data that this node relays between its entries and the leader.
#[derive(Debug, Default)]
pub(crate) struct ServedEntries {
    entries: collections::BTreeMap<EntryId, ServedEntry>,
    announced: collections::BTreeMap<String, (message::TargetRecord, time::Instant)>,
    /// Load reports not sent to the leader yet, and when they were received.
    outgoing: collections::BTreeMap<String, (message::LoadReport, time::Instant)>,
    shares: collections::BTreeMap<EntryId, (Vec<message::CapacityShare>, time::Instant)>,
    pub(crate) load_table: plan::LoadTable,
    pub(crate) issuer: plan::RightIssuer,
    /// Leader to which the relay reports.
    pub(crate) leader: Option<(usher_types::NodeName, usher_types::TermNumber)>,
    /// Sequence number of the newest load report received from that leader.
    pub(crate) loads_seen: u64,
}

impl ServedEntries {
    /// Applies the heartbeat of an entry.
    pub(crate) fn apply_heartbeat(
        &mut self,
        request: message::SyncRequest,
        regions: &collections::HashMap<String, String>,
        now: time::Instant,
    ) {
        let Some(entry) = request.entry else {
            return;
        };
        for record in request.announced {
            self.announced.insert(record.name.clone(), (record, now));
        }
        for report in request.loads {
            let region = regions.get(&report.target).unwrap_or(&request.region);
            self.load_table.insert(report.clone(), region, now);
            self.outgoing.insert(report.target.clone(), (report, now));
        }
        let id = (entry.name, entry.incarnation);
        let served = self.entries.entry(id).or_insert_with(|| ServedEntry {
            region: String::new(),
            seen: now,
            demands: Vec::new(),
            stopping: false,
            config_version: 0,
            loads_seen: 0,
            subset: plan::LoadSubset::default(),
            shares_sent: None,
        });
        served.region = request.region;
        served.seen = now;
        served.demands = largest_demands(request.demands);
        served.stopping = request.stopping;
        served.config_version = request.config_version;
    }

    /// Returns the load reports to send to an entry, and marks them as seen by it.
    pub(crate) fn loads_for(
        &mut self,
        entry: &message::NodeIdentity,
        now: time::Instant,
    ) -> Vec<message::LoadReport> {
        let id = (entry.name.clone(), entry.incarnation);
        let Some(served) = self.entries.get_mut(&id) else {
            return Vec::new();
        };
        let seen = std::mem::replace(&mut served.loads_seen, self.load_table.last_sequence());
        let subset = &mut served.subset;
        self.load_table
            .for_entry(&entry.name, &served.region, subset, seen, now)
    }

    /// Returns the shares that the leader granted an entry, if they are fresh and due to be sent.
    pub(crate) fn shares_for(
        &mut self,
        entry: &message::NodeIdentity,
        now: time::Instant,
    ) -> Vec<message::CapacityShare> {
        let id = (entry.name.clone(), entry.incarnation);
        let fresh = self
            .shares
            .get(&id)
            .filter(|(_, granted)| now.saturating_duration_since(*granted) < MAX_SHARE_AGE);
        let (Some((shares, _)), Some(served)) = (fresh, self.entries.get_mut(&id)) else {
            return Vec::new();
        };
        let due = served
            .shares_sent
            .is_none_or(|sent| now.saturating_duration_since(sent) >= SHARE_INTERVAL);
        if !due {
            return Vec::new();
        }
        served.shares_sent = Some(now);
        shares.clone()
    }

    /// Returns the number of served entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Builds the next request to the leader; each load report is sent only once.
    pub(crate) fn next_request(
        &mut self,
        node: message::NodeIdentity,
        now: time::Instant,
    ) -> message::RelayRequest {
        let age = |from: time::Instant| now.saturating_duration_since(from);
        self.entries.retain(|_, entry| age(entry.seen) < ENTRY_TTL);
        self.announced
            .retain(|_, (_, since)| age(*since) < ANNOUNCEMENT_TTL);
        self.shares
            .retain(|_, (_, granted)| age(*granted) < MAX_SHARE_AGE);
        self.load_table.remove_stale(now);
        let entries = self.entries.iter().map(|(id, entry)| {
            let identity = message::NodeIdentity {
                name: id.0.clone(),
                incarnation: id.1,
            };
            message::EntryPresence {
                entry: Some(identity),
                region: entry.region.clone(),
                age_ms: age(entry.seen).as_millis() as u64,
                demands: entry.demands.clone(),
                stopping: entry.stopping,
                config_version: entry.config_version,
            }
        });
        let loads = std::mem::take(&mut self.outgoing).into_values();
        let loads = loads.map(|(report, received)| message::LoadReport {
            age_ms: report.age_ms + age(received).as_millis() as u64,
            ..report
        });
        message::RelayRequest {
            node: Some(node),
            entries: entries.collect(),
            announced: self
                .announced
                .values()
                .map(|(record, _)| record.clone())
                .collect(),
            loads: loads.collect(),
            loads_seen: self.loads_seen,
        }
    }

    /// Removes announcements that the registry contains.
    pub(crate) fn remove_registered(&mut self, targets: &usher_state::TargetTable) {
        self.announced.retain(|name, (record, _)| {
            let target = targets.find(name);
            !target.is_some_and(|target| super::leader_state::is_known(target, record))
        });
    }

    /// Applies the leader's reply to a request sent at `sent`.
    pub(crate) fn apply_reply(
        &mut self,
        reply: message::RelayReply,
        regions: &collections::HashMap<String, String>,
        sent: time::Instant,
        now: time::Instant,
    ) {
        self.issuer.confirm(sent, reply.commit);
        self.loads_seen = reply.loads_seen;
        for report in reply.loads {
            let region = regions.get(&report.target).map_or("", String::as_str);
            self.load_table.insert(report, region, now);
        }
        for granted in reply.shares {
            if let Some(entry) = granted.entry {
                let id = (entry.name, entry.incarnation);
                self.shares.insert(id, (granted.shares, sent));
            }
        }
    }
}

/// Returns at most [`MAX_DEMANDS`] of the demands, the largest ones.
fn largest_demands(mut demands: Vec<message::ServiceDemand>) -> Vec<message::ServiceDemand> {
    if demands.len() > MAX_DEMANDS {
        let amount = super::leader_state::demand_amount;
        demands.sort_by(|a, b| amount(b).total_cmp(&amount(a)));
        demands.truncate(MAX_DEMANDS);
    }
    demands
}
