//! Combines all policies of one entry daemon. Not for: the daemon itself.

use std::time;

use crate::{admission, lease, request, retry, route, settings, slot, table, target};

/// Target table and policies for routing, admission, retries and hedges of one entry.
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
    table: table::TargetTable,
    route: route::RoutePolicy,
    admission: admission::AdmissionPolicy,
    budget: retry::RetryBudget,
    retry: retry::RetryPolicy,
    hedge: retry::HedgePolicy,
}

impl EntryPolicy {
    /// Creates the policies of one entry.
    pub fn new(settings: settings::RouteSettings) -> Self {
        Self {
            route: route::RoutePolicy::new(settings.seed),
            admission: admission::AdmissionPolicy::new(settings.seed),
            table: table::TargetTable::new(settings),
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
        // A probe is an extra attempt, so it counts against the retry budget as a hedge does.
        if decision.probe.is_some() && !self.budget.try_take() {
            decision.probe = None;
        }
        decision
    }

    /// Decides whether a new call is accepted. It must be called exactly once per call.
    pub fn admit(
        &mut self,
        request: &request::CallRequest,
        decision: &route::RouteDecision,
        now: time::Instant,
    ) -> admission::AdmissionDecision {
        let verdict = self
            .admission
            .admit(request, decision, self.table.settings(), now);
        if verdict.is_accepted() {
            self.budget.on_call();
        }
        verdict
    }

    /// Decides what to do after a failed attempt; `attempt` counts from 1.
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

    /// Returns the delay after sending at which to hedge if no token has arrived, or `None` for
    /// work that is not hedged.
    pub fn hedge_delay(
        &self,
        request: &request::CallRequest,
        decision: &route::RouteDecision,
    ) -> Option<time::Duration> {
        self.hedge.delay(request, decision.first_token)
    }

    /// Takes one hedge from the retry budget; returns false when the budget is exhausted.
    pub fn take_hedge(&mut self) -> bool {
        self.hedge.try_take(&mut self.budget)
    }

    /// Records that a call was sent to a target.
    pub fn on_sent(
        &mut self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
        now: time::Instant,
    ) -> slot::AttemptId {
        self.table.on_sent(request, slot, now)
    }

    /// Records that one phase of a call was sent to a target.
    pub fn on_phase_sent(
        &mut self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
        phase: request::CallPhase,
        now: time::Instant,
    ) -> slot::AttemptId {
        self.table.on_phase_sent(request, slot, phase, now)
    }

    /// Records the first token of an attempt.
    pub fn on_first_token(&mut self, attempt: slot::AttemptId, now: time::Instant) {
        self.table.on_first_token(attempt, now);
    }

    /// Records the total number of tokens that an attempt has delivered since its start.
    pub fn on_progress(&mut self, attempt: slot::AttemptId, total: u64, now: time::Instant) {
        self.table.on_progress(attempt, total, now);
    }

    /// Records that an attempt ended with a complete answer.
    pub fn on_finished(&mut self, attempt: slot::AttemptId, now: time::Instant) {
        self.table.on_finished(attempt, now);
    }

    /// Records that an attempt ended without a complete answer.
    pub fn on_failed(
        &mut self,
        attempt: slot::AttemptId,
        kind: target::FailureKind,
        now: time::Instant,
    ) {
        self.table.on_failed(attempt, kind, now);
    }

    /// Applies a load report, which reflects an earlier state of the target.
    pub fn on_report(&mut self, name: &usher_types::TargetName, report: &target::LoadReport) {
        self.table.on_report(name, report);
    }

    /// Applies prefix-cache events; returns false when events are missing.
    pub fn on_cache_events(
        &mut self,
        name: &usher_types::TargetName,
        events: &[target::CacheEvent],
        next: u64,
    ) -> bool {
        self.table.on_cache_events(name, events, next)
    }

    /// Replaces the known prefix cache of a target by a complete listing.
    pub fn on_cache_listing(&mut self, name: &usher_types::TargetName, hashes: &[u64], next: u64) {
        self.table.on_cache_listing(name, hashes, next);
    }

    /// Applies a registry change.
    pub fn on_registry(&mut self, change: target::RegistryChange) {
        self.table.on_registry(change);
    }

    /// Records that a target wants no request of this entry for a time.
    pub fn on_pause(
        &mut self,
        name: &usher_types::TargetName,
        length: time::Duration,
        now: time::Instant,
    ) {
        self.table.on_pause(name, length, now);
    }

    /// Applies a capacity share granted by the control node.
    pub fn on_grant(&mut self, grant: lease::ShareGrant, now: time::Instant) {
        self.admission.lease_mut().on_grant(grant, now);
    }

    /// Returns the demand in engine-seconds per second, which the entry reports to the control
    /// node.
    pub fn demand(&mut self, now: time::Instant) -> f64 {
        self.admission.lease_mut().demand(now)
    }

    /// Returns the target table, for names and explanations.
    pub fn table(&self) -> &table::TargetTable {
        &self.table
    }

    /// Returns the admission policy, for setting the weights of firms and teams.
    pub fn admission_mut(&mut self) -> &mut admission::AdmissionPolicy {
        &mut self.admission
    }

    /// Returns retries, hedges and probes as a share of the accepted calls.
    pub fn extra_share(&self) -> f64 {
        self.budget.share()
    }
}
