//! Dispatches a call until its first token: admission, retries, hedges and probes.
//!
//! Not for: the stream after the first token.

use usher_policy::{FailureKind, RetryDecision, RouteDecision, TargetSlot};
use usher_types::RunState;

use crate::{
    attempt::AttemptGuard,
    error::CallError,
    model::{relay, stream},
    outcome::OutcomeCause,
    policy::DecisionPolicy as _,
    refusal, types,
};

impl<P> relay::Relay<P>
where
    P: types::EntryTypes,
{
    /// Chooses a target and decides on admission.
    pub(super) fn admit(&mut self) -> Result<RouteDecision, CallError> {
        if let Err(error) = self.core.check_prompt(&self.engine.parts, RunState::NotRun) {
            self.record_outcome(OutcomeCause::Refused);
            return Err(error);
        }
        let now = self.core.now();
        let (decision, verdict) = {
            let mut routing = self.core.routing();
            routing.count_demand(&self.request);
            let decision = routing.policy.choose(&self.request, now);
            let verdict = routing.policy.admit(&self.request, &decision, now);
            (decision, verdict)
        };
        if let Some(reason) = verdict.refused {
            let error = refusal::refusal_error(reason, &decision, verdict.retry_after);
            self.record_decision("refuse", &decision, error.message.clone());
            self.record_outcome(OutcomeCause::Refused);
            return Err(error);
        }
        self.record_decision("route", &decision, String::new());
        Ok(decision)
    }

    /// Chooses the target of another attempt, or returns the error for the caller. Nothing has been
    /// delivered yet.
    pub(super) fn after_failure(
        &mut self,
        failure: stream::AttemptFailure,
    ) -> Result<RouteDecision, CallError> {
        tracing::info!(
            request = %self.identity.id, target = %failure.target, reason = failure.message,
            "attempt failed"
        );
        self.slow |= failure.slow;
        self.may_have_run |= failure.kind == FailureKind::Broken;
        if let Some(error) = failure.call_error {
            self.record_outcome(OutcomeCause::Refused);
            return Err(error);
        }
        self.request.avoid.push(failure.target);
        let now = self.core.now();
        let retry = {
            let mut routing = self.core.routing();
            let attempts = self.attempts;
            routing
                .policy
                .after_failure(&self.request, failure.kind, attempts, now)
        };
        let run = match retry {
            RetryDecision::FailNotRun => RunState::NotRun,
            RetryDecision::FailUnknown => RunState::Unknown,
            RetryDecision::Retry | RetryDecision::Resume => {
                let decision = self.choose_another("retry", &failure.message)?;
                self.core.metrics.add("entry.retries");
                return Ok(decision);
            }
        };
        self.record_failure();
        Err(CallError::target("target_failed", failure.message, run))
    }

    pub(super) fn choose_another(
        &mut self,
        step: &'static str,
        reason: &str,
    ) -> Result<RouteDecision, CallError> {
        if let Err((error, cause)) = self.core.check_right() {
            self.record_outcome(cause);
            return Err(error);
        }
        if let Err(error) = self
            .core
            .check_prompt(&self.engine.parts, RunState::Unknown)
        {
            self.record_failure();
            return Err(error);
        }
        let now = self.core.now();
        let decision = self.core.routing().policy.choose(&self.request, now);
        self.record_decision(step, &decision, reason.to_owned());
        if decision.target.is_err() {
            self.record_failure();
            let message = "no other target can accept the call";
            return Err(CallError::target("no_target", message, RunState::Unknown));
        }
        Ok(decision)
    }

    /// Sends the call to the chosen target, and to a second one if the first token is late; returns
    /// the first stream that opens.
    pub(super) async fn send_hedged(
        &mut self,
        decision: &RouteDecision,
    ) -> Result<stream::LiveStream<P>, stream::AttemptFailure> {
        self.send_probe(decision);
        let first = self.attempt(decision);
        let delay = {
            let routing = self.core.routing();
            routing.policy.hedge_delay(&self.request, decision)
        };
        let delay = delay.filter(|_| !self.core.options.disabled.hedge);
        let (Some(delay), Ok(target)) = (delay, decision.target) else {
            return first.await;
        };
        tokio::pin!(first);
        tokio::select! {
            result = &mut first => return result,
            () = tokio::time::sleep(delay) => {}
        }
        let Some(second) = self.hedge(target) else {
            return first.await;
        };
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => match result {
                Ok(live) => Ok(live),
                Err(failure) => second.await.map_err(|other| {
                    self.may_have_run |= other.kind == FailureKind::Broken;
                    failure
                }),
            },
            result = &mut second => match result {
                Ok(live) => {
                    self.slow = true;
                    Ok(live)
                }
                Err(failure) => {
                    self.may_have_run |= failure.kind == FailureKind::Broken;
                    first.await
                }
            },
        }
    }

    /// Starts an attempt; the returned future borrows nothing from the relay.
    pub(super) fn attempt(
        &mut self,
        decision: &RouteDecision,
    ) -> impl std::future::Future<Output = Result<stream::LiveStream<P>, stream::AttemptFailure>> + Send
    {
        self.attempts += 1;
        let slot = decision.prefill.or(decision.target.ok());
        let guard = slot.and_then(|slot| self.begin(slot));
        let core = self.core.clone();
        let request = stream::EngineRequest {
            priority: decision.priority,
            resume_from: self.delivered,
            ..self.engine.clone()
        };
        let timeout = if core.options.disabled.stall {
            relay::NO_TIMEOUT
        } else {
            decision
                .first_token
                .saturating_mul(2)
                .saturating_add(core.options.first_token_timeout)
                .min(relay::NO_TIMEOUT)
        };
        async move {
            let guard = guard.ok_or_else(|| stream::AttemptFailure {
                kind: FailureKind::NotSent,
                target: usher_types::TargetName::default(),
                slow: false,
                message: "target was removed from the registry".to_owned(),
                call_error: None,
            })?;
            stream::LiveStream::open(core, guard, request, timeout).await
        }
    }

    pub(super) fn begin(&self, slot: TargetSlot) -> Option<AttemptGuard<P>> {
        let id = Some(self.identity.engine_id.clone());
        AttemptGuard::begin(&self.core, &self.request, slot, id)
    }

    /// Starts a second attempt on another target if the hedge budget allows it.
    pub(super) fn hedge(
        &mut self,
        first: TargetSlot,
    ) -> Option<
        impl std::future::Future<Output = Result<stream::LiveStream<P>, stream::AttemptFailure>> + Send,
    > {
        if !self.core.has_right() {
            return None;
        }
        let now = self.core.now();
        let decision = {
            let mut routing = self.core.routing();
            let name = routing.policy.target(first)?.name.clone();
            let mut request = self.request.clone();
            request.avoid.push(name);
            let decision = routing.policy.choose(&request, now);
            let other = decision.target.ok().filter(|target| *target != first);
            if other.is_none() || !routing.policy.take_hedge() {
                return None;
            }
            decision
        };
        self.record_decision("hedge", &decision, "first token is late".to_owned());
        self.hedged = true;
        self.core.metrics.add("entry.hedges");
        Some(self.attempt(&decision))
    }

    /// Sends a copy of the call to a target marked as slow, to find out whether it has recovered.
    pub(super) fn send_probe(&mut self, decision: &RouteDecision) {
        let Some(slot) = decision.probe else {
            return;
        };
        let Some(guard) = self.begin(slot) else {
            return;
        };
        self.core.metrics.add("entry.probes");
        // The probe is a copy of the call, so the call can no longer be reported as not run.
        self.may_have_run = true;
        let core = self.core.clone();
        let request = stream::EngineRequest {
            priority: decision.priority,
            resume_from: self.delivered,
            ..self.engine.clone()
        };
        let stall = self.stall_timeout();
        tokio::spawn(async move {
            let first = core.options.first_token_timeout;
            let Ok(mut live) = stream::LiveStream::open(core.clone(), guard, request, first).await
            else {
                return;
            };
            loop {
                live.mark_polled(core.now());
                match live.next(stall, || core.now()).await {
                    Ok(event) if event.info.done => return live.finish(),
                    Ok(_) => {}
                    Err(fault) => return live.fail(&fault),
                }
            }
        });
    }
}
