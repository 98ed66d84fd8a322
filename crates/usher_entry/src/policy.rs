//! The decisions that an entry needs, as an interface. Not for: making them.

use std::time;

use usher_policy::{
    AdmissionDecision, AttemptId, CacheEvent, CallRequest, EntryPolicy, FailureKind, LoadReport,
    RegistryChange, RetryDecision, RouteDecision, ShareGrant, TargetInfo, TargetSlot,
};

/// Makes the decisions of one entry; every event of a call is told to it.
pub trait DecisionPolicy: Send + 'static {
    /// Chooses the target of a call.
    fn choose(&mut self, request: &CallRequest, now: time::Instant) -> RouteDecision;
    /// Decides whether a new call is accepted.
    fn admit(
        &mut self,
        request: &CallRequest,
        decision: &RouteDecision,
        now: time::Instant,
    ) -> AdmissionDecision;
    /// Decides what follows a failed attempt.
    fn after_failure(
        &mut self,
        request: &CallRequest,
        kind: FailureKind,
        attempt: u32,
        now: time::Instant,
    ) -> RetryDecision;
    /// Returns how long after sending to hedge.
    fn hedge_delay(
        &self,
        request: &CallRequest,
        decision: &RouteDecision,
    ) -> Option<time::Duration>;
    /// Takes a hedge from the budget.
    fn take_hedge(&mut self) -> bool;
    /// Notes that a call was sent.
    fn on_sent(&mut self, request: &CallRequest, slot: TargetSlot, now: time::Instant)
        -> AttemptId;
    /// Notes the first token of an attempt.
    fn on_first_token(&mut self, attempt: AttemptId, now: time::Instant);
    /// Notes the tokens of an attempt since its start.
    fn on_progress(&mut self, attempt: AttemptId, total: u64, now: time::Instant);
    /// Notes that an attempt ended with its whole answer.
    fn on_finished(&mut self, attempt: AttemptId, now: time::Instant);
    /// Notes that an attempt ended without its whole answer.
    fn on_failed(&mut self, attempt: AttemptId, kind: FailureKind, now: time::Instant);
    /// Takes a late load report.
    fn on_report(&mut self, name: &usher_types::TargetName, report: &LoadReport);
    /// Takes cache events.
    fn on_cache_events(&mut self, name: &usher_types::TargetName, events: &[CacheEvent], next: u64);
    /// Returns the number of the next cache event expected from a target.
    fn next_cache_event(&self, name: &usher_types::TargetName) -> u64;
    /// Takes a change of the registry.
    fn on_registry(&mut self, change: RegistryChange);
    /// Takes a share of the capacity.
    fn on_grant(&mut self, grant: ShareGrant, now: time::Instant);
    /// Returns what the registry says of a target.
    fn target(&self, slot: TargetSlot) -> Option<&TargetInfo>;
    /// Returns how many attempts are outstanding.
    fn outstanding(&self) -> usize;
    /// Returns retries and hedges as a share of calls.
    fn extra_share(&self) -> f64;
}

impl DecisionPolicy for EntryPolicy {
    fn choose(&mut self, request: &CallRequest, now: time::Instant) -> RouteDecision {
        EntryPolicy::choose(self, request, now)
    }

    fn admit(
        &mut self,
        request: &CallRequest,
        decision: &RouteDecision,
        now: time::Instant,
    ) -> AdmissionDecision {
        EntryPolicy::admit(self, request, decision, now)
    }

    fn after_failure(
        &mut self,
        request: &CallRequest,
        kind: FailureKind,
        attempt: u32,
        now: time::Instant,
    ) -> RetryDecision {
        EntryPolicy::after_failure(self, request, kind, attempt, now)
    }

    fn hedge_delay(
        &self,
        request: &CallRequest,
        decision: &RouteDecision,
    ) -> Option<time::Duration> {
        EntryPolicy::hedge_delay(self, request, decision)
    }

    fn take_hedge(&mut self) -> bool {
        EntryPolicy::take_hedge(self)
    }

    fn on_sent(
        &mut self,
        request: &CallRequest,
        slot: TargetSlot,
        now: time::Instant,
    ) -> AttemptId {
        EntryPolicy::on_sent(self, request, slot, now)
    }

    fn on_first_token(&mut self, attempt: AttemptId, now: time::Instant) {
        EntryPolicy::on_first_token(self, attempt, now);
    }

    fn on_progress(&mut self, attempt: AttemptId, total: u64, now: time::Instant) {
        EntryPolicy::on_progress(self, attempt, total, now);
    }

    fn on_finished(&mut self, attempt: AttemptId, now: time::Instant) {
        EntryPolicy::on_finished(self, attempt, now);
    }

    fn on_failed(&mut self, attempt: AttemptId, kind: FailureKind, now: time::Instant) {
        EntryPolicy::on_failed(self, attempt, kind, now);
    }

    fn on_report(&mut self, name: &usher_types::TargetName, report: &LoadReport) {
        EntryPolicy::on_report(self, name, report);
    }

    fn on_cache_events(
        &mut self,
        name: &usher_types::TargetName,
        events: &[CacheEvent],
        next: u64,
    ) {
        EntryPolicy::on_cache_events(self, name, events, next);
    }

    fn next_cache_event(&self, name: &usher_types::TargetName) -> u64 {
        self.table().next_cache_event(name)
    }

    fn on_registry(&mut self, change: RegistryChange) {
        EntryPolicy::on_registry(self, change);
    }

    fn on_grant(&mut self, grant: ShareGrant, now: time::Instant) {
        EntryPolicy::on_grant(self, grant, now);
    }

    fn target(&self, slot: TargetSlot) -> Option<&TargetInfo> {
        self.table().info(slot)
    }

    fn outstanding(&self) -> usize {
        self.table().outstanding()
    }

    fn extra_share(&self) -> f64 {
        EntryPolicy::extra_share(self)
    }
}
