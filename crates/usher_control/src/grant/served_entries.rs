//! The entries that keep their stream to this node. Not for: what the leader knows of them.

use std::{collections, time};

use usher_wire::message;

use crate::plan;

/// How long an entry is listed after its last heartbeat.
const LIST_TIME: time::Duration = time::Duration::from_secs(5);

/// How long an announcement is relayed again until the registry shows it.
const ANNOUNCE_TIME: time::Duration = time::Duration::from_secs(10);

/// How often shares are sent to an entry; it uses them for as long as the right that they come
/// with, so that they needn't come with each heartbeat.
const SHARE_INTERVAL: time::Duration = time::Duration::from_millis(900);

/// How old shares from the leader may be when they are passed on.
const SHARE_AGE: time::Duration = plan::RELAY_CONFIRM;

/// How many demands of one heartbeat are taken, the largest first. They go into every relay and
/// the leader's share table; a sheet of 170 rows, the size that is measured, names fewer services.
const MAX_DEMANDS: usize = 256;

type EntryLife = (String, u64);

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

/// What this node relays from its entries to the leader and back.
#[derive(Debug, Default)]
pub(crate) struct ServedEntries {
    entries: collections::BTreeMap<EntryLife, ServedEntry>,
    announced: collections::BTreeMap<String, (message::TargetRecord, time::Instant)>,
    outgoing: collections::BTreeMap<String, (message::LoadReport, time::Instant)>,
    shares: collections::BTreeMap<EntryLife, (Vec<message::CapacityShare>, time::Instant)>,
    pub(crate) board: plan::LoadBoard,
    pub(crate) issuer: plan::RightIssuer,
    /// The leader that the relay talks to, and the newest load of its board that is known here.
    pub(crate) leader: Option<(usher_types::NodeName, usher_types::TermNumber)>,
    pub(crate) loads_seen: u64,
}

impl ServedEntries {
    /// Takes what an entry's heartbeat brings.
    pub(crate) fn take(
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
            self.board.take(report.clone(), region, now);
            self.outgoing.insert(report.target.clone(), (report, now));
        }
        let life = (entry.name, entry.incarnation);
        let served = self.entries.entry(life).or_insert_with(|| ServedEntry {
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
        served.demands = capped(request.demands);
        served.stopping = request.stopping;
        served.config_version = request.config_version;
    }

    /// Returns the loads that an entry gets, and notes that it got them.
    pub(crate) fn loads_for(
        &mut self,
        entry: &message::NodeIdentity,
        now: time::Instant,
    ) -> Vec<message::LoadReport> {
        let life = (entry.name.clone(), entry.incarnation);
        let Some(served) = self.entries.get_mut(&life) else {
            return Vec::new();
        };
        let seen = std::mem::replace(&mut served.loads_seen, self.board.number());
        let subset = &mut served.subset;
        self.board
            .for_entry(&entry.name, &served.region, subset, seen, now)
    }

    /// Returns the shares that the leader gave an entry, when they are fresh and due.
    pub(crate) fn shares_for(
        &mut self,
        entry: &message::NodeIdentity,
        now: time::Instant,
    ) -> Vec<message::CapacityShare> {
        let life = (entry.name.clone(), entry.incarnation);
        let fresh = self
            .shares
            .get(&life)
            .filter(|(_, given)| now.saturating_duration_since(*given) < SHARE_AGE);
        let (Some((shares, _)), Some(served)) = (fresh, self.entries.get_mut(&life)) else {
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

    /// Returns how many entries are served.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Makes the next message to the leader; loads in it are taken out and not sent again.
    pub(crate) fn request(
        &mut self,
        node: message::NodeIdentity,
        now: time::Instant,
    ) -> message::RelayRequest {
        let age = |from: time::Instant| now.saturating_duration_since(from);
        self.entries.retain(|_, entry| age(entry.seen) < LIST_TIME);
        self.announced
            .retain(|_, (_, since)| age(*since) < ANNOUNCE_TIME);
        self.shares.retain(|_, (_, given)| age(*given) < SHARE_AGE);
        self.board.forget_old(now);
        let entries = self.entries.iter().map(|(life, entry)| {
            let identity = message::NodeIdentity {
                name: life.0.clone(),
                incarnation: life.1,
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
        let loads = loads.map(|(report, taken)| message::LoadReport {
            age_ms: report.age_ms + age(taken).as_millis() as u64,
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

    /// Drops announcements that the registry shows.
    pub(crate) fn settle(&mut self, targets: &usher_state::TargetTable) {
        self.announced.retain(|name, (record, _)| {
            let slot = targets.find(name);
            !slot.is_some_and(|slot| super::leader_desk::is_known(slot, record))
        });
    }

    /// Takes the answer of the leader to a request sent at `sent`.
    pub(crate) fn answer(
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
            self.board.take(report, region, now);
        }
        for given in reply.shares {
            if let Some(entry) = given.entry {
                let life = (entry.name, entry.incarnation);
                self.shares.insert(life, (given.shares, sent));
            }
        }
    }
}

/// Returns the largest demands, at most [`MAX_DEMANDS`].
fn capped(mut demands: Vec<message::ServiceDemand>) -> Vec<message::ServiceDemand> {
    if demands.len() > MAX_DEMANDS {
        let amount = super::leader_desk::demand_amount;
        demands.sort_by(|a, b| amount(b).total_cmp(&amount(a)));
        demands.truncate(MAX_DEMANDS);
    }
    demands
}
