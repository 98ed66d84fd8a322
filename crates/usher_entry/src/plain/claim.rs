//! Acquires claims of non-idempotent calls from control and records their outcomes.
//!
//! Not for: sending the calls.

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

/// Maximum length of an answer that control records; of a longer one, the body is left out.
pub(crate) const MAX_RECORDED_ANSWER_BYTES: usize = 64 << 10;

/// Maximum number of requests for a claim; it is requested again if the reply was lost.
const CLAIM_ATTEMPTS: u32 = 3;

/// Interval at which the claim of a running call is polled.
const RUNNING_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Initial and maximum backoff between attempts to record an outcome.
const FINISH_BACKOFF_MIN: time::Duration = time::Duration::from_millis(100);
const FINISH_BACKOFF_MAX: time::Duration = time::Duration::from_secs(5);

/// Number and interval of releases of a claim whose reply was lost. If its commit takes longer than
/// that, the claim stays held and ends as unknown when the entry is gone.
const RELEASE_ATTEMPTS: u32 = 3;
const RELEASE_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// Time limit for recording an outcome; after it, control decides from its own view of this entry.
const FINISH_TIMEOUT: time::Duration = time::Duration::from_secs(600);

/// A claim held by this call, which allows it to be sent once.
pub(crate) struct HeldClaim<P>
where
    P: types::EntryTypes,
{
    core: sync::Arc<core::EntryCore<P>>,
    key: String,
    request: usher_types::RequestId,
    open: bool,
}

/// The outcome of a claim request.
pub(crate) enum ClaimOutcome<P>
where
    P: types::EntryTypes,
{
    /// The claim is held and the call may be sent.
    Held(HeldClaim<P>),
    /// The call was answered earlier; this is the recorded answer.
    Recorded(message::RecordedAnswer),
}

impl<P> HeldClaim<P>
where
    P: types::EntryTypes,
{
    /// Claims a call, waiting for a running call with the same key to end.
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

    /// Releases the claim; valid only if no byte was written to a target.
    pub(crate) fn release(mut self) {
        self.finish(FinishKind::Released, None);
    }

    /// Records that the outcome of the call is unknown: it may have run.
    pub(crate) fn mark_unknown(mut self) {
        self.finish(FinishKind::Unknown, None);
    }

    /// Records the answer and waits until it is committed, at most for the configured
    /// `finish_wait`.
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
        // The call was dropped at an unknown point, so it may have run.
        self.finish(FinishKind::Unknown, None);
    }
}

/// Requests a claim. Repeating the request after a lost reply is safe, as the same request gets the
/// same claim.
async fn request_claim<P>(
    core: &sync::Arc<core::EntryCore<P>>,
    request: &message::ClaimCall,
) -> Result<message::ClaimReply, CallError>
where
    P: types::EntryTypes,
{
    let mut last_error = String::new();
    let mut reply_lost = false;
    for _ in 0..CLAIM_ATTEMPTS {
        match core.link.claim(request.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(LinkError::Refused(message)) => return Err(CallError::invalid(None, message)),
            Err(error) => {
                reply_lost |= matches!(error, LinkError::Unknown(_));
                last_error = error.to_string();
            }
        }
    }
    if reply_lost {
        // The claim may be held although this call won't be sent; release it in the background.
        let finish = message::FinishClaim {
            key: request.key.clone(),
            entry: request.entry.clone(),
            request_id: request.request_id.clone(),
            kind: FinishKind::Released.into(),
            answer: None,
        };
        tokio::spawn(release_late_claim(core.clone(), finish));
    }
    let message = format!("failed to claim the call: {last_error}");
    Err(CallError::unavailable("no_claim", message))
}

/// Releases a claim that may be committed late. Control may refuse the release because the claim
/// isn't committed yet, so the release is repeated.
async fn release_late_claim<P>(core: sync::Arc<core::EntryCore<P>>, finish: message::FinishClaim)
where
    P: types::EntryTypes,
{
    for _ in 0..RELEASE_ATTEMPTS {
        record_finish(core.clone(), finish.clone()).await;
        tokio::time::sleep(RELEASE_INTERVAL).await;
    }
}

/// Records an outcome, retrying with backoff until control accepts or refuses it.
async fn record_finish<P>(core: sync::Arc<core::EntryCore<P>>, finish: message::FinishClaim)
where
    P: types::EntryTypes,
{
    let give_up_at = core.now() + FINISH_TIMEOUT;
    let mut backoff = FINISH_BACKOFF_MIN;
    while core.now() < give_up_at {
        match core.link.finish(finish.clone()).await {
            Ok(()) => return,
            Err(LinkError::Refused(message)) => {
                tracing::warn!(
                    key = finish.key,
                    message,
                    "control refused to record the outcome of a claim"
                );
                return;
            }
            Err(error) => {
                core.metrics.add("entry.claims.unrecorded");
                tracing::debug!(
                    key = finish.key, %error,
                    "failed to record the outcome of a claim; retrying"
                );
            }
        }
        tokio::time::sleep(backoff).await;
        backoff = backoff.saturating_mul(2).min(FINISH_BACKOFF_MAX);
    }
    tracing::error!(
        key = finish.key,
        "gave up recording the outcome of a claim after {FINISH_TIMEOUT:?}"
    );
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
            let message = "a call with this key is still running";
            let error = CallError::key(conflict, "key_running", message, RunState::Unknown);
            error.with_retry_after(time::Duration::from_secs(1))
        }
        ClaimState::Mismatch => {
            let message = "this key was already used for a different call";
            CallError::key(unprocessable, "key_mismatch", message, RunState::NotRun)
        }
        ClaimState::Expired => {
            let message = "this key has expired: it is no longer known whether its call ran";
            CallError::key(unprocessable, "key_expired", message, RunState::Unknown)
        }
        _ => {
            let message = "the call with this key may have run and will not be run again";
            CallError::key(conflict, "outcome_unknown", message, RunState::Unknown)
        }
    }
}
