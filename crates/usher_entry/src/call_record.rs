//! Records outcomes and decisions of model and plain calls.
//!
//! Not for: making decisions.

use usher_policy::RouteDecision;
use usher_types::WorkClass;

use crate::{
    core, explain, identity,
    outcome::{self, OutcomeCause, OutcomeSink as _},
    policy::DecisionPolicy as _,
    types,
};

impl<P> core::EntryCore<P>
where
    P: types::EntryTypes,
{
    /// Reports the outcome of a call to metrics, the log and the outcome sink.
    pub(crate) fn finish_call(&self, event: outcome::OutcomeEvent) {
        let cause = match event.cause {
            OutcomeCause::Ok => "ok",
            OutcomeCause::Refused => "refused",
            OutcomeCause::Late => "late",
            OutcomeCause::SlowTarget => "slow-target",
            OutcomeCause::Drain => "drain",
            OutcomeCause::Region => "region",
            OutcomeCause::Failed => "failed",
            OutcomeCause::Cancelled => "cancelled",
        };
        self.metrics.add_tagged("entry.calls", "cause", cause);
        if let Some(first) = event.first_token {
            let name = match event.class {
                WorkClass::Short => "entry.first_token.short",
                WorkClass::Long => "entry.first_token.long",
            };
            self.metrics.time(name, first);
        }
        tracing::debug!(
            request = %event.request, cause, tokens = event.tokens, total = ?event.total,
            "call ended"
        );
        self.outcomes.record(event);
    }

    /// Records a decision for `GET /v1/explain`.
    pub(crate) fn record_decision(
        &self,
        identity: &identity::CallIdentity,
        step: &'static str,
        decision: &RouteDecision,
        reason: String,
    ) {
        let routing = self.routing();
        let name = |slot| routing.policy.target(slot).map(|info| info.name.clone());
        let candidates = decision.candidates.iter();
        let record = explain::DecisionRecord {
            request: identity.id.clone(),
            engine_request: identity.engine_id.clone(),
            at_ms: self.wall_ms(),
            step,
            target: decision.target.ok().and_then(name),
            expected_ms: decision
                .target
                .ok()
                .and_then(|_| u64::try_from(decision.first_token.as_millis()).ok()),
            scored: decision.scored,
            candidates: candidates
                .filter_map(|candidate| Some((name(candidate.slot)?, candidate.score)))
                .collect(),
            reason,
        };
        drop(routing);
        self.records.push(record);
    }
}
