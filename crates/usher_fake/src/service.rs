//! A running fake plain service that counts the executions of each call. Not for: engines.

use std::{collections, io, net, sync, time};

use axum::{extract, middleware, response, response::IntoResponse as _, routing, Json};

use crate::{announce, engine, notice, server, service_options};

/// Largest accepted request body, in bytes; larger than the limit of an entry.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Number of executions of each call, by key; also the response to `GET /fake/calls`.
pub type CallCounts = collections::BTreeMap<String, u64>;

struct ServiceCore {
    options: service_options::ServiceOptions,
    behaviour: sync::Mutex<service_options::ServiceBehaviour>,
    calls: sync::Mutex<CallCounts>,
    running: sync::atomic::AtomicU32,
    leaving: sync::atomic::AtomicBool,
    handle: server::ServerHandle,
}

/// A simulated plain service that serves HTTP on loopback.
///
/// The key of a call is its `Idempotency-Key` header or else its method and path. The response
/// echoes the key, the path and the body.
#[derive(Clone)]
pub struct FakeService {
    core: sync::Arc<ServiceCore>,
    address: net::SocketAddr,
}

impl FakeService {
    /// Starts the service in the current tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the listen address can't be bound.
    pub async fn start(options: service_options::ServiceOptions) -> io::Result<Self> {
        let core = sync::Arc::new(ServiceCore {
            behaviour: sync::Mutex::new(options.behaviour.clone()),
            calls: sync::Mutex::default(),
            running: sync::atomic::AtomicU32::new(0),
            leaving: sync::atomic::AtomicBool::new(false),
            handle: server::ServerHandle::new(),
            options,
        });
        let make_router = |_| router(core.clone());
        let address = server::start(core.options.bind, make_router, core.handle.clone()).await?;
        let announcer = core.clone();
        tokio::spawn(announce::run_announcer(
            core.options.entries.clone(),
            core.options.announce_interval,
            core.handle.clone(),
            move || announcer.announcement(address),
        ));
        Ok(Self { core, address })
    }

    /// Returns the listen address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the number of executions of each call.
    pub fn calls(&self) -> CallCounts {
        engine::lock(&self.core.calls).clone()
    }

    /// Sets the behaviour for the next calls.
    pub fn set_behaviour(&self, behaviour: service_options::ServiceBehaviour) {
        *engine::lock(&self.core.behaviour) = behaviour;
    }

    /// Announces from now on that it is leaving, and continues to serve.
    pub fn begin_leaving(&self) {
        self.core
            .leaving
            .store(true, sync::atomic::Ordering::SeqCst);
    }

    /// Announces that it is leaving, lets the running calls finish, and stops.
    pub async fn leave(&self) {
        self.begin_leaving();
        let interval = self.core.options.announce_interval;
        tokio::time::sleep(interval).await;
        while self.core.running.load(sync::atomic::Ordering::SeqCst) > 0 {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        self.core.handle.stop();
    }

    /// Simulates a crash: resets all connections and stops listening.
    pub fn crash(&self) {
        self.core.handle.crash();
    }

    /// Closes all connections and stops listening.
    pub fn stop(&self) {
        self.core.handle.stop();
    }

    /// Waits until the service was stopped or has crashed.
    pub async fn ended(&self) {
        self.core.handle.ended().await;
    }
}

impl ServiceCore {
    fn announcement(&self, address: net::SocketAddr) -> announce::Announcement {
        announce::Announcement {
            name: self.options.name.clone(),
            incarnation: self.options.incarnation,
            address,
            kind: usher_types::TargetKind::Plain,
            service: self.options.service.clone(),
            model: None,
            adapters: Vec::new(),
            version: None,
            role: None,
            region: self.options.region.clone(),
            domain: self.options.domain.clone(),
            kv_pieces: 0,
            fenced: false,
            leaving: self.leaving.load(sync::atomic::Ordering::SeqCst),
            load: announce::LoadSnapshot {
                at_ms: engine::unix_time_ms(),
                running: self.running.load(sync::atomic::Ordering::SeqCst),
                ..announce::LoadSnapshot::default()
            },
        }
    }
}

fn router(core: sync::Arc<ServiceCore>) -> axum::Router {
    axum::Router::new()
        .route("/fake/calls", routing::get(read_calls))
        .route("/fake/behaviour", routing::post(set_behaviour))
        .fallback(handle_call)
        .layer(extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(middleware::map_response_with_state(
            core.clone(),
            mark_answer,
        ))
        .layer(middleware::from_fn(notice::state_id))
        .with_state(core)
}

async fn mark_answer(
    extract::State(core): CoreState,
    answer: response::Response,
) -> response::Response {
    let leaving = core.leaving.load(sync::atomic::Ordering::SeqCst);
    let says_leaving = engine::lock(&core.behaviour).says_leaving;
    notice::mark_answer(answer, leaving || says_leaving)
}

type CoreState = extract::State<sync::Arc<ServiceCore>>;

async fn read_calls(extract::State(core): CoreState) -> Json<CallCounts> {
    Json(engine::lock(&core.calls).clone())
}

async fn set_behaviour(
    extract::State(core): CoreState,
    Json(behaviour): Json<service_options::ServiceBehaviour>,
) -> http::StatusCode {
    *engine::lock(&core.behaviour) = behaviour;
    http::StatusCode::NO_CONTENT
}

async fn handle_call(
    extract::State(core): CoreState,
    method: http::Method,
    uri: http::Uri,
    headers: http::HeaderMap,
    body: bytes::Bytes,
) -> response::Response {
    // Runs in its own task, so that a call that has begun is executed even if the connection
    // breaks.
    let task = tokio::spawn(run_call(core, method, uri, headers, body));
    match task.await {
        Ok(response) => response,
        Err(_) => http::StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn run_call(
    core: sync::Arc<ServiceCore>,
    method: http::Method,
    uri: http::Uri,
    headers: http::HeaderMap,
    body: bytes::Bytes,
) -> response::Response {
    let behaviour = engine::lock(&core.behaviour).clone();
    let header = headers.get("idempotency-key");
    let header = header.and_then(|value| value.to_str().ok());
    let key = header.map_or_else(|| format!("{method} {}", uri.path()), str::to_owned);
    core.running.fetch_add(1, sync::atomic::Ordering::SeqCst);
    let response = run_behaviour(&core, &behaviour, &key, &uri, &body).await;
    core.running.fetch_sub(1, sync::atomic::Ordering::SeqCst);
    response
}

async fn run_behaviour(
    core: &ServiceCore,
    behaviour: &service_options::ServiceBehaviour,
    key: &str,
    uri: &http::Uri,
    body: &bytes::Bytes,
) -> response::Response {
    tokio::time::sleep(time::Duration::from_millis(behaviour.delay_ms)).await;
    if behaviour.die_before {
        core.handle.crash();
    }
    // A process that crashed in the meantime executes no more calls.
    if core.handle.is_ended() {
        return std::future::pending().await;
    }
    if behaviour.pause_ms > 0 {
        return notice::refuse_with_pause(behaviour.pause_ms);
    }
    if behaviour.failing {
        let message = "injected failure";
        return (http::StatusCode::INTERNAL_SERVER_ERROR, message).into_response();
    }
    let count = {
        let mut calls = engine::lock(&core.calls);
        let count = calls.entry(key.to_owned()).or_default();
        *count += 1;
        *count
    };
    if behaviour.die_after {
        core.handle.crash();
        return std::future::pending().await;
    }
    tokio::time::sleep(time::Duration::from_millis(behaviour.answer_delay_ms)).await;
    Json(serde_json::json!({
        "key": key,
        "path": uri.path(),
        "count": count,
        "body": String::from_utf8_lossy(body),
        "padding": "x".repeat(behaviour.padding),
    }))
    .into_response()
}
