//! Claims of non-idempotent calls at control. Not for: sending the calls.

use std::{sync, time};

use usher_types::RunState;
use usher_wire::message::{self, ClaimState, FinishKind};

use crate::{
    core,
    error::CallError,
    identity,
    link::{ControlLink as _, LinkError},
    plain::{call, key},
    types,
};

/// The longest answer that control keeps.
pub(crate) const MAX_RECORDED_ANSWER: usize = 64 << 10;

/// How often a claim whose reply was lost is asked for again.
const CLAIM_ATTEMPTS: u32 = 3;

/// Time between two looks at a call that is running.
const RUNNING_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// First and longest pause between two tries to record an outcome.
const FINISH_BACKOFF_MIN: time::Duration = time::Duration::from_millis(100);
const FINISH_BACKOFF_MAX: time::Duration = time::Duration::from_secs(5);

/// How often, and with which pause, a claim whose reply was lost is given back; a commit that
/// takes longer than this ends as unknown once the entry is gone.
const RELEASE_ATTEMPTS: u32 = 3;
const RELEASE_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// How long the recording of an outcome is tried; then control's view of this entry decides.
const FINISH_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// A claim that this call holds: it may be sent once.
pub(crate) struct HeldClaim<P>
where
    P: types::EntryTypes,
{
    core: sync::Arc<core::EntryCore<P>>,
    key: String,
    request: usher_types::RequestId,
    open: bool,
}

/// What control says of a claim.
pub(crate) enum ClaimOutcome<P>
where
    P: types::EntryTypes,
{
    /// The call may be sent.
    Held(HeldClaim<P>),
    /// The call was answered before.
    Recorded(message::RecordedAnswer),
}

impl<P> HeldClaim<P>
where
    P: types::EntryTypes,
{
    /// Claims a call, waiting for an earlier one under the same key to end.
    pub(crate) async fn claim(
        core: &sync::Arc<core::EntryCore<P>>,
        identity: &identity::CallIdentity,
        call: &call::PlainCall,
        caller_key: &str,
    ) -> Result<ClaimOutcome<P>, CallError> {
        let request = message::ClaimCall {
            key: key::scoped_key(caller_key, identity),
            fingerprint: call.fingerprint(identity),
            entry: Some(core.node_identity()),
            request_id: identity.engine_id.to_string(),
        };
        let give_up_at = core.now() + core.options.running_wait;
        loop {
            let reply = request_claim(core, &request).await?;
            core.metrics
                .add_tagged("entry.claims", "state", state_name(reply.state()));
            match reply.state() {
                ClaimState::Claimed => {
                    return Ok(ClaimOutcome::Held(Self {
                        core: core.clone(),
                        key: request.key,
                        request: identity.engine_id.clone(),
                        open: true,
                    }));
                }
                ClaimState::Running if core.now() < give_up_at => {
                    tokio::time::sleep(RUNNING_POLL_INTERVAL).await;
                }
                ClaimState::Finished => {
                    return Ok(ClaimOutcome::Recorded(reply.answer.unwrap_or_default()));
                }
                state => return Err(claim_error(state)),
            }
        }
    }

    /// Gives the claim back; only right when no byte was written to a target.
    pub(crate) fn release(mut self) {
        self.finish(FinishKind::Released, None);
    }

    /// Records that the call may have run.
    pub(crate) fn mark_unknown(mut self) {
        self.finish(FinishKind::Unknown, None);
    }

    /// Records the answer; returns once it is committed, or after the time that options allow.
    pub(crate) async fn record_answer(mut self, answer: message::RecordedAnswer) {
        let wait = self.core.options.finish_wait;
        if let Some(recording) = self.finish(FinishKind::Answered, Some(answer)) {
            let _ = tokio::time::timeout(wait, recording).await;
        }
    }

    fn finish(
        &mut self,
        kind: FinishKind,
        answer: Option<message::RecordedAnswer>,
    ) -> Option<tokio::task::JoinHandle<()>> {
        if !std::mem::take(&mut self.open) {
            return None;
        }
        let finish = message::FinishClaim {
            key: self.key.clone(),
            entry: Some(self.core.node_identity()),
            request_id: self.request.to_string(),
            kind: kind.into(),
            answer,
        };
        let runtime = tokio::runtime::Handle::try_current().ok()?;
        Some(runtime.spawn(record_finish(self.core.clone(), finish)))
    }
}

impl<P> Drop for HeldClaim<P>
where
    P: types::EntryTypes,
{
    fn drop(&mut self) {
        // A call that was abandoned at an unknown point may have run.
        self.finish(FinishKind::Unknown, None);
    }
}

/// Asks for a claim; a lost reply is asked for again, as the same request holds the same claim.
async fn request_claim<P>(
    core: &sync::Arc<core::EntryCore<P>>,
    request: &message::ClaimCall,
) -> Result<message::ClaimReply, CallError>
where
    P: types::EntryTypes,
{
    let mut last = String::new();
    let mut lost = false;
    for _ in 0..CLAIM_ATTEMPTS {
        match core.link.claim(request.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(LinkError::Refused(message)) => return Err(CallError::invalid(None, message)),
            Err(error) => {
                lost |= matches!(error, LinkError::Unknown(_));
                last = error.to_string();
            }
        }
    }
    if lost {
        // The claim may be held although this call isn't sent; give it back in the background.
        let finish = message::FinishClaim {
            key: request.key.clone(),
            entry: request.entry.clone(),
            request_id: request.request_id.clone(),
            kind: FinishKind::Released.into(),
            answer: None,
        };
        tokio::spawn(release_late_claim(core.clone(), finish));
    }
    let message = format!("the call can't be claimed: {last}");
    Err(CallError::unavailable("no_claim", message))
}

/// Gives back a claim that may be committed late: a refusal can mean that it isn't there yet.
async fn release_late_claim<P>(core: sync::Arc<core::EntryCore<P>>, finish: message::FinishClaim)
where
    P: types::EntryTypes,
{
    for _ in 0..RELEASE_ATTEMPTS {
        record_finish(core.clone(), finish.clone()).await;
        tokio::time::sleep(RELEASE_INTERVAL).await;
    }
}

/// Records an outcome, trying until control has it.
async fn record_finish<P>(core: sync::Arc<core::EntryCore<P>>, finish: message::FinishClaim)
where
    P: types::EntryTypes,
{
    let give_up_at = core.now() + FINISH_TIMEOUT;
    let mut pause = FINISH_BACKOFF_MIN;
    while core.now() < give_up_at {
        match core.link.finish(finish.clone()).await {
            Ok(()) => return,
            Err(LinkError::Refused(message)) => {
                tracing::warn!(key = finish.key, message, "outcome was refused");
                return;
            }
            Err(error) => {
                core.metrics.add("entry.claims.unrecorded");
                tracing::debug!(key = finish.key, %error, "outcome isn't recorded yet");
            }
        }
        tokio::time::sleep(pause).await;
        pause = pause.saturating_mul(2).min(FINISH_BACKOFF_MAX);
    }
    tracing::error!(key = finish.key, "outcome could not be recorded");
}

fn state_name(state: ClaimState) -> &'static str {
    match state {
        ClaimState::Claimed => "claimed",
        ClaimState::Running => "running",
        ClaimState::Finished => "finished",
        ClaimState::Unknown => "unknown",
        ClaimState::Mismatch => "mismatch",
        ClaimState::Expired => "expired",
        ClaimState::Unspecified => "unspecified",
    }
}

fn claim_error(state: ClaimState) -> CallError {
    let conflict = http::StatusCode::CONFLICT;
    let unprocessable = http::StatusCode::UNPROCESSABLE_ENTITY;
    match state {
        ClaimState::Running => {
            let message = "a call under this key is running";
            let error = CallError::key(conflict, "key_running", message, RunState::Unknown);
            error.with_retry_after(time::Duration::from_secs(1))
        }
        ClaimState::Mismatch => {
            let message = "this key was used for a different call";
            CallError::key(unprocessable, "key_mismatch", message, RunState::NotRun)
        }
        ClaimState::Expired => {
            let message = "this key is too old: whether its call ran is no longer known";
            CallError::key(unprocessable, "key_expired", message, RunState::Unknown)
        }
        _ => {
            let message = "the call under this key may have run and will not be run again";
            CallError::key(conflict, "outcome_unknown", message, RunState::Unknown)
        }
    }
}
