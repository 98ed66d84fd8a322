//! Relays one call's answer from engines to its caller: hedges, retries, resumes. Not for: HTTP.

use std::{sync, time};

use usher_policy::{CallRequest, FailureKind, RetryDecision, RouteDecision, TargetSlot};
use usher_types::{RunState, TokenCount, WorkClass};

use crate::{
    attempt::AttemptGuard,
    core,
    error::CallError,
    explain, identity,
    model::{call, chunk, sse, stream},
    outcome::{self, OutcomeCause, OutcomeSink as _},
    parts,
    policy::DecisionPolicy as _,
};

/// How often a waiting resume looks for a target or for the routing right.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Stands for "no timeout" where tests remove timeouts.
const NO_TIMEOUT: time::Duration = time::Duration::from_secs(86_400);

/// A call on its way: its live stream, and what its caller has got so far.
pub(crate) struct Relay<P>
where
    P: parts::EntryParts,
{
    core: sync::Arc<core::EntryCore<P>>,
    _running: core::RunningGuard<P>,
    identity: identity::CallIdentity,
    request: CallRequest,
    engine: stream::EngineRequest,
    include_usage: bool,
    live: Option<stream::LiveStream<P>>,
    delivered: u64,
    attempts: u32,
    resumes: u32,
    hedged: bool,
    slow: bool,
    first_token: Option<time::Instant>,
    // The first chunk, whose id and time all later ones carry.
    first: Option<serde_json::Value>,
    finished: bool,
    done: bool,
    recorded: bool,
}

/// An event for the caller.
#[derive(Debug)]
pub(crate) struct RelayEvent {
    pub(crate) raw: bytes::Bytes,
    pub(crate) facts: chunk::ChunkFacts,
}

impl<P> Relay<P>
where
    P: parts::EntryParts,
{
    pub(crate) fn new(
        core: sync::Arc<core::EntryCore<P>>,
        identity: identity::CallIdentity,
        request: CallRequest,
        call: &call::ModelCall,
    ) -> Self {
        let adapter = request
            .adapter
            .as_ref()
            .map(usher_types::AdapterName::as_str);
        let engine = stream::EngineRequest {
            path: call.path(),
            body: sync::Arc::new(call.engine_body(&identity.engine_id, adapter)),
            priority: 0,
            resume_from: 0,
            id: identity.engine_id.clone(),
        };
        Self {
            _running: core::RunningGuard::new(core.clone()),
            core,
            identity,
            request,
            engine,
            include_usage: call.include_usage,
            live: None,
            delivered: 0,
            attempts: 0,
            resumes: 0,
            hedged: false,
            slow: false,
            first_token: None,
            first: None,
            finished: false,
            done: false,
            recorded: false,
        }
    }

    /// Admits and sends the call and waits for its first token.
    pub(crate) async fn open(&mut self) -> Result<(), CallError> {
        let deadline = self.request.deadline;
        let opened = match deadline {
            Some(deadline) => {
                let left = deadline.saturating_duration_since(self.core.now());
                tokio::time::timeout(left, self.open_attempts()).await
            }
            None => Ok(self.open_attempts().await),
        };
        match opened {
            Ok(result) => result,
            Err(_) => {
                self.record(OutcomeCause::Late);
                Err(CallError::deadline())
            }
        }
    }

    async fn open_attempts(&mut self) -> Result<(), CallError> {
        let mut decision = self.admit()?;
        loop {
            let failure = match self.race(&decision).await {
                Ok(live) => {
                    self.live = Some(live);
                    return Ok(());
                }
                Err(failure) => failure,
            };
            decision = self.after_failure(failure)?;
        }
    }

    /// Chooses a target and decides whether the call is accepted.
    fn admit(&mut self) -> Result<RouteDecision, CallError> {
        let now = self.core.now();
        let (decision, verdict) = {
            let mut board = self.core.board();
            board.count_demand(&self.request);
            let decision = board.policy.choose(&self.request, now);
            let verdict = board.policy.admit(&self.request, &decision, now);
            (decision, verdict)
        };
        if let Some(reason) = verdict.refused {
            let (code, message) = refusal_text(reason, &decision);
            self.note("refuse", &decision, message.clone());
            self.record(OutcomeCause::Refused);
            let error = match reason {
                usher_policy::RefuseReason::NoTarget => CallError::unavailable(code, message),
                _ => CallError::limited(code, message),
            };
            return Err(error.with_retry_after(verdict.retry_after));
        }
        self.note("route", &decision, String::new());
        Ok(decision)
    }

    /// Decides on another attempt before anything was delivered.
    fn after_failure(
        &mut self,
        failure: stream::AttemptFailure,
    ) -> Result<RouteDecision, CallError> {
        tracing::info!(
            request = %self.identity.id, target = %failure.target, reason = failure.message,
            "attempt failed"
        );
        self.slow |= failure.slow;
        if let Some(error) = failure.fault_of_call {
            self.record(OutcomeCause::Refused);
            return Err(error);
        }
        self.request.avoid.push(failure.target);
        let now = self.core.now();
        let retry = {
            let mut board = self.core.board();
            let attempts = self.attempts;
            board
                .policy
                .after_failure(&self.request, failure.kind, attempts, now)
        };
        let run = match retry {
            RetryDecision::FailNotRun => RunState::NotRun,
            RetryDecision::FailUnknown => RunState::Unknown,
            RetryDecision::Retry | RetryDecision::Resume => {
                let decision = self.choose_again("retry", &failure.message)?;
                self.core.metrics.add("entry.retries");
                return Ok(decision);
            }
        };
        self.record_failure();
        Err(CallError::target("target_failed", failure.message, run))
    }

    fn choose_again(
        &mut self,
        step: &'static str,
        reason: &str,
    ) -> Result<RouteDecision, CallError> {
        if let Err((error, cause)) = self.core.check_right() {
            self.record(cause);
            return Err(error);
        }
        let now = self.core.now();
        let decision = self.core.board().policy.choose(&self.request, now);
        self.note(step, &decision, reason.to_owned());
        if decision.target.is_err() {
            self.record_failure();
            let message = "no other target can take the call";
            return Err(CallError::target("no_target", message, RunState::Unknown));
        }
        Ok(decision)
    }

    /// Sends the call to the chosen target, and to a second one when the first is late.
    async fn race(
        &mut self,
        decision: &RouteDecision,
    ) -> Result<stream::LiveStream<P>, stream::AttemptFailure> {
        self.send_probe(decision);
        let first = self.attempt(decision);
        let delay = {
            let board = self.core.board();
            board.policy.hedge_delay(&self.request, decision)
        };
        let delay = delay.filter(|_| !self.core.options.removed.hedge);
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
                Err(failure) => second.await.map_err(|_| failure),
            },
            result = &mut second => match result {
                Ok(live) => {
                    self.slow = true;
                    Ok(live)
                }
                Err(_) => first.await,
            },
        }
    }

    /// Begins an attempt; the future owns all that it needs.
    fn attempt(
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
        let timeout = if core.options.removed.stall {
            NO_TIMEOUT
        } else {
            decision
                .first_token
                .saturating_mul(2)
                .saturating_add(core.options.first_token_timeout)
                .min(NO_TIMEOUT)
        };
        async move {
            let guard = guard.ok_or_else(|| stream::AttemptFailure {
                kind: FailureKind::NotSent,
                target: usher_types::TargetName::default(),
                slow: false,
                message: "target is gone".to_owned(),
                fault_of_call: None,
            })?;
            stream::LiveStream::open(core, guard, request, timeout).await
        }
    }

    fn begin(&self, slot: TargetSlot) -> Option<AttemptGuard<P>> {
        let id = Some(self.identity.engine_id.clone());
        AttemptGuard::begin(&self.core, &self.request, slot, id)
    }

    /// Begins a second attempt elsewhere when the budget allows it.
    fn hedge(
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
            let mut board = self.core.board();
            let name = board.policy.target(first)?.name.clone();
            let mut request = self.request.clone();
            request.avoid.push(name);
            let decision = board.policy.choose(&request, now);
            let other = decision.target.ok().filter(|target| *target != first);
            if other.is_none() || !board.policy.take_hedge() {
                return None;
            }
            decision
        };
        self.note("hedge", &decision, "first token is late".to_owned());
        self.hedged = true;
        self.core.metrics.add("entry.hedges");
        Some(self.attempt(&decision))
    }

    /// Sends a copy of the call to a slow target, to see whether it is fast again.
    fn send_probe(&mut self, decision: &RouteDecision) {
        let Some(slot) = decision.probe else {
            return;
        };
        let Some(guard) = self.begin(slot) else {
            return;
        };
        self.core.metrics.add("entry.probes");
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
                live.polled(core.now());
                match live.next(stall, || core.now()).await {
                    Ok(event) if event.facts.done => return live.finish(),
                    Ok(_) => {}
                    Err(_) => return live.fail(),
                }
            }
        });
    }

    fn stall_timeout(&self) -> time::Duration {
        if self.core.options.removed.stall {
            NO_TIMEOUT
        } else {
            self.core.options.stall_timeout
        }
    }

    /// Returns the next event for the caller; `None` after the last.
    pub(crate) async fn next(&mut self) -> Result<Option<RelayEvent>, CallError> {
        while !self.done {
            let Some(live) = self.live.as_mut() else {
                self.resume().await?;
                continue;
            };
            live.polled(self.core.now());
            let stall = if self.core.options.removed.stall {
                NO_TIMEOUT
            } else {
                self.core.options.stall_timeout
            };
            let core = &self.core;
            let next = live.next(stall, || core.now());
            let event = if core.options.removed.drain {
                tokio::select! {
                    event = next => event,
                    () = core.stop.draining() => Err(sse::StreamFault::Stopping),
                }
            } else {
                next.await
            };
            let accepted = event.and_then(|event| self.accept(event));
            match accepted {
                Ok(Some(event)) => return Ok(Some(event)),
                Ok(None) => {}
                Err(fault) => {
                    if let Some(event) = self.on_fault(&fault)? {
                        return Ok(Some(event));
                    }
                }
            }
        }
        Ok(None)
    }

    /// Checks an event and returns what the caller gets of it.
    fn accept(
        &mut self,
        event: stream::StreamEvent,
    ) -> Result<Option<RelayEvent>, sse::StreamFault> {
        let stream::StreamEvent { raw, facts } = event;
        if facts.done {
            if !self.finished {
                return Err(sse::StreamFault::Cut);
            }
            self.complete();
            return Ok(Some(RelayEvent { raw, facts }));
        }
        if let Some(index) = facts.token_index {
            // A resumed engine may repeat tokens; a token that is missing can't be made up.
            if index < self.delivered {
                return Ok(None);
            }
            if index > self.delivered {
                return Err(sse::StreamFault::Garbage("a token is missing"));
            }
        }
        if facts.usage.is_some() && !facts.token && facts.finish.is_none() && !self.include_usage {
            return Ok(None);
        }
        self.finished |= facts.finish.is_some();
        if facts.token {
            self.delivered += 1;
            if self.first_token.is_none() {
                self.first_token = Some(self.core.now());
            }
        }
        let raw = self.unify(raw)?;
        Ok(raw.map(|raw| RelayEvent { raw, facts }))
    }

    /// Makes chunks of several engines look like one answer.
    fn unify(&mut self, raw: bytes::Bytes) -> Result<Option<bytes::Bytes>, sse::StreamFault> {
        if self.resumes == 0 {
            if self.first.is_none() && !self.core.options.removed.checks {
                let data = sse::event_data(&raw)?;
                self.first = data.and_then(|data| serde_json::from_str(data).ok());
            }
            return Ok(Some(raw));
        }
        let (Some(first), Some(data)) = (&self.first, sse::event_data(&raw)?) else {
            return Ok(Some(raw));
        };
        Ok(Some(
            chunk::rewrite_chunk(data, first).map_or(raw, Into::into),
        ))
    }

    /// Ends the live stream after a fault; the next event comes from a resumed one.
    fn on_fault(&mut self, fault: &sse::StreamFault) -> Result<Option<RelayEvent>, CallError> {
        let Some(live) = self.live.take() else {
            return Ok(None);
        };
        let target = live.target().0.clone();
        tracing::info!(
            request = %self.identity.id, %target, reason = %fault, tokens = self.delivered,
            "stream broke"
        );
        self.slow |= *fault == sse::StreamFault::Stalled;
        live.fail();
        self.request.avoid.push(target);
        if self.finished {
            // The answer is whole; only its formal end is missing.
            self.complete();
            let facts = chunk::ChunkFacts {
                done: true,
                ..chunk::ChunkFacts::default()
            };
            let raw = bytes::Bytes::from_static(chunk::DONE_EVENT.as_bytes());
            return Ok(Some(RelayEvent { raw, facts }));
        }
        let removed = self.core.options.removed.resume;
        let given_up = removed || self.resumes >= self.core.options.max_resumes;
        if given_up || *fault == sse::StreamFault::Stopping {
            self.record_failure();
            let message = format!("stream broke after {} tokens: {fault}", self.delivered);
            return Err(CallError::target(
                "stream_broken",
                message,
                RunState::Unknown,
            ));
        }
        Ok(None)
    }

    /// Opens the stream again on another engine, from the tokens delivered.
    async fn resume(&mut self) -> Result<(), CallError> {
        let give_up = self.core.now() + self.core.options.resume_wait;
        self.resumes += 1;
        self.core.metrics.add("entry.resumes");
        self.request.delivered = TokenCount::new(self.delivered);
        loop {
            if let Some(decision) = self.choose_resume() {
                match self.attempt(&decision).await {
                    Ok(live) => {
                        self.live = Some(live);
                        return Ok(());
                    }
                    Err(failure) => {
                        self.slow |= failure.slow;
                        self.request.avoid.push(failure.target);
                    }
                }
            }
            if self.core.now() >= give_up {
                self.record_failure();
                let message = "stream broke and no other engine could continue it";
                return Err(CallError::target(
                    "stream_broken",
                    message,
                    RunState::Unknown,
                ));
            }
            tokio::time::sleep(RESUME_PAUSE).await;
        }
    }

    /// Chooses an engine for a resume; one that failed before is better than none.
    fn choose_resume(&mut self) -> Option<RouteDecision> {
        if !self.core.has_right() {
            return None;
        }
        let now = self.core.now();
        let decision = {
            let mut board = self.core.board();
            let decision = board.policy.choose(&self.request, now);
            if decision.target.is_ok() {
                decision
            } else {
                self.request.avoid.clear();
                board.policy.choose(&self.request, now)
            }
        };
        decision.target.ok()?;
        let reason = format!("continue after {} tokens", self.delivered);
        self.note("resume", &decision, reason);
        Some(decision)
    }

    fn complete(&mut self) {
        self.done = true;
        let now = self.core.now();
        let late = self.request.deadline.is_some_and(|deadline| now > deadline);
        let cause = match (late, self.slow) {
            (true, true) => OutcomeCause::SlowTarget,
            (true, false) => OutcomeCause::Late,
            (false, _) => OutcomeCause::Ok,
        };
        self.record(cause);
        if let Some(live) = self.live.take() {
            live.finish();
        }
    }

    fn record_failure(&mut self) {
        let cause = if self.slow {
            OutcomeCause::SlowTarget
        } else {
            OutcomeCause::Failed
        };
        self.record(cause);
    }

    fn record(&mut self, cause: OutcomeCause) {
        if std::mem::replace(&mut self.recorded, true) {
            return;
        }
        let now = self.core.now();
        let since = |at: time::Instant| at.saturating_duration_since(self.identity.arrived);
        let target = self.live.as_ref().map(stream::LiveStream::target);
        let event = outcome::OutcomeEvent {
            request: self.identity.id.clone(),
            service: self.request.service.clone(),
            team: self.identity.team.clone(),
            firm: self.identity.firm.clone(),
            class: self.request.class,
            cause,
            at: self.identity.arrived_wall,
            first_token: self.first_token.map(since),
            total: since(now),
            tokens: self.delivered,
            retries: self.attempts.saturating_sub(1),
            hedged: self.hedged,
            target: target.map(|target| target.0.clone()),
            region: target.map(|target| target.1.clone()),
        };
        self.core.finish_call(event);
    }

    fn note(&self, step: &'static str, decision: &RouteDecision, reason: String) {
        self.core.explain(&self.identity, step, decision, reason);
    }
}

impl<P> Drop for Relay<P>
where
    P: parts::EntryParts,
{
    fn drop(&mut self) {
        self.record(OutcomeCause::Cancelled);
        if self.core.options.removed.cancel {
            // Without the mechanism nobody tells the engine, and its stream is read to the end.
            if let Some(mut live) = self.live.take() {
                let core = self.core.clone();
                tokio::spawn(
                    async move { while live.next(NO_TIMEOUT, || core.now()).await.is_ok() {} },
                );
            }
        }
    }
}

fn refusal_text(
    reason: usher_policy::RefuseReason,
    decision: &RouteDecision,
) -> (&'static str, String) {
    use usher_policy::{NoRoute, RefuseReason};
    match (reason, decision.target) {
        (RefuseReason::NoTarget, Err(NoRoute::NoneFits)) => (
            "no_fitting_target",
            "no target can hold this call".to_owned(),
        ),
        (RefuseReason::NoTarget, _) => (
            "no_target",
            "no target is available at the moment".to_owned(),
        ),
        (RefuseReason::Deadline, _) => {
            let expected = decision.finish.as_millis();
            (
                "deadline",
                format!("the answer is expected after {expected} ms, past the deadline"),
            )
        }
        (RefuseReason::FairShare, _) => (
            "fair_share",
            "this team is over its fair share while capacity is short".to_owned(),
        ),
        (RefuseReason::Capacity, _) => (
            "capacity",
            "the capacity share of this entry is used up".to_owned(),
        ),
    }
}

impl<P> core::EntryCore<P>
where
    P: parts::EntryParts,
{
    /// Hands out the outcome of a call and counts it.
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

    /// Keeps a decision for explanations.
    pub(crate) fn explain(
        &self,
        identity: &identity::CallIdentity,
        step: &'static str,
        decision: &RouteDecision,
        reason: String,
    ) {
        let board = self.board();
        let name = |slot| board.policy.target(slot).map(|info| info.name.clone());
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
        drop(board);
        self.records.push(record);
    }
}
