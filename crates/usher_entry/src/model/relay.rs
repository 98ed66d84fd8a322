//! Relays the answer of one call from engines to its caller and resumes broken streams.
//!
//! Not for: HTTP.

use std::{sync, time};

use usher_policy::{CallRequest, RouteDecision, TargetSlot};
use usher_types::{RunState, TokenCount};

use crate::{
    core,
    error::CallError,
    identity,
    model::{call, chunk, sse, stream},
    outcome::{self, OutcomeCause},
    policy::DecisionPolicy as _,
    types,
};

/// Interval at which a pending resume checks for a target and for the routing right.
const RESUME_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Timeout used where tests disable timeouts, long enough to never expire.
pub(super) const NO_TIMEOUT: time::Duration = time::Duration::from_secs(86_400);

/// A call in flight: its live stream and what has been delivered to the caller.
pub(crate) struct Relay<P>
where
    P: types::EntryTypes,
{
    pub(super) core: sync::Arc<core::EntryCore<P>>,
    _running: core::RunningGuard<P>,
    pub(super) identity: identity::CallIdentity,
    pub(super) request: CallRequest,
    pub(super) engine: stream::EngineRequest,
    pub(super) include_usage: bool,
    pub(super) live: Option<stream::LiveStream<P>>,
    /// Engine that is to decode, while the stream is still on its prefill engine.
    pub(super) decode_target: Option<TargetSlot>,
    pub(super) handover_tasks: tokio::task::JoinSet<Result<stream::LiveStream<P>, String>>,
    /// Whether the stream was handed over to another engine.
    pub(super) handed_over: bool,
    /// Number of tokens passed on to the caller.
    pub(super) delivered: u64,
    pub(super) attempts: u32,
    /// Whether any attempt broke after some of its bytes may have been written.
    pub(super) may_have_run: bool,
    pub(super) resumes: u32,
    pub(super) hedged: bool,
    /// Whether a slow or stalled target delayed the call.
    pub(super) slow: bool,
    pub(super) first_token: Option<time::Instant>,
    // The first chunk; chunks of later engines get its id, time and model.
    pub(super) first_chunk: Option<bytes::Bytes>,
    /// Whether the chunk with the finish reason has been passed on; tokens after it are dropped.
    pub(super) finished: bool,
    /// Whether the last event of the stream has been returned.
    pub(super) done: bool,
    /// Whether the outcome has been recorded.
    pub(super) recorded: bool,
}

/// An event for the caller.
#[derive(Debug)]
pub(crate) struct RelayEvent {
    pub(crate) raw: bytes::Bytes,
    pub(crate) info: chunk::ChunkInfo,
}

impl<P> Relay<P>
where
    P: types::EntryTypes,
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
            parts: sync::Arc::new(call.parts.clone()),
        };
        Self {
            _running: core::RunningGuard::new(core.clone()),
            core,
            identity,
            request,
            engine,
            // A JSON answer always includes the usage, a stream only on request.
            include_usage: call.include_usage || !call.stream,
            live: None,
            decode_target: None,
            handover_tasks: tokio::task::JoinSet::new(),
            handed_over: false,
            delivered: 0,
            attempts: 0,
            may_have_run: false,
            resumes: 0,
            hedged: false,
            slow: false,
            first_token: None,
            first_chunk: None,
            finished: false,
            done: false,
            recorded: false,
        }
    }

    /// Admits the call, sends it and waits for its first token.
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
            Ok(result) => result.map_err(|error| error.after_attempts(self.may_have_run)),
            Err(_) => {
                self.record_outcome(OutcomeCause::Late);
                Err(CallError::deadline())
            }
        }
    }

    async fn open_attempts(&mut self) -> Result<(), CallError> {
        let mut decision = self.admit()?;
        loop {
            let failure = match self.send_hedged(&decision).await {
                Ok(live) => {
                    self.live = Some(live);
                    self.plan_handover(&decision);
                    return Ok(());
                }
                Err(failure) => failure,
            };
            decision = self.after_failure(failure)?;
        }
    }

    pub(super) fn stall_timeout(&self) -> time::Duration {
        if self.core.options.disabled.stall {
            NO_TIMEOUT
        } else {
            self.core.options.stall_timeout
        }
    }

    /// Returns the next event for the caller, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Result<Option<RelayEvent>, CallError> {
        while !self.done {
            if self.decode_target.is_some() {
                self.begin_handover();
            }
            let Some(live) = self.live.as_mut() else {
                self.resume().await?;
                continue;
            };
            live.mark_polled(self.core.now());
            let stall = if self.core.options.disabled.stall {
                NO_TIMEOUT
            } else {
                self.core.options.stall_timeout
            };
            let core = &self.core;
            let next = live.next(stall, || core.now());
            let event = if core.options.disabled.drain {
                tokio::select! {
                    event = next => event,
                    () = core.stop.draining() => Err(sse::StreamFault::Stopping),
                }
            } else if self.handover_tasks.is_empty() || self.finished {
                next.await
            } else {
                tokio::select! {
                    event = next => event,
                    Some(result) = self.handover_tasks.join_next() => {
                        self.end_handover(result.unwrap_or_else(|error| Err(error.to_string())));
                        continue;
                    }
                }
            };
            let accepted = event.and_then(|event| self.accept(event));
            match accepted {
                Ok(Some(event)) => return Ok(Some(event)),
                Ok(None) => {}
                Err(fault) => {
                    if let Some(event) = self.handle_fault(&fault)? {
                        return Ok(Some(event));
                    }
                }
            }
        }
        Ok(None)
    }

    /// Validates an event and returns what is passed on to the caller, if anything.
    fn accept(
        &mut self,
        event: stream::StreamEvent,
    ) -> Result<Option<RelayEvent>, sse::StreamFault> {
        let stream::StreamEvent { raw, info } = event;
        if info.done {
            if !self.finished {
                return Err(sse::StreamFault::Truncated);
            }
            self.complete();
            return Ok(Some(RelayEvent { raw, info }));
        }
        if let Some(index) = info.token_index {
            // An engine that resumes may repeat tokens, which are dropped; a missing token is a
            // fault.
            if index < self.delivered {
                return Ok(None);
            }
            if index > self.delivered {
                return Err(sse::StreamFault::Malformed("token index skips a token"));
            }
        }
        if self.finished && (info.finish.is_some() || info.token) {
            // The caller already has the end of the answer; an engine may repeat it.
            return Ok(None);
        }
        if info.usage.is_some() && !info.token && info.finish.is_none() && !self.include_usage {
            return Ok(None);
        }
        self.finished |= info.finish.is_some();
        if info.token {
            self.delivered += 1;
            if self.first_token.is_none() {
                self.first_token = Some(self.core.now());
            }
        }
        let raw = self.rewrite_ids(raw)?;
        Ok(Some(RelayEvent { raw, info }))
    }

    /// Rewrites chunks of later engines so that the complete stream has the id, time and model of
    /// the first chunk.
    fn rewrite_ids(&mut self, raw: bytes::Bytes) -> Result<bytes::Bytes, sse::StreamFault> {
        if self.resumes == 0 && !self.handed_over {
            // Only chunks of a later engine are parsed and rewritten; other calls avoid the cost.
            self.first_chunk.get_or_insert_with(|| raw.clone());
            return Ok(raw);
        }
        let first = self.first_chunk.get_or_insert_with(|| raw.clone());
        let (Some(first), Some(data)) = (sse::event_data(first)?, sse::event_data(&raw)?) else {
            return Ok(raw);
        };
        let rewritten = chunk::rewrite_chunk(data, first);
        Ok(rewritten.map_or(raw, bytes::Bytes::from))
    }

    /// Closes the live stream after a fault.
    ///
    /// Returns the final event if the answer was already complete, an error if the call is given
    /// up, or `None` if the stream is to be resumed.
    fn handle_fault(&mut self, fault: &sse::StreamFault) -> Result<Option<RelayEvent>, CallError> {
        let Some(live) = self.live.take() else {
            return Ok(None);
        };
        let target = live.target().0.clone();
        tracing::info!(
            request = %self.identity.id, %target, reason = %fault, tokens = self.delivered,
            "stream broke"
        );
        self.slow |= *fault == sse::StreamFault::Stalled;
        live.fail(fault);
        self.decode_target = None;
        self.handover_tasks.abort_all();
        self.handover_tasks = tokio::task::JoinSet::new();
        self.request.avoid.push(target);
        if self.finished {
            // The answer is complete; only the `[DONE]` event is missing.
            self.complete();
            let info = chunk::ChunkInfo {
                done: true,
                ..chunk::ChunkInfo::default()
            };
            let raw = bytes::Bytes::from_static(chunk::DONE_EVENT.as_bytes());
            return Ok(Some(RelayEvent { raw, info }));
        }
        let disabled = self.core.options.disabled.resume;
        let given_up = disabled || self.resumes >= self.core.options.max_resumes;
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

    /// Reopens the stream on another engine after the tokens already delivered.
    async fn resume(&mut self) -> Result<(), CallError> {
        let give_up_at = self.core.now() + self.core.options.resume_wait;
        if let Err(error) = self
            .core
            .check_prompt(&self.engine.parts, RunState::Unknown)
        {
            self.record_failure();
            return Err(error);
        }
        self.resumes += 1;
        self.core.metrics.add("entry.resumes");
        self.request.delivered = TokenCount::new(self.delivered);
        loop {
            if let Some(decision) = self.choose_resume() {
                match self.attempt(&decision).await {
                    Ok(live) => {
                        self.live = Some(live);
                        self.plan_handover(&decision);
                        return Ok(());
                    }
                    Err(failure) => {
                        self.slow |= failure.slow;
                        self.request.avoid.push(failure.target);
                    }
                }
            }
            if self.core.now() >= give_up_at {
                self.record_failure();
                let message = format!(
                    "stream broke after {} tokens; no other engine could continue it within {:?}",
                    self.delivered, self.core.options.resume_wait
                );
                return Err(CallError::target(
                    "stream_broken",
                    message,
                    RunState::Unknown,
                ));
            }
            tokio::time::sleep(RESUME_POLL_INTERVAL).await;
        }
    }

    /// Chooses an engine for a resume; falls back to engines that failed before if there is no
    /// other.
    fn choose_resume(&mut self) -> Option<RouteDecision> {
        if !self.core.has_right() {
            return None;
        }
        let now = self.core.now();
        let decision = {
            let mut routing = self.core.routing();
            let decision = routing.policy.choose(&self.request, now);
            if decision.target.is_ok() {
                decision
            } else {
                self.request.avoid.clear();
                routing.policy.choose(&self.request, now)
            }
        };
        decision.target.ok()?;
        let reason = format!("continue after {} tokens", self.delivered);
        self.record_decision("resume", &decision, reason);
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
        self.record_outcome(cause);
        if let Some(live) = self.live.take() {
            live.finish();
        }
    }

    pub(super) fn record_failure(&mut self) {
        let cause = if self.slow {
            OutcomeCause::SlowTarget
        } else {
            OutcomeCause::Failed
        };
        self.record_outcome(cause);
    }

    pub(super) fn record_outcome(&mut self, cause: OutcomeCause) {
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

    pub(super) fn record_decision(
        &self,
        step: &'static str,
        decision: &RouteDecision,
        reason: String,
    ) {
        self.core
            .record_decision(&self.identity, step, decision, reason);
    }
}

impl<P> Drop for Relay<P>
where
    P: types::EntryTypes,
{
    fn drop(&mut self) {
        self.record_outcome(OutcomeCause::Cancelled);
        if self.core.options.disabled.cancel {
            // With cancelling disabled, no cancel request is sent and the stream is read to its end.
            if let Some(mut live) = self.live.take() {
                let core = self.core.clone();
                tokio::spawn(
                    async move { while live.next(NO_TIMEOUT, || core.now()).await.is_ok() {} },
                );
            }
        }
    }
}
