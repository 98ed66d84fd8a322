//! What only the leader decides for the relays: presence, shares, loads and the registry. Not
//! for: orders.

use std::{collections, sync, time};

use usher_wire::message::{self, state_command};

use crate::{fleet, plan};

/// The leader's memory; it starts again with each leadership.
#[derive(Debug, Default)]
pub(crate) struct LeaderDesk {
    term: Option<usher_types::TermNumber>,
    pub(crate) watch: plan::EntryWatch,
    pub(crate) sight: plan::TargetSight,
    shares: plan::ShareTable,
    board: plan::LoadBoard,
    /// Targets whose announcement is being proposed.
    proposing: collections::BTreeSet<String>,
}

impl LeaderDesk {
    /// Starts again when the term is new.
    pub(crate) fn enter(&mut self, term: usher_types::TermNumber, now: time::Instant) {
        if self.term == Some(term) {
            return;
        }
        self.term = Some(term);
        self.watch.restart(now);
        self.sight.restart(now);
        self.shares.restart(now);
        self.board = plan::LoadBoard::new();
        self.proposing.clear();
    }

    /// Takes a relay's report and makes the answer.
    pub(crate) fn take(
        &mut self,
        request: &message::RelayRequest,
        commit: u64,
        now: time::Instant,
    ) -> message::RelayReply {
        let node = request.node.clone().unwrap_or_default();
        self.watch.report(&node, &request.entries, now);
        for record in &request.announced {
            self.sight.see(&record.name, record.incarnation, now);
        }
        for report in &request.loads {
            self.sight.see(&report.target, report.incarnation, now);
            // The relays choose subsets by region; this board only collects.
            self.board.take(report.clone(), "", now);
        }
        self.board.forget_old(now);
        message::RelayReply {
            commit,
            shares: self.give_shares(&request.entries, now),
            loads: self.board.since(request.loads_seen, now),
            loads_seen: self.board.number(),
        }
    }

    fn give_shares(
        &mut self,
        presences: &[message::EntryPresence],
        now: time::Instant,
    ) -> Vec<message::EntryShares> {
        let demands = self.demands(now);
        let mut all = Vec::new();
        for entry in presences.iter().filter_map(|one| one.entry.as_ref()) {
            let life = (entry.name.clone(), entry.incarnation);
            let shares = demands.iter().filter_map(|(service, demands)| {
                let share = self.shares.give(service, &life, demands, now);
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
        self.shares.forget_idle(now);
        all
    }

    /// Returns the demand of each present entry by service.
    fn demands(&self, now: time::Instant) -> collections::BTreeMap<String, plan::ServiceDemands> {
        let mut services = collections::BTreeMap::<String, plan::ServiceDemands>::new();
        let present: Vec<_> = self.watch.present(now).collect();
        for (life, entry) in &present {
            for demand in &entry.demands {
                let demands = services.entry(demand.service.clone()).or_default();
                demands.set((*life).clone(), demand_amount(demand));
            }
        }
        // Entries without a demand keep their part of the even split.
        for demands in services.values_mut() {
            for (life, _) in present.iter().filter(|(_, entry)| !entry.stopping) {
                demands.set_idle((*life).clone());
            }
        }
        services
    }

    /// Returns the announcements to propose: those that change the registry, and those of
    /// targets that were called gone and report again.
    pub(crate) fn changed(
        &mut self,
        request: &message::RelayRequest,
        targets: &usher_state::TargetTable,
    ) -> Vec<message::TargetRecord> {
        let mut records: Vec<_> = request
            .announced
            .iter()
            .filter(|record| {
                let slot = targets.find(&record.name);
                !slot.is_some_and(|slot| is_known(slot, record))
            })
            .cloned()
            .collect();
        let returned = request.loads.iter().filter_map(|report| {
            let slot = targets.find(&report.target)?;
            let same = slot.gone && slot.record.incarnation == report.incarnation;
            same.then(|| slot.record.clone())
        });
        records.extend(returned);
        records.retain(|record| self.proposing.insert(record.name.clone()));
        records
    }

    /// Ends the proposal of an announcement.
    pub(crate) fn proposed(&mut self, name: &str) {
        self.proposing.remove(name);
    }
}

/// Returns a demand in tokens per second.
///
/// Tokens say more about the work than requests; one request counts as 100 tokens, so that plain
/// services have a demand too.
pub(crate) fn demand_amount(demand: &message::ServiceDemand) -> f64 {
    demand.prefill_tokens + demand.output_tokens + 100.0 * demand.requests
}

/// Returns whether the registry shows an announcement, or refuses it anyway.
pub(crate) fn is_known(slot: &usher_state::TargetSlot, record: &message::TargetRecord) -> bool {
    if slot.retired.contains(&record.incarnation) {
        return true;
    }
    let leaving = slot.record.leaving || record.leaving;
    let expected = message::TargetRecord {
        leaving,
        ..record.clone()
    };
    !slot.gone && slot.record == expected
}

/// Answers a relay as the leader; `None` when this node doesn't lead or its lease has expired.
pub(crate) async fn answer_relay<C>(
    desk: &sync::Arc<sync::Mutex<LeaderDesk>>,
    access: &fleet::FleetAccess,
    router: &sync::Arc<fleet::CommandRouter<C>>,
    clock: &C,
    request: message::RelayRequest,
) -> Option<message::RelayReply>
where
    C: usher_types::ClockSource,
{
    let term = access.status().term;
    // The read confirms the leadership, and its index covers every accepted change.
    let read = access.read(|state| {
        let mut guard = lock(desk);
        guard.enter(term, clock.now());
        (
            state.index().get(),
            guard.changed(&request, state.targets()),
        )
    });
    let (commit, changed) = read.await.ok()?;
    for record in changed {
        let (desk, router) = (desk.clone(), router.clone());
        tokio::spawn(async move {
            let name = record.name.clone();
            let kind = state_command::Kind::AnnounceTarget(record);
            if let Err(error) = router.propose_here(kind).await {
                tracing::debug!(%error, target = %name, "announcement not proposed");
            }
            lock(&desk).proposed(&name);
        });
    }
    Some(lock(desk).take(&request, commit, clock.now()))
}

/// Locks the desk; a panic elsewhere doesn't make it unusable.
pub(crate) fn lock(desk: &sync::Mutex<LeaderDesk>) -> sync::MutexGuard<'_, LeaderDesk> {
    desk.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
