//! Simulates load reports, cache events, registry changes and faults. Not for: calls.

use usher_policy::{CacheEvent, FailureKind, LoadReport, RegistryChange, TargetInfo};
use usher_types::{EngineRole, IncarnationId, PieceCount, TargetName, TokenCount};

use crate::{engine, router, sim, sim_time};

/// One in this many deliveries of cache events is lost.
const CACHE_LOSS: u64 = 20;

fn name_of(engine: usize) -> TargetName {
    TargetName::new(router::engine_name(engine))
}

impl sim::World {
    fn info(&self, engine: usize) -> TargetInfo {
        let fleet = &self.plan.fleet;
        let host = &self.hosts[engine];
        let region = fleet.regions[host.region];
        let mut info = TargetInfo::engine(&router::engine_name(engine), fleet.service, region)
            .with_role(self.engines[engine].role)
            .with_pieces(fleet.rates.kv_pieces);
        info.incarnation = IncarnationId::new(host.incarnation);
        info
    }

    /// Announces an engine to all entries without delay, at the start of a run.
    pub(crate) fn announce(&mut self, engine: usize) {
        let change = RegistryChange::Put(self.info(engine));
        self.registry_arrives(&change, Some((engine, true)));
    }

    fn announce_later(&mut self, engine: usize, after: u64) {
        let change = RegistryChange::Put(self.info(engine));
        let event = sim::Event::Registry(change, Some((engine, true)));
        self.queue.push(self.now + after, event);
    }

    fn withdraw_later(&mut self, engine: usize, leaving: bool, after: u64) {
        let name = name_of(engine);
        let change = if leaving {
            RegistryChange::Leaving(name)
        } else {
            RegistryChange::Suspect(name)
        };
        let event = sim::Event::Registry(change, Some((engine, false)));
        self.queue.push(self.now + after, event);
    }

    pub(crate) fn registry_arrives(
        &mut self,
        change: &RegistryChange,
        view: Option<(usize, bool)>,
    ) {
        for entry in &mut self.entries {
            if let Some((engine, available)) = view {
                entry.views[engine].available = available;
                entry.views[engine].role = self.engines[engine].role;
            }
            if let Some(policy) = entry.router.policy_mut() {
                policy.on_registry(change.clone());
            }
        }
    }

    pub(crate) fn send_report(&mut self, engine: usize) {
        let next = self.now + sim::REPORT_INTERVAL;
        self.queue.push(next, sim::Event::Report(engine));
        if !self.hosts[engine].alive {
            return;
        }
        let state = &mut self.engines[engine];
        let report = LoadReport {
            taken_at: router::to_instant(self.base, self.now),
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            prefill_waiting: TokenCount::new(state.prefill_waiting()),
            pieces_used: PieceCount::new(state.used),
        };
        let (events, next) = state.take_cache_events();
        let at = self.now + sim::REPORT_LAG;
        self.queue
            .push(at, sim::Event::ReportArrives(engine, report));
        let lost = (self.now / sim::REPORT_INTERVAL + engine as u64).is_multiple_of(CACHE_LOSS);
        let events = if lost { Vec::new() } else { events };
        let at = self.now + sim::CACHE_LAG;
        self.queue
            .push(at, sim::Event::CacheArrives(engine, events, next));
    }

    pub(crate) fn report_arrives(&mut self, engine: usize, report: &LoadReport) {
        let name = name_of(engine);
        for entry in &mut self.entries {
            entry.views[engine].report = Some(*report);
            if let Some(policy) = entry.router.policy_mut() {
                policy.on_report(&name, report);
            }
        }
    }

    pub(crate) fn cache_arrives(&mut self, engine: usize, events: &[CacheEvent], next: u64) {
        let name = name_of(engine);
        for at in 0..self.entries.len() {
            let Some(policy) = self.entries[at].router.policy_mut() else {
                continue;
            };
            if policy.on_cache_events(&name, events, next) {
                continue;
            }
            // The entry fetches a complete listing, which is delayed as well.
            let (hashes, next) = self.engines[engine].cache_listing();
            let event = sim::Event::ListingArrives(at, engine, hashes, next);
            self.queue.push(self.now + sim::CACHE_LAG, event);
        }
    }

    pub(crate) fn listing_arrives(
        &mut self,
        entry: usize,
        engine: usize,
        hashes: &[u64],
        next: u64,
    ) {
        if let Some(policy) = self.entries[entry].router.policy_mut() {
            policy.on_cache_listing(&name_of(engine), hashes, next);
        }
    }

    pub(crate) fn apply_fault(&mut self, at: usize) {
        match self.plan.faults[at].1.clone() {
            sim::Fault::Slow(engine, factor) => self.engines[engine].slowness = factor,
            sim::Fault::Failing(engine, chance) => self.hosts[engine].failing = chance,
            sim::Fault::Drain(engine) => {
                self.hosts[engine].leaving = true;
                // Section 2 of the design: no new work a few seconds after the start of a drain.
                self.hosts[engine].leaving_known_at = self.now + sim_time::from_millis(4_000);
                self.withdraw_later(engine, true, sim::SYNC_LAG);
            }
            sim::Fault::Crash(engine) => self.crash(engine),
            sim::Fault::Return(engine) => self.return_engine(engine),
        }
    }

    fn crash(&mut self, engine: usize) {
        self.hosts[engine].alive = false;
        self.hosts[engine].epoch += 1;
        self.engines[engine].stepping = false;
        for attempt in self.engines[engine].clear() {
            self.report_failure(engine, attempt, FailureKind::Broken);
        }
        self.withdraw_later(engine, false, sim::SUSPECT_AFTER);
    }

    fn return_engine(&mut self, engine: usize) {
        let role = self.engines[engine].role;
        let host = &mut self.hosts[engine];
        // Restarting a drained engine interrupts the calls that are still running on it.
        if !self.engines[engine].is_empty() {
            self.totals.cut_short += self.engines[engine].running.len() as u64;
        }
        host.alive = true;
        host.leaving = false;
        host.leaving_known_at = u64::MAX;
        host.epoch += 1;
        host.incarnation += 1;
        self.engines[engine] = engine::FakeEngine::new(self.plan.fleet.rates, role);
        self.announce_later(engine, sim::SYNC_LAG);
    }

    /// Begins a role change: the engine gets no new work, and changes when its running calls have
    /// ended.
    pub(crate) fn begin_role_change(&mut self, engine: usize, role: EngineRole) {
        self.hosts[engine].next_role = Some(role);
        self.hosts[engine].leaving_known_at = self.now + sim::SYNC_LAG;
        self.totals.role_changes += 1;
        self.withdraw_later(engine, false, sim::SYNC_LAG);
    }

    /// Starts the pending role change of an idle engine, if calls can no longer arrive there.
    pub(crate) fn engine_idle(&mut self, engine: usize) {
        let host = &mut self.hosts[engine];
        // Calls that were sent before the entries knew of the change are still in flight.
        let known = host
            .leaving_known_at
            .saturating_add(sim_time::from_millis(200));
        if host.next_role.is_none() || self.now < known {
            return;
        }
        host.alive = false;
        let at = self.now + sim_time::from_seconds(engine::ROLE_CHANGE_SECONDS);
        self.queue.push(at, sim::Event::RoleDone(engine));
    }

    pub(crate) fn role_done(&mut self, engine: usize) {
        let host = &mut self.hosts[engine];
        let Some(role) = host.next_role.take() else {
            return;
        };
        host.alive = true;
        host.leaving_known_at = u64::MAX;
        self.engines[engine].role = role;
        self.announce_later(engine, sim::SYNC_LAG);
    }
}
