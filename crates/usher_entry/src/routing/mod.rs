//! Routing state of an entry behind one lock: targets, the decision policy and demand.
//!
//! Not for: I/O.

mod convert;

use std::{collections, net, time};

use usher_policy::{FailureKind, RegistryChange, TargetSlot};
use usher_types::{IncarnationId, TargetKind, TargetName};
use usher_wire::message;

use crate::{announce, config, options, policy};

/// Maximum age assumed for a load report; an older timestamp comes from a wrong clock.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_secs(5);

/// Time after its last announcement for which a record is sent to control: three announcement
/// intervals of 1 s. Without a limit, a record that control refuses would be sent forever and
/// would bring a target that is gone back into the registry.
const ANNOUNCEMENT_TTL: time::Duration = time::Duration::from_secs(3);

/// The data of a registered target that the policy doesn't hold.
#[derive(Clone, Debug)]
pub(crate) struct RegisteredTarget {
    pub(crate) address: net::SocketAddr,
    pub(crate) incarnation: IncarnationId,
    pub(crate) record: message::TargetRecord,
    last_seen: time::Instant,
    liveness: Liveness,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Liveness {
    Live,
    Suspect,
    Gone,
}

/// Demand for a service since the last heartbeat.
#[derive(Clone, Copy, Debug, Default)]
struct DemandCount {
    requests: u64,
    prefill: u64,
    output: u64,
}

/// A registry snapshot or delta received from control.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegistryUpdate {
    pub(crate) version: u64,
    pub(crate) records: Vec<message::TargetRecord>,
    /// Whether this is a delta that lists only changes.
    pub(crate) partial: bool,
    /// Targets removed by a delta.
    pub(crate) gone: Vec<String>,
}

/// State that routing decisions read and events update.
#[derive(Debug)]
pub(crate) struct RoutingState<D> {
    pub(crate) policy: D,
    targets: collections::BTreeMap<TargetName, RegisteredTarget>,
    // Records announced to this entry that aren't registered yet, with the time of the last
    // announcement.
    announced: collections::BTreeMap<TargetName, (message::TargetRecord, time::Instant)>,
    loads: collections::BTreeMap<TargetName, (time::Instant, message::LoadReport)>,
    demands: collections::BTreeMap<usher_types::ServiceName, DemandCount>,
    // Services listed in the sheet, which may have no target yet.
    sheet_services: collections::BTreeSet<usher_types::ServiceName>,
    sheet_version: Option<usher_types::ConfigVersion>,
    registry_version: u64,
    honor_leaving: bool,
    suspect_after: time::Duration,
    gone_after: time::Duration,
}

impl<D> RoutingState<D>
where
    D: policy::DecisionPolicy,
{
    pub(crate) fn new(policy: D, options: &options::EntryOptions) -> Self {
        Self {
            policy,
            targets: collections::BTreeMap::new(),
            announced: collections::BTreeMap::new(),
            loads: collections::BTreeMap::new(),
            demands: collections::BTreeMap::new(),
            sheet_services: collections::BTreeSet::new(),
            sheet_version: None,
            registry_version: 0,
            honor_leaving: !options.disabled.leaving,
            suspect_after: options.suspect_after,
            gone_after: options.gone_after,
        }
    }

    /// Applies an announcement received by this entry.
    pub(crate) fn apply_announcement(
        &mut self,
        announcement: &announce::Announcement,
        wall_ms: u64,
        now: time::Instant,
    ) {
        let record = convert::to_target_record(announcement);
        let name = announcement.name.clone();
        let age = wall_ms.saturating_sub(announcement.load.at_ms);
        let age = time::Duration::from_millis(age).min(MAX_REPORT_AGE);
        let load = convert::to_load_report(announcement);
        self.loads.insert(name.clone(), (now - age, load.clone()));
        let mut is_new = true;
        if let Some(target) = self.targets.get_mut(&name) {
            is_new = !convert::registry_matches(&target.record, &record);
            if target.incarnation == announcement.incarnation {
                target.last_seen = now;
                self.mark_live(&name);
                self.apply_load_report(&name, &load, now - age);
                if announcement.leaving && self.honor_leaving {
                    self.policy
                        .on_registry(RegistryChange::Leaving(name.clone()));
                }
            } else {
                // The registered incarnation is gone; the new one isn't used until control
                // registers it.
                self.set_liveness(&name, Liveness::Suspect);
            }
        }
        // What the target said in an answer holds, whatever it announces.
        let has_said_leaving = self.announced.get(&name).is_some_and(|(pending, _)| {
            pending.incarnation == record.incarnation && pending.leaving
        });
        if is_new {
            let leaving = record.leaving || has_said_leaving;
            let record = message::TargetRecord { leaving, ..record };
            self.announced.insert(name, (record, now));
        } else if !has_said_leaving {
            // A pending record of this incarnation is outdated; one of another incarnation may
            // be newer.
            self.announced.retain(|other, (pending, _)| {
                *other != name || pending.incarnation != record.incarnation
            });
        }
    }

    /// Records that an incarnation of a target has said in an answer that it is leaving, and sends
    /// the mark to control; returns whether it counted as taking work so far.
    pub(crate) fn mark_leaving(
        &mut self,
        name: &TargetName,
        incarnation: IncarnationId,
        now: time::Instant,
    ) -> bool {
        let target = self.targets.get(name);
        let Some(target) = target.filter(|target| target.incarnation == incarnation) else {
            return false;
        };
        let is_pending = |(pending, _): &(message::TargetRecord, _)| {
            pending.leaving && pending.incarnation == incarnation.get()
        };
        if target.record.leaving || self.announced.get(name).is_some_and(is_pending) {
            return false;
        }
        if self.honor_leaving {
            self.policy
                .on_registry(RegistryChange::Leaving(name.clone()));
        }
        let record = message::TargetRecord {
            leaving: true,
            ..target.record.clone()
        };
        self.announced.insert(name.clone(), (record, now));
        true
    }

    /// Records that an incarnation of a target wants no request of this entry for a time.
    pub(crate) fn request_pause(
        &mut self,
        name: &TargetName,
        incarnation: IncarnationId,
        length: time::Duration,
        now: time::Instant,
    ) {
        if self.incarnation(name) == Some(incarnation) {
            self.policy.on_pause(name, length, now);
        }
    }

    /// Returns whether a target wants no request at present.
    pub(crate) fn wants_pause(&self, name: &TargetName, now: time::Instant) -> bool {
        self.policy.wants_pause(name, now)
    }

    /// Returns the registered incarnation of a target.
    pub(crate) fn incarnation(&self, name: &TargetName) -> Option<IncarnationId> {
        self.targets.get(name).map(|target| target.incarnation)
    }

    /// Applies the registry of a heartbeat reply: a full snapshot, or a delta to the current
    /// version.
    pub(crate) fn apply_registry(&mut self, update: RegistryUpdate, now: time::Instant) {
        self.registry_version = update.version;
        let mut removed: collections::BTreeSet<_> = if update.partial {
            update.gone.into_iter().map(TargetName::new).collect()
        } else {
            self.targets.keys().cloned().collect()
        };
        for record in update.records {
            let name = TargetName::new(record.name.clone());
            // A target whose record is invalid is removed.
            if self.apply_record(record, now) {
                removed.remove(&name);
            } else {
                removed.insert(name);
            }
        }
        for name in removed {
            if self.targets.remove(&name).is_some() {
                self.policy.on_registry(RegistryChange::Gone(name));
            }
        }
    }

    /// Applies the record of one target; returns `false` if it is invalid.
    fn apply_record(&mut self, record: message::TargetRecord, now: time::Instant) -> bool {
        let Some((info, address)) = convert::to_target_info(&record, self.honor_leaving) else {
            tracing::warn!(
                target = record.name,
                "ignoring an invalid target record from the registry"
            );
            return false;
        };
        let previous = self.targets.remove(&info.name);
        let same_incarnation = previous
            .as_ref()
            .filter(|target| target.incarnation == info.incarnation);
        let last_seen = same_incarnation.map_or(now, |target| target.last_seen);
        let liveness = same_incarnation.map_or(Liveness::Live, |target| target.liveness);
        let changed = same_incarnation.is_none_or(|target| target.record != record);
        let target = RegisteredTarget {
            address,
            incarnation: info.incarnation,
            record,
            last_seen,
            liveness,
        };
        let name = info.name.clone();
        if changed {
            self.policy.on_registry(RegistryChange::Put(info));
            if liveness == Liveness::Suspect {
                self.policy
                    .on_registry(RegistryChange::Suspect(name.clone()));
            }
        }
        self.announced.retain(|announced, (record, _)| {
            *announced != name || !convert::registry_matches(&target.record, record)
        });
        self.targets.insert(name, target);
        true
    }

    /// Applies load reports that reached control through other entries.
    pub(crate) fn apply_load_reports(
        &mut self,
        loads: Vec<message::LoadReport>,
        now: time::Instant,
    ) {
        for load in loads {
            let name = TargetName::new(load.target.clone());
            let age = time::Duration::from_millis(load.age_ms);
            let Some(at) = now.checked_sub(age) else {
                continue;
            };
            let Some(target) = self.targets.get_mut(&name) else {
                continue;
            };
            if target.incarnation.get() != load.incarnation || at <= target.last_seen {
                continue;
            }
            target.last_seen = at;
            self.mark_live(&name);
            self.apply_load_report(&name, &load, at);
        }
    }

    fn mark_live(&mut self, name: &TargetName) {
        self.set_liveness(name, Liveness::Live);
    }

    fn apply_load_report(
        &mut self,
        name: &TargetName,
        load: &message::LoadReport,
        taken_at: time::Instant,
    ) {
        let report = usher_policy::LoadReport {
            taken_at,
            running: load.running,
            waiting: load.waiting,
            prefill_waiting: usher_types::TokenCount::new(load.prefill_tokens_waiting),
            pieces_used: usher_types::PieceCount::new(load.kv_pieces_used),
        };
        self.policy.on_report(name, &report);
    }

    /// Marks targets without a recent announcement or report as suspect or gone.
    pub(crate) fn update_liveness(&mut self, now: time::Instant) {
        let changes: Vec<_> = self
            .targets
            .iter()
            .filter_map(|(name, target)| {
                let silence = now.saturating_duration_since(target.last_seen);
                if silence >= self.gone_after {
                    Some((name.clone(), Liveness::Gone))
                } else if silence >= self.suspect_after {
                    Some((name.clone(), Liveness::Suspect))
                } else {
                    None
                }
            })
            .collect();
        for (name, liveness) in changes {
            self.set_liveness(&name, liveness);
        }
    }

    fn set_liveness(&mut self, name: &TargetName, liveness: Liveness) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        if target.liveness == liveness {
            return;
        }
        target.liveness = liveness;
        let change = match liveness {
            Liveness::Live => {
                let info = convert::to_target_info(&target.record, self.honor_leaving);
                let Some((info, _)) = info else {
                    return;
                };
                RegistryChange::Put(info)
            }
            Liveness::Suspect => RegistryChange::Suspect(name.clone()),
            Liveness::Gone => RegistryChange::Gone(name.clone()),
        };
        tracing::info!(target = %name, standing = ?liveness, "target changed");
        self.policy.on_registry(change);
    }

    /// Returns the name and the registered data of a chosen target.
    pub(crate) fn target(&self, slot: TargetSlot) -> Option<(TargetName, &RegisteredTarget)> {
        let info = self.policy.target(slot)?;
        let target = self.targets.get(&info.name)?;
        Some((info.name.clone(), target))
    }

    /// Returns the live engines of a region, for polling their cache events.
    pub(crate) fn live_engines(&self, region: &str) -> Vec<(TargetName, net::SocketAddr)> {
        let engine = TargetKind::Engine.to_string();
        self.targets
            .iter()
            .filter(|(_, target)| {
                target.liveness == Liveness::Live
                    && target.record.kind == engine
                    && target.record.region == region
            })
            .map(|(name, target)| (name.clone(), target.address))
            .collect()
    }

    /// Returns the records of all targets.
    pub(crate) fn records(&self) -> impl Iterator<Item = &message::TargetRecord> {
        self.targets.values().map(|target| &target.record)
    }

    /// Returns the number of live targets of a service.
    pub(crate) fn live_count(&self, service: &str) -> usize {
        let targets = self.targets.values();
        targets
            .filter(|target| target.liveness == Liveness::Live && target.record.service == service)
            .count()
    }

    pub(crate) fn registry_version(&self) -> u64 {
        self.registry_version
    }

    /// Returns the announced records and load reports for the next heartbeat.
    pub(crate) fn pending_reports(
        &mut self,
        now: time::Instant,
    ) -> (Vec<message::TargetRecord>, Vec<message::LoadReport>) {
        self.announced
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < ANNOUNCEMENT_TTL);
        let announced = self.announced.values().map(|(record, _)| record.clone());
        let loads = self.loads.values().map(|(at, load)| {
            let age = now.saturating_duration_since(*at).as_millis();
            message::LoadReport {
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
                ..load.clone()
            }
        });
        (announced.collect(), loads.collect())
    }

    /// Discards load reports that control has received.
    pub(crate) fn discard_reported(&mut self, up_to: time::Instant) {
        self.loads.retain(|_, (at, _)| *at > up_to);
    }

    /// Updates the services of the sheet, so that their demand is counted.
    pub(crate) fn apply_sheet(&mut self, config: &config::ConfigState) {
        if self.sheet_version == Some(config.version) {
            return;
        }
        self.sheet_version = Some(config.version);
        self.sheet_services = config.sheet.services().into_iter().cloned().collect();
    }

    /// Counts the demand of a call if the registry or the sheet contains its service. Callers can
    /// make up any number of other names, which would bloat the heartbeats.
    pub(crate) fn count_demand(&mut self, request: &usher_policy::CallRequest) {
        if !self.demands.contains_key(&request.service) && !self.knows_service(&request.service) {
            return;
        }
        let demand = match self.demands.get_mut(&request.service) {
            Some(demand) => demand,
            None => self.demands.entry(request.service.clone()).or_default(),
        };
        demand.requests += 1;
        demand.prefill += request.prompt.get();
        demand.output += request.output.get();
    }

    fn knows_service(&self, service: &usher_types::ServiceName) -> bool {
        self.sheet_services.contains(service)
            || self
                .records()
                .any(|record| record.service == service.as_str())
    }

    /// Returns the demand per second since the last call.
    pub(crate) fn take_demands(&mut self, elapsed: time::Duration) -> Vec<message::ServiceDemand> {
        let seconds = elapsed.as_secs_f64().max(0.001);
        let demands = std::mem::take(&mut self.demands);
        let demands = demands
            .into_iter()
            .map(|(service, count)| message::ServiceDemand {
                service: service.to_string(),
                requests: count.requests as f64 / seconds,
                prefill_tokens: count.prefill as f64 / seconds,
                output_tokens: count.output as f64 / seconds,
            });
        demands.collect()
    }

    pub(crate) fn fail(
        &mut self,
        attempt: usher_policy::AttemptId,
        kind: FailureKind,
        now: time::Instant,
    ) {
        self.policy.on_failed(attempt, kind, now);
    }
}
