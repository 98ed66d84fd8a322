//! The fake engine implements the engine HTTP interface and injects faults as requested.

use std::time;

use http_body_util::BodyExt as _;
use usher_fake::{reply_text, EngineOptions, FakeEngine, OrderState};

type Client = hyper_util::client::legacy::Client<
    hyper_util::client::legacy::connect::HttpConnector,
    http_body_util::Full<bytes::Bytes>,
>;

fn client() -> Client {
    hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new()).build_http()
}

async fn start(options: EngineOptions) -> FakeEngine {
    let options = options.with_load_lag(time::Duration::ZERO);
    FakeEngine::start(options).await.unwrap()
}

async fn post(
    engine: &FakeEngine,
    path: &str,
    body: &serde_json::Value,
) -> http::Response<hyper::body::Incoming> {
    let uri = format!("http://{}{path}", engine.address());
    let request = http::Request::post(uri)
        .header("content-type", "application/json")
        .body(http_body_util::Full::from(body.to_string()))
        .unwrap();
    client().request(request).await.unwrap()
}

async fn get(engine: &FakeEngine, path: &str) -> serde_json::Value {
    let uri = format!("http://{}{path}", engine.address());
    let response = client().get(uri.parse().unwrap()).await.unwrap();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&bytes).unwrap()
}

fn request(tokens: u64) -> serde_json::Value {
    serde_json::json!({
        "model": "assist-1", "stream": true, "seed_id": "seed", "max_tokens": tokens,
        "messages": [{ "role": "user", "content": "where is crew 4?" }],
    })
}

fn text_of(body: &str) -> String {
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    chunks
        .filter_map(|chunk| {
            let content = &chunk["choices"][0]["delta"]["content"];
            content.as_str().map(str::to_owned)
        })
        .collect()
}

async fn body_text(response: http::Response<hyper::body::Incoming>) -> String {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a resumed stream whose text differs from the uninterrupted stream.
#[tokio::test]
async fn resumed_stream_continues_the_same_text() {
    let engine = start(EngineOptions::new("engine-1").without_delays()).await;
    let full_text =
        text_of(&body_text(post(&engine, "/v1/chat/completions", &request(20)).await).await);
    assert_eq!(full_text, reply_text("seed", 20));
    let mut resumed = request(20);
    resumed["resume_from"] = 7.into();
    let resumed_text =
        text_of(&body_text(post(&engine, "/v1/chat/completions", &resumed).await).await);
    assert_eq!(reply_text("seed", 7) + &resumed_text, full_text);
}

/// Guards against a crash that looks like a normal end of the stream.
#[tokio::test]
async fn crash_resets_the_stream() {
    let engine = start(EngineOptions::new("engine-1").with_time_scale(20.0)).await;
    engine.faults().crash_after(5);
    let response = post(&engine, "/v1/chat/completions", &request(20)).await;
    assert!(response.into_body().collect().await.is_err());
    let refused = tokio::net::TcpStream::connect(engine.address()).await;
    assert!(refused.is_err(), "a crashed engine still listens");
}

/// Guards against an engine with fencing that accepts an order with an old fencing number.
#[tokio::test]
async fn old_fencing_number_is_refused_where_checked() {
    for (fenced, status) in [(true, 409), (false, 200)] {
        let options = EngineOptions::new("engine-1").with_time_scale(1_000.0);
        let engine = start(options.with_fenced(fenced)).await;
        for (fence, expected) in [(7, 200), (6, status)] {
            let order = serde_json::json!({ "fence": fence, "kind": "role", "role": "prefill" });
            let response = post(&engine, "/v1/orders", &order).await;
            assert_eq!(
                response.status(),
                expected,
                "fence {fence}, fenced {fenced}"
            );
        }
        let state: OrderState = serde_json::from_value(get(&engine, "/v1/orders").await).unwrap();
        assert_eq!(state.fence, 7);
    }
}

/// Guards against an engine that accepts requests during a role change.
#[tokio::test]
async fn engine_refuses_requests_while_it_changes() {
    let options = EngineOptions::new("engine-1").with_role_time(time::Duration::from_secs(600));
    let engine = start(options).await;
    let ordered = engine.clone();
    let order = serde_json::json!({ "fence": 1, "kind": "role", "role": "decode" });
    let task = tokio::spawn(async move { post(&ordered, "/v1/orders", &order).await.status() });
    while !engine.order_state().changing {
        tokio::task::yield_now().await;
    }
    let response = post(&engine, "/v1/chat/completions", &request(1)).await;
    assert_eq!(response.status(), 503);
    task.abort();
}

/// Guards against a low-priority request that is served before a high-priority one.
#[tokio::test]
async fn priority_comes_before_arrival() {
    let options = EngineOptions::new("engine-1").with_max_running(1usize);
    let engine = start(options.without_delays()).await;
    engine.faults().stall(true);
    let mut answers = Vec::new();
    for (index, priority) in [9, 9, 0].into_iter().enumerate() {
        let mut body = request(5);
        body["seed_id"] = format!("request-{index}").into();
        body["priority"] = priority.into();
        let sender = engine.clone();
        answers.push(tokio::spawn(async move {
            let text = body_text(post(&sender, "/v1/chat/completions", &body).await).await;
            (time::Instant::now(), text)
        }));
        while engine.open_streams() <= index {
            tokio::task::yield_now().await;
        }
    }
    engine.faults().clear();
    let mut ends = Vec::new();
    for answer in answers {
        ends.push(answer.await.unwrap().0);
    }
    assert!(
        ends[2] < ends[1],
        "high priority ended after an earlier low one"
    );
}

/// Guards against an engine whose cache events never have gaps: the interface allows gaps, so
/// clients must be tested with them.
#[tokio::test]
async fn cache_events_have_gaps() {
    let options = EngineOptions::new("engine-1").with_event_gap(3u64);
    let engine = start(
        options
            .with_event_lag(time::Duration::ZERO)
            .without_delays(),
    )
    .await;
    let mut body = request(1);
    body["messages"][0]["content"] = "x".repeat(6 * 4_096).into();
    body_text(post(&engine, "/v1/chat/completions", &body).await).await;
    let page = get(&engine, "/v1/cache/events?since=0").await;
    let seqs: Vec<_> = page["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| e["seq"].as_u64())
        .collect();
    assert_eq!(seqs, [Some(1), Some(2), Some(4), Some(5)]);
}

/// Guards against a cancelled request that keeps its memory.
#[tokio::test]
async fn cancel_frees_the_stream() {
    let engine = start(EngineOptions::new("engine-1")).await;
    engine.faults().stall(true);
    let response = post(&engine, "/v1/chat/completions", &request(5)).await;
    assert_eq!(engine.open_streams(), 1);
    post(&engine, "/v1/requests/seed/cancel", &serde_json::json!({})).await;
    assert_eq!(engine.open_streams(), 0);
    drop(response);
}
