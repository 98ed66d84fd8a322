//! HTTP handler of plain calls.
//!
//! Not for: sending them to targets.

use std::sync;

use axum::{extract, response, response::IntoResponse as _};
use usher_intake::CallMemory;
use usher_memory::PhaseCost;
use usher_types::ClockSource as _;

use crate::{
    body, core,
    error::CallError,
    identity,
    plain::{answer, call, claim, key, runner},
    types,
};

/// Memory of an answer: the part that control records, with its copy for the record, and the rest that
/// is passed on while it arrives.
const ANSWER_BYTES: usize = 2 * claim::MAX_RECORDED_ANSWER_BYTES + PhaseCost::stream();

/// Answers requests of all methods under `/svc/{service}`.
pub(crate) async fn handle<P>(
    extract::State(core): core::CoreState<P>,
    request: extract::Request,
) -> response::Response
where
    P: types::EntryTypes,
{
    let mut identity = identity::CallIdentity::anonymous(&core.ids, core.now(), core.clock.wall());
    let answered = answer_call(&core, &mut identity, request).await;
    let mut response = answered.unwrap_or_else(CallError::into_response);
    identity.set_request_id(&mut response);
    response
}

async fn answer_call<P>(
    core: &sync::Arc<core::EntryCore<P>>,
    identity: &mut identity::CallIdentity,
    request: extract::Request,
) -> Result<response::Response, CallError>
where
    P: types::EntryTypes,
{
    let (parts, body) = request.into_parts();
    identity.read(&parts.headers, &core.options.accounts)?;
    let memory = parts.extensions.get::<CallMemory>().cloned();
    let memory = memory.ok_or_else(CallError::no_memory)?;
    let (limit, timeout) = (core.options.max_body, core.options.caller_timeout);
    let body = body::read_body(body, &memory, limit, timeout).await?;
    let path = parts.uri.path().strip_prefix("/svc/").unwrap_or_default();
    let service = path.split('/').next().unwrap_or_default().to_owned();
    let mut call = call::PlainCall::parse(&service, &parts, body)?;
    if let Err((error, cause)) = core.check_accepting() {
        core.refuse_call(identity, call.service, cause);
        return Err(error);
    }
    if !call.idempotent && call.key.is_none() {
        let wall = core.clock.wall();
        call.key = Some(key::make_key(wall, &identity.engine_id));
    }
    // Nothing has been sent: a call that would find no room for its answer isn't run.
    if !memory.charge_run(ANSWER_BYTES).await {
        return Err(CallError::no_memory());
    }
    let mut run = runner::PlainRunner::new(core.clone(), identity.clone(), call.clone());
    run.admit()?;
    if call.idempotent || core.options.disabled.claims {
        return run.run().await;
    }
    // Runs in a separate task, so that the outcome is recorded even if the caller disconnects.
    let task = tokio::spawn(run_claimed(core.clone(), identity.clone(), call, run));
    let answered = match identity.deadline {
        Some(deadline) => {
            let left = deadline.saturating_duration_since(core.now());
            let waited = tokio::time::timeout(left, task).await;
            waited.map_err(|_| CallError::deadline())?
        }
        None => task.await,
    };
    answered.unwrap_or_else(|error| {
        tracing::error!(%error, "task of a claimed call failed");
        let run = usher_types::RunState::Unknown;
        Err(CallError::target(
            "internal",
            "the task of the call failed; the call may have run",
            run,
        ))
    })
}

async fn run_claimed<P>(
    core: sync::Arc<core::EntryCore<P>>,
    identity: identity::CallIdentity,
    call: call::PlainCall,
    run: runner::PlainRunner<P>,
) -> Result<response::Response, CallError>
where
    P: types::EntryTypes,
{
    let caller_key = call.key.as_deref().unwrap_or_default();
    match claim::HeldClaim::claim(&core, &identity, &call, caller_key).await? {
        claim::ClaimOutcome::Held(held) => run.run_claimed(held).await,
        claim::ClaimOutcome::Recorded(recorded) => answer::replay(recorded),
    }
}
