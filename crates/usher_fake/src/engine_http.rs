//! The HTTP API of a fake engine. Not for: the timing of tokens.

use std::sync;

use axum::{extract, middleware, response, response::IntoResponse as _, routing, Json};
use futures_util::StreamExt as _;
use tokio::sync as tokio_sync;

use crate::{batch, cache, engine, faults, notice, order, prompt, sse, tokens};

/// Largest accepted request body, in bytes; larger than the limit of an entry.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Number of tokens in the answer to a request without a token limit.
const DEFAULT_TOKENS: u64 = 64;

/// Simulated time to transfer one piece of KV cache.
const PIECE_TIME: std::time::Duration = std::time::Duration::from_millis(2);

type CoreState = extract::State<sync::Arc<engine::EngineCore>>;

pub(crate) fn router(core: sync::Arc<engine::EngineCore>) -> axum::Router {
    axum::Router::new()
        .route("/v1/chat/completions", routing::post(chat))
        .route("/v1/completions", routing::post(complete))
        .route("/v1/requests/{id}/cancel", routing::post(cancel))
        .route("/v1/orders", routing::post(post_order).get(read_orders))
        .route("/v1/load", routing::get(read_load))
        .route("/v1/cache/events", routing::get(read_events))
        .route("/v1/kv/export", routing::post(export_kv))
        .route("/v1/kv/import", routing::post(import_kv))
        .route("/v1/faults", routing::post(set_faults).get(read_faults))
        .route("/v1/requests", routing::get(read_requests))
        .layer(extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(middleware::map_response_with_state(
            core.clone(),
            mark_answer,
        ))
        .layer(middleware::from_fn(notice::state_id))
        .with_state(core)
}

async fn mark_answer(state: CoreState, answer: response::Response) -> response::Response {
    let core = &state.0;
    core.http_requests
        .fetch_add(1, sync::atomic::Ordering::SeqCst);
    let says_leaving = core.faults.current().says_leaving == Some(true);
    notice::mark_answer(answer, says_leaving || core.is_leaving())
}

fn error_response(status: http::StatusCode, message: &str) -> response::Response {
    let body = serde_json::json!({
        "error": { "message": message, "type": "engine_error", "code": null, "param": null }
    });
    (status, Json(body)).into_response()
}

async fn chat(state: CoreState, body: bytes::Bytes) -> response::Response {
    answer(&state.0, &body, true).await
}

async fn complete(state: CoreState, body: bytes::Bytes) -> response::Response {
    answer(&state.0, &body, false).await
}

/// A parsed request with the receiver of its stream events.
struct EngineCall {
    stream: bool,
    format: sse::AnswerFormat,
    end: u64,
    events: tokio_sync::mpsc::UnboundedReceiver<batch::StreamEvent>,
}

async fn answer(
    core: &sync::Arc<engine::EngineCore>,
    body: &bytes::Bytes,
    chat: bool,
) -> response::Response {
    let faults = core.faults.current();
    if let Some(pause_ms) = faults.pause_ms.filter(|pause_ms| *pause_ms > 0) {
        return notice::refuse_with_pause(pause_ms);
    }
    if faults.failing == Some(true) {
        return error_response(http::StatusCode::INTERNAL_SERVER_ERROR, "injected failure");
    }
    if engine::lock(&core.orders).is_changing() {
        return error_response(http::StatusCode::SERVICE_UNAVAILABLE, "engine is changing");
    }
    match begin_call(core, body, chat) {
        Ok(call) if call.stream => stream_answer(call),
        Ok(call) => json_answer(call).await,
        Err(refusal) => *refusal,
    }
}

fn begin_call(
    core: &sync::Arc<engine::EngineCore>,
    body: &bytes::Bytes,
    chat: bool,
) -> Result<EngineCall, Box<response::Response>> {
    let bad = |message| Box::new(error_response(http::StatusCode::BAD_REQUEST, message));
    let body: serde_json::Value =
        serde_json::from_slice(body).map_err(|_| bad("body is not JSON"))?;
    let number = |name: &str| body.get(name).and_then(serde_json::Value::as_u64);
    let flag = |value: Option<&serde_json::Value>| value.and_then(serde_json::Value::as_bool);
    let model = engine::lock(&core.orders).shape().model.to_string();
    if body.get("model").and_then(|value| value.as_str()) != Some(&model) {
        let message = "model is not loaded";
        return Err(Box::new(error_response(
            http::StatusCode::NOT_FOUND,
            message,
        )));
    }
    let id = body.get("seed_id").and_then(|value| value.as_str());
    let id = id.map_or_else(
        || usher_types::IncarnationSource::random().to_string(),
        str::to_owned,
    );
    let end = number("max_completion_tokens").or(number("max_tokens"));
    let end = end.unwrap_or(DEFAULT_TOKENS).max(1);
    let resume_from = number("resume_from").unwrap_or(0).min(end);
    let text = prompt::prompt_text(&body);
    let prompt_tokens = prompt::count_tokens(&text).get();
    if !engine::lock(&core.batch).fits(prompt_tokens + end) {
        return Err(bad(&format!(
            "request of {} tokens does not fit in the KV memory of {} pieces",
            prompt_tokens + end,
            core.options.kv_pieces
        )));
    }
    let usage = body
        .get("stream_options")
        .and_then(|options| options.get("include_usage"));
    let (sender, events) = tokio_sync::mpsc::unbounded_channel();
    if resume_from == end {
        let _ = sender.send(batch::StreamEvent::Done(end));
    }
    engine::lock(&core.requests).push(id.clone());
    if resume_from < end {
        engine::lock(&core.batch).add(batch::BatchJob {
            id: id.clone(),
            priority: u8::try_from(number("priority").unwrap_or(5)).unwrap_or(u8::MAX),
            prompt: text,
            resume_from,
            end,
            events: sender,
        });
        core.work.notify_one();
    }
    Ok(EngineCall {
        stream: flag(body.get("stream")).unwrap_or(false),
        format: sse::AnswerFormat {
            id,
            model,
            chat,
            include_usage: flag(usage).unwrap_or(false),
            prompt_tokens,
            created: engine::unix_time_ms() / 1_000,
        },
        end,
        events,
    })
}

fn stream_answer(call: EngineCall) -> response::Response {
    let EngineCall { format, events, .. } = call;
    let lines = futures_util::stream::unfold(Some(events), move |events| {
        let format = format.clone();
        async move {
            let mut events = events?;
            let event = events.recv().await?;
            let (lines, last) = format.event(&event);
            let next = if last { None } else { Some(events) };
            Some((lines, next))
        }
    });
    let body = axum::body::Body::from_stream(lines.map(Ok::<_, std::convert::Infallible>));
    let headers = [(http::header::CONTENT_TYPE, "text/event-stream")];
    (headers, body).into_response()
}

async fn json_answer(mut call: EngineCall) -> response::Response {
    let mut text = String::new();
    loop {
        match call.events.recv().await {
            Some(batch::StreamEvent::Token(index)) => {
                text.push_str(&tokens::token_text(&call.format.id, index));
            }
            Some(batch::StreamEvent::Done(_)) => break,
            Some(batch::StreamEvent::Garbage) => return "{\"choices\": [".into_response(),
            Some(batch::StreamEvent::Cut) | None => {
                return error_response(http::StatusCode::INTERNAL_SERVER_ERROR, "stream was cut");
            }
        }
    }
    Json(call.format.json_body(&text, call.end)).into_response()
}

async fn cancel(
    extract::State(core): CoreState,
    extract::Path(id): extract::Path<String>,
) -> response::Response {
    let found = engine::lock(&core.batch).cancel(&id);
    Json(serde_json::json!({ "cancelled": found })).into_response()
}

async fn post_order(
    extract::State(core): CoreState,
    Json(request): Json<order::OrderRequest>,
) -> response::Response {
    let start = engine::lock(&core.orders).begin(&request);
    let duration = match start {
        order::OrderDecision::Started(duration) => duration,
        order::OrderDecision::Repeated => return order_state(&core),
        order::OrderDecision::Stale(fence) => {
            let body = serde_json::json!({ "fence": fence });
            return (http::StatusCode::CONFLICT, Json(body)).into_response();
        }
        order::OrderDecision::Invalid(message) => {
            return error_response(http::StatusCode::BAD_REQUEST, message);
        }
    };
    let duration = duration.resolve(core.options.role_time, core.options.load_time);
    let duration = core.options.scaled(duration);
    // Runs in its own task, so that the order continues if the connection of its sender breaks.
    let execution = tokio::spawn(execute_order(core.clone(), request, duration));
    let _ = execution.await;
    order_state(&core)
}

async fn execute_order(
    core: sync::Arc<engine::EngineCore>,
    request: order::OrderRequest,
    duration: std::time::Duration,
) {
    if core.faults.current().crash_in_order == Some(true) {
        tokio::time::sleep(duration / 2).await;
        core.handle.crash();
        return;
    }
    tokio::time::sleep(duration).await;
    engine::lock(&core.orders).finish(&request);
}

fn order_state(core: &engine::EngineCore) -> response::Response {
    Json(engine::lock(&core.orders).state()).into_response()
}

async fn read_orders(extract::State(core): CoreState) -> response::Response {
    order_state(&core)
}

async fn read_load(extract::State(core): CoreState) -> response::Response {
    Json(core.load()).into_response()
}

#[derive(serde::Deserialize)]
struct EventQuery {
    #[serde(default)]
    since: u64,
}

async fn read_events(
    extract::State(core): CoreState,
    extract::Query(query): extract::Query<EventQuery>,
) -> Json<cache::CacheEventPage> {
    let now = std::time::Instant::now();
    Json(engine::lock(&core.batch).cache().page(query.since, now))
}

/// The body of KV export and import requests and responses.
#[derive(serde::Deserialize, serde::Serialize)]
struct KvState {
    request: String,
    #[serde(default)]
    tokens: u64,
}

async fn export_kv(
    extract::State(core): CoreState,
    Json(state): Json<KvState>,
) -> response::Response {
    let Some(tokens) = engine::lock(&core.batch).export(&state.request) else {
        return error_response(http::StatusCode::NOT_FOUND, "request does not run here");
    };
    let request = state.request;
    sleep_for_pieces(&core, tokens).await;
    Json(KvState { request, tokens }).into_response()
}

async fn import_kv(
    extract::State(core): CoreState,
    Json(state): Json<KvState>,
) -> response::Response {
    sleep_for_pieces(&core, state.tokens).await;
    engine::lock(&core.batch).import(&state.request);
    Json(state).into_response()
}

async fn sleep_for_pieces(core: &engine::EngineCore, tokens: u64) {
    let pieces = usher_types::TokenCount::new(tokens).pieces().get();
    let pieces = u32::try_from(pieces).unwrap_or(u32::MAX);
    tokio::time::sleep(core.options.scaled(PIECE_TIME.saturating_mul(pieces))).await;
}

async fn set_faults(
    extract::State(core): CoreState,
    Json(request): Json<faults::FaultRequest>,
) -> Json<faults::FaultRequest> {
    core.faults.apply(request);
    core.work.notify_one();
    Json(core.faults.current())
}

async fn read_faults(extract::State(core): CoreState) -> Json<faults::FaultRequest> {
    Json(core.faults.current())
}

async fn read_requests(extract::State(core): CoreState) -> Json<Vec<String>> {
    Json(engine::lock(&core.requests).clone())
}
