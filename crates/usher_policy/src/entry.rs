//! All policies of one entry daemon together. Not for: the daemon itself.

use std::time;

use crate::{admit, lease, request, retry, route, settings, slot, table, target};

/// Table, routing, admission, retries and hedges of one entry.
///
/// ```
/// use std::time::Instant;
/// use usher_policy::{CallRequest, EntryPolicy, RegistryChange, RouteSettings, TargetInfo};
/// let mut policy = EntryPolicy::new(RouteSettings::new("south-a"));
/// policy.on_registry(RegistryChange::Put(TargetInfo::engine("e-1", "assist", "south-a")));
/// let now = Instant::now();
/// let request = CallRequest::new("r-1", "assist", now);
/// let decision = policy.choose(&request, now);
/// assert!(policy.admit(&request, &decision, now).is_accepted());
/// let attempt = policy.on_sent(&request, decision.target.unwrap(), now);
/// policy.on_finished(attempt, now);
/// ```
#[derive(Clone, Debug)]
pub struct EntryPolicy {
    table: table::RouteTable,
    route: route::RoutePolicy,
    admit: admit::AdmissionPolicy,
    budget: retry::RetryBudget,
    retry: retry::RetryPolicy,
    hedge: retry::HedgePolicy,
}

impl EntryPolicy {
    /// Makes the policies of one entry.
    pub fn new(settings: settings::RouteSettings) -> Self {
        Self {
            route: route::RoutePolicy::new(settings.seed),
            admit: admit::AdmissionPolicy::new(settings.seed),
            table: table::RouteTable::new(settings),
            budget: retry::RetryBudget::new(),
            retry: retry::RetryPolicy,
            hedge: retry::HedgePolicy,
        }
    }

    /// Chooses the target of a call.
    pub fn choose(
        &mut self,
        request: &request::CallRequest,
        now: time::Instant,
    ) -> route::RouteDecision {
        let mut decision = self.route.choose(request, &mut self.table, now);
        // A probe is an extra attempt like a hedge, and counts as one.
        if decision.probe.is_some() && !self.budget.take() {
            decision.probe = None;
        }
        decision
    }

    /// Decides whether a new call is accepted; called once for each call.
    pub fn admit(
        &mut self,
        request: &request::CallRequest,
        decision: &route::RouteDecision,
        now: time::Instant,
    ) -> admit::AdmissionDecision {
        let verdict = self
            .admit
            .admit(request, decision, self.table.settings(), now);
        if verdict.is_accepted() {
            self.budget.on_call();
        }
        verdict
    }

    /// Decides what follows a failed attempt; `attempt` counts from 1.
    pub fn after_failure(
        &mut self,
        request: &request::CallRequest,
        kind: target::FailureKind,
        attempt: u32,
        now: time::Instant,
    ) -> retry::RetryDecision {
        self.retry
            .decide(request, kind, attempt, &mut self.budget, now)
    }

    /// Returns how long after sending to hedge when no token came.
    pub fn hedge_delay(
        &self,
        request: &request::CallRequest,
        decision: &route::RouteDecision,
    ) -> Option<time::Duration> {
        self.hedge.delay(request, decision.first_token)
    }

    /// Returns whether a hedge may be sent now, and takes it from the budget.
    pub fn take_hedge(&mut self) -> bool {
        self.hedge.take(&mut self.budget)
    }

    /// Notes that a call was sent.
    pub fn on_sent(
        &mut self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
        now: time::Instant,
    ) -> slot::AttemptId {
        self.table.on_sent(request, slot, now)
    }

    /// Notes that a part of a call was sent.
    pub fn on_phase_sent(
        &mut self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
        phase: request::CallPhase,
        now: time::Instant,
    ) -> slot::AttemptId {
        self.table.on_phase_sent(request, slot, phase, now)
    }

    /// Notes the first token of an attempt.
    pub fn on_first_token(&mut self, attempt: slot::AttemptId, now: time::Instant) {
        self.table.on_first_token(attempt, now);
    }

    /// Notes the tokens of an attempt since its start.
    pub fn on_progress(&mut self, attempt: slot::AttemptId, total: u64, now: time::Instant) {
        self.table.on_progress(attempt, total, now);
    }

    /// Notes that an attempt ended with its whole answer.
    pub fn on_finished(&mut self, attempt: slot::AttemptId, now: time::Instant) {
        self.table.on_finished(attempt, now);
    }

    /// Notes that an attempt ended without its whole answer.
    pub fn on_failed(
        &mut self,
        attempt: slot::AttemptId,
        kind: target::FailureKind,
        now: time::Instant,
    ) {
        self.table.on_failed(attempt, kind, now);
    }

    /// Takes a late load report.
    pub fn on_report(&mut self, name: &usher_types::TargetName, report: &target::LoadReport) {
        self.table.on_report(name, report);
    }

    /// Takes cache events; returns whether none is missing.
    pub fn on_cache_events(
        &mut self,
        name: &usher_types::TargetName,
        events: &[target::CacheEvent],
        next: u64,
    ) -> bool {
        self.table.on_cache_events(name, events, next)
    }

    /// Takes a complete listing of a target's prefix cache.
    pub fn on_cache_listing(&mut self, name: &usher_types::TargetName, hashes: &[u64], next: u64) {
        self.table.on_cache_listing(name, hashes, next);
    }

    /// Takes a change of the registry.
    pub fn on_registry(&mut self, change: target::RegistryChange) {
        self.table.on_registry(change);
    }

    /// Takes a capacity share from control.
    pub fn on_grant(&mut self, grant: lease::ShareGrant, now: time::Instant) {
        self.admit.lease_mut().on_grant(grant, now);
    }

    /// Returns the demand in engine-seconds per second, to be reported to control.
    pub fn demand(&mut self, now: time::Instant) -> f64 {
        self.admit.lease_mut().demand(now)
    }

    /// Returns the table, for names and explanations.
    pub fn table(&self) -> &table::RouteTable {
        &self.table
    }

    /// Returns the admission policy, for weights of firms and teams.
    pub fn admit_mut(&mut self) -> &mut admit::AdmissionPolicy {
        &mut self.admit
    }

    /// Returns retries and hedges as a share of calls.
    pub fn extra_share(&self) -> f64 {
        self.budget.share()
    }
}
