//! HTTP handlers of model calls.
//!
//! Not for: relaying the engine's stream.

use axum::{extract, response, response::IntoResponse as _, Json};
use usher_intake::CallMemory;
use usher_memory::PhaseCost;
use usher_policy::CallRequest;
use usher_types::{ClockSource as _, WorkClass};

use crate::{
    body, core, error,
    error::CallError,
    identity,
    model::{call, collector, list, relay},
    outcome, types,
};

/// Answers `POST /v1/chat/completions`.
pub(crate) async fn chat<P>(
    state: core::CoreState<P>,
    memory: axum::Extension<CallMemory>,
    headers: http::HeaderMap,
    body: axum::body::Body,
) -> response::Response
where
    P: types::EntryTypes,
{
    handle(state, memory, headers, body, true).await
}

/// Answers `POST /v1/completions`.
pub(crate) async fn complete<P>(
    state: core::CoreState<P>,
    memory: axum::Extension<CallMemory>,
    headers: http::HeaderMap,
    body: axum::body::Body,
) -> response::Response
where
    P: types::EntryTypes,
{
    handle(state, memory, headers, body, false).await
}

async fn handle<P>(
    extract::State(core): core::CoreState<P>,
    axum::Extension(memory): axum::Extension<CallMemory>,
    headers: http::HeaderMap,
    body: axum::body::Body,
    chat: bool,
) -> response::Response
where
    P: types::EntryTypes,
{
    let mut identity = identity::CallIdentity::anonymous(&core.ids, core.now(), core.clock.wall());
    let answered = answer(&core, &mut identity, &memory, &headers, body, chat).await;
    let mut response = answered.unwrap_or_else(error::CallError::into_response);
    identity.set_request_id(&mut response);
    response
}

async fn answer<P>(
    core: &std::sync::Arc<core::EntryCore<P>>,
    identity: &mut identity::CallIdentity,
    memory: &CallMemory,
    headers: &http::HeaderMap,
    body: axum::body::Body,
    chat: bool,
) -> Result<response::Response, CallError>
where
    P: types::EntryTypes,
{
    identity.read(headers, &core.options.accounts)?;
    let (limit, timeout) = (core.options.max_body, core.options.caller_timeout);
    let body = body::read_body(body, memory, limit, timeout).await?;
    // Nothing has been sent: a call that would find no room for its answer isn't run.
    let cost = PhaseCost::parsed_call(&body) + PhaseCost::stream();
    if !memory.charge_run(cost).await {
        return Err(CallError::no_memory());
    }
    let mut call = call::ModelCall::parse(&body, chat)?;
    drop(body);
    let location = core.find_model(&call.model);
    if let Err((error, cause)) = core.check_accepting() {
        let service = location
            .map(|location| location.service)
            .unwrap_or_default();
        core.refuse_call(identity, service, cause);
        return Err(error);
    }
    let location = location.ok_or_else(|| CallError::unknown_model(&call.model))?;
    let request = make_request(core, identity, &call, &location);
    call.model = location.model.to_string();
    let mut relay = relay::Relay::new(core.clone(), identity.clone(), request, &call);
    relay.open().await?;
    if call.stream {
        Ok(stream_answer(relay))
    } else {
        json_answer(relay, &call).await
    }
}

fn make_request<P>(
    core: &core::EntryCore<P>,
    identity: &identity::CallIdentity,
    call: &call::ModelCall,
    location: &list::ModelLocation,
) -> CallRequest
where
    P: types::EntryTypes,
{
    let output = call.max_tokens.map(usher_types::TokenCount::new);
    let output = output.unwrap_or(core.options.default_output);
    CallRequest {
        id: identity.engine_id.clone(),
        service: location.service.clone(),
        model: Some(location.model.clone()),
        adapter: location.adapter.clone(),
        team: identity.team.clone(),
        firm: identity.firm.clone(),
        class: WorkClass::of(call.prompt, output),
        prompt: call.prompt,
        prefixes: call.prefixes.clone(),
        output,
        arrived: identity.arrived,
        deadline: identity.deadline,
        idempotent: true,
        delivered: usher_types::TokenCount::default(),
        avoid: Vec::new(),
        region: None,
    }
}

/// Returns a streaming response; events are read from the relay only as fast as the caller
/// consumes the body.
fn stream_answer<P>(relay: relay::Relay<P>) -> response::Response
where
    P: types::EntryTypes,
{
    let events = futures_util::stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(event)) => {
                let bytes = Ok::<_, std::convert::Infallible>(event.raw);
                Some((bytes, Some(relay)))
            }
            Ok(None) => None,
            Err(error) => {
                // The status line has already been sent. The error event and the missing `[DONE]`
                // event both signal the failure.
                let text = format!("data: {}\n\n", error.to_json());
                Some((Ok(bytes::Bytes::from(text)), None))
            }
        }
    });
    let headers = [
        (http::header::CONTENT_TYPE, "text/event-stream"),
        (http::header::CACHE_CONTROL, "no-cache"),
    ];
    (headers, axum::body::Body::from_stream(events)).into_response()
}

async fn json_answer<P>(
    mut relay: relay::Relay<P>,
    call: &call::ModelCall,
) -> Result<response::Response, CallError>
where
    P: types::EntryTypes,
{
    let mut answer = collector::AnswerCollector::default();
    while let Some(event) = relay.next().await? {
        answer.add(&event);
    }
    Ok(Json(answer.to_json(call.chat, &call.model)).into_response())
}

impl<P> core::EntryCore<P>
where
    P: types::EntryTypes,
{
    /// Records the outcome of a call that was refused before a target was chosen.
    pub(crate) fn refuse_call(
        &self,
        identity: &identity::CallIdentity,
        service: usher_types::ServiceName,
        cause: outcome::OutcomeCause,
    ) {
        let now = self.now();
        self.finish_call(outcome::OutcomeEvent {
            request: identity.id.clone(),
            service,
            team: identity.team.clone(),
            firm: identity.firm.clone(),
            class: WorkClass::Short,
            cause,
            at: identity.arrived_wall,
            first_token: None,
            total: now.saturating_duration_since(identity.arrived),
            tokens: 0,
            retries: 0,
            hedged: false,
            target: None,
            region: None,
        });
    }
}
