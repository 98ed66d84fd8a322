//! State that only the leader keeps, and its answers to relays: live entries, shares, loads and
//! announcements. Not for: orders.

use std::{collections, sync, time};

use usher_wire::message::{self, state_command};

use crate::{fleet, plan};

/// Volatile state of the leader, reset at the start of each leadership.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    term: Option<usher_types::TermNumber>,
    pub(crate) entries: plan::EntryTracker,
    pub(crate) targets: plan::TargetTracker,
    shares: plan::ShareTable,
    loads: plan::LoadTable,
    /// Names of the targets whose announcements are being proposed.
    proposing: collections::BTreeSet<String>,
}

impl LeaderState {
    /// Resets the state when the term changes.
    pub(crate) fn enter_term(&mut self, term: usher_types::TermNumber, now: time::Instant) {
        if self.term == Some(term) {
            return;
        }
        self.term = Some(term);
        self.entries.reset(now);
        self.targets.reset(now);
        self.shares.reset(now);
        self.loads = plan::LoadTable::new();
        self.proposing.clear();
    }

    /// Applies the report of a relay and returns the reply.
    pub(crate) fn apply_report(
        &mut self,
        request: &message::RelayRequest,
        commit: u64,
        now: time::Instant,
    ) -> message::RelayReply {
        let node = request.node.clone().unwrap_or_default();
        self.entries.record_report(&node, &request.entries, now);
        for record in &request.announced {
            self.targets
                .record_report(&record.name, record.incarnation, now);
        }
        for report in &request.loads {
            self.targets
                .record_report(&report.target, report.incarnation, now);
            // The relays choose subsets by region; this table only collects reports.
            self.loads.insert(report.clone(), "", now);
        }
        self.loads.remove_stale(now);
        message::RelayReply {
            commit,
            shares: self.grant_shares(&request.entries, now),
            loads: self.loads.since(request.loads_seen, now),
            loads_seen: self.loads.last_sequence(),
        }
    }

    fn grant_shares(
        &mut self,
        presences: &[message::EntryPresence],
        now: time::Instant,
    ) -> Vec<message::EntryShares> {
        let demands = self.demands(now);
        let mut all = Vec::new();
        for entry in presences.iter().filter_map(|one| one.entry.as_ref()) {
            let id = (entry.name.clone(), entry.incarnation);
            let shares = demands.iter().filter_map(|(service, demands)| {
                let share = self.shares.grant(service, &id, demands, now);
                (share > 0.0).then(|| message::CapacityShare {
                    service: service.clone(),
                    share,
                })
            });
            all.push(message::EntryShares {
                entry: Some(entry.clone()),
                shares: shares.collect(),
            });
        }
        self.shares.remove_idle(now);
        all
    }

    /// Returns the demands of the live entries by service.
    fn demands(&self, now: time::Instant) -> collections::BTreeMap<String, plan::ServiceDemands> {
        let mut services = collections::BTreeMap::<String, plan::ServiceDemands>::new();
        let present: Vec<_> = self.entries.present(now).collect();
        for (id, entry) in &present {
            for demand in &entry.demands {
                let demands = services.entry(demand.service.clone()).or_default();
                demands.set((*id).clone(), demand_amount(demand));
            }
        }
        // Entries without demand keep their part of the evenly split capacity.
        for demands in services.values_mut() {
            for (id, _) in present.iter().filter(|(_, entry)| !entry.stopping) {
                demands.set_idle((*id).clone());
            }
        }
        services
    }

    /// Returns the announcements to propose: those that change the registry, and the records of
    /// targets that are marked as gone and report again.
    pub(crate) fn begin_proposals(
        &mut self,
        request: &message::RelayRequest,
        targets: &usher_state::TargetTable,
    ) -> Vec<message::TargetRecord> {
        let mut records: Vec<_> = request
            .announced
            .iter()
            .filter(|record| {
                let target = targets.find(&record.name);
                !target.is_some_and(|target| is_known(target, record))
            })
            .cloned()
            .collect();
        let returned = request.loads.iter().filter_map(|report| {
            let target = targets.find(&report.target)?;
            let same = target.gone && target.record.incarnation == report.incarnation;
            same.then(|| target.record.clone())
        });
        records.extend(returned);
        records.retain(|record| self.proposing.insert(record.name.clone()));
        records
    }

    /// Marks the proposal of an announcement as finished.
    pub(crate) fn end_proposal(&mut self, name: &str) {
        self.proposing.remove(name);
    }
}

/// Returns a demand in tokens per second.
///
/// Tokens reflect the load better than requests do. A request counts as 100 tokens, so that plain
/// services have a demand as well.
pub(crate) fn demand_amount(demand: &message::ServiceDemand) -> f64 {
    demand.prefill_tokens + demand.output_tokens + 100.0 * demand.requests
}

/// Returns whether the registry already contains an announcement, or would refuse it.
pub(crate) fn is_known(
    target: &usher_state::TargetRegistration,
    record: &message::TargetRecord,
) -> bool {
    if target.retired.contains(&record.incarnation) {
        return true;
    }
    let leaving = target.record.leaving || record.leaving;
    let expected = message::TargetRecord {
        leaving,
        ..record.clone()
    };
    !target.gone && target.record == expected
}

/// Answers a relay as the leader; returns `None` if this node is not the leader or no quorum
/// confirms its leadership.
pub(crate) async fn answer_relay<C>(
    leader_state: &sync::Arc<sync::Mutex<LeaderState>>,
    access: &fleet::FleetAccess,
    router: &sync::Arc<fleet::CommandRouter<C>>,
    clock: &C,
    request: message::RelayRequest,
) -> Option<message::RelayReply>
where
    C: usher_types::ClockSource,
{
    let term = access.status().term;
    // The read confirms the leadership, and its index includes every accepted change.
    let read = access.read(|state| {
        let mut guard = lock(leader_state);
        guard.enter_term(term, clock.now());
        (
            state.index().get(),
            guard.begin_proposals(&request, state.targets()),
        )
    });
    let (commit, changed) = read.await.ok()?;
    for record in changed {
        let (leader_state, router) = (leader_state.clone(), router.clone());
        tokio::spawn(async move {
            let name = record.name.clone();
            let kind = state_command::Kind::AnnounceTarget(record);
            if let Err(error) = router.propose_locally(kind).await {
                tracing::debug!(%error, target = %name, "announcement of a target not committed");
            }
            lock(&leader_state).end_proposal(&name);
        });
    }
    Some(lock(leader_state).apply_report(&request, commit, clock.now()))
}

/// Locks the state, even if it is poisoned by a panic.
pub(crate) fn lock(leader_state: &sync::Mutex<LeaderState>) -> sync::MutexGuard<'_, LeaderState> {
    leader_state
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
}
