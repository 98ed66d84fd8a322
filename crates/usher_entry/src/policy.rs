//! The interface of the decision policy of an entry.
//!
//! Not for: implementing decisions.

use std::time;

use usher_policy::{
    AdmissionDecision, AttemptId, CacheEvent, CallRequest, EntryPolicy, FailureKind, LoadReport,
    RegistryChange, RetryDecision, RouteDecision, ShareGrant, TargetInfo, TargetSlot,
};

/// Makes the decisions of one entry and is notified of every event of a call.
pub trait DecisionPolicy: Send + 'static {
    /// Chooses the target of a call.
    fn choose(&mut self, request: &CallRequest, now: time::Instant) -> RouteDecision;
    /// Decides on the admission of a new call.
    fn admit(
        &mut self,
        request: &CallRequest,
        decision: &RouteDecision,
        now: time::Instant,
    ) -> AdmissionDecision;
    /// Decides whether a call is retried after a failed attempt.
    fn after_failure(
        &mut self,
        request: &CallRequest,
        kind: FailureKind,
        attempt: u32,
        now: time::Instant,
    ) -> RetryDecision;
    /// Returns the delay after which a hedge is sent, if any.
    fn hedge_delay(
        &self,
        request: &CallRequest,
        decision: &RouteDecision,
    ) -> Option<time::Duration>;
    /// Consumes one hedge from the budget; returns `false` if the budget is used up.
    fn take_hedge(&mut self) -> bool;
    /// Records that a call was sent to a target.
    fn on_sent(&mut self, request: &CallRequest, slot: TargetSlot, now: time::Instant)
        -> AttemptId;
    /// Records the first token of an attempt.
    fn on_first_token(&mut self, attempt: AttemptId, now: time::Instant);
    /// Records the number of tokens of an attempt since its start.
    fn on_progress(&mut self, attempt: AttemptId, total: u64, now: time::Instant);
    /// Records that an attempt ended with a complete answer.
    fn on_finished(&mut self, attempt: AttemptId, now: time::Instant);
    /// Records that an attempt ended without a complete answer.
    fn on_failed(&mut self, attempt: AttemptId, kind: FailureKind, now: time::Instant);
    /// Applies a load report, which may arrive late.
    fn on_report(&mut self, name: &usher_types::TargetName, report: &LoadReport);
    /// Applies cache events of a target.
    fn on_cache_events(&mut self, name: &usher_types::TargetName, events: &[CacheEvent], next: u64);
    /// Returns the sequence number of the next cache event expected from a target.
    fn next_cache_event(&self, name: &usher_types::TargetName) -> u64;
    /// Applies a registry change.
    fn on_registry(&mut self, change: RegistryChange);
    /// Records that a target wants no request of this entry for a time.
    fn on_pause(
        &mut self,
        name: &usher_types::TargetName,
        length: time::Duration,
        now: time::Instant,
    );
    /// Returns whether a target wants no request at present.
    fn wants_pause(&self, name: &usher_types::TargetName, now: time::Instant) -> bool;
    /// Applies a grant of a capacity share.
    fn on_grant(&mut self, grant: ShareGrant, now: time::Instant);
    /// Returns the registry information of a target.
    fn target(&self, slot: TargetSlot) -> Option<&TargetInfo>;
    /// Returns the number of outstanding attempts.
    fn outstanding(&self) -> usize;
    /// Returns retries and hedges as a fraction of calls.
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

    fn on_pause(
        &mut self,
        name: &usher_types::TargetName,
        length: time::Duration,
        now: time::Instant,
    ) {
        EntryPolicy::on_pause(self, name, length, now);
    }

    fn wants_pause(&self, name: &usher_types::TargetName, now: time::Instant) -> bool {
        self.table().wants_pause(name, now)
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
