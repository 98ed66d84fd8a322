//! Sends one request with retries, as a caller does, and checks the answer. Not for: the load plan
//! (`load`).

use std::{net, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

/// Attempts of one request before the caller gives up.
const MAX_ATTEMPTS: usize = 12;
/// Delay before a request is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);
/// Time allowed for one answer; a caller that waited forever would hide a lost request.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time after which a caller drops its connection, mostly after the call took effect and before
/// the service answers.
const DROP_DELAY: time::Duration = time::Duration::from_millis(50);

type BodyBytes = http_body_util::Full<hyper::body::Bytes>;
type HttpClient = legacy::Client<legacy::connect::HttpConnector, BodyBytes>;

/// Request that a caller sends.
#[derive(Clone, Debug)]
pub(super) enum CallPlan {
    /// Chat request with a streamed answer.
    Stream {
        /// Text of the user message.
        prompt: String,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// Completion request with the answer in one body.
    Completion {
        /// Text of the prompt.
        prompt: String,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// Idempotent plain call.
    Read {
        /// Path within the service.
        path: String,
    },
    /// Non-idempotent plain call.
    Write {
        /// Idempotency key.
        key: String,
        /// Request body.
        body: String,
        /// Whether the caller drops the first connection before the answer arrives, and retries.
        drops: bool,
    },
}

/// Result of a request over all attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct CallResult {
    pub(super) outcome: CallOutcome,
    pub(super) attempts: usize,
    pub(super) first_token: Option<time::Duration>,
    pub(super) token_gaps: Vec<time::Duration>,
}

/// Final outcome of a request.
#[derive(Clone, Debug, Default)]
pub(super) enum CallOutcome {
    /// Answered completely and correctly.
    Complete,
    /// Refused at every attempt, and not run.
    #[default]
    Refused,
    /// Accepted, or possibly accepted, without a complete and correct answer.
    Lost(String),
}

/// Result of one attempt.
enum SendResult {
    Complete,
    /// Not run, or possibly run without an answer; the request is sent again.
    Retry(String),
    Failed(String),
}

/// Caller that sends requests to the entries in rotation, as a load balancer does.
#[derive(Clone)]
pub(super) struct DemoCaller {
    client: HttpClient,
    entries: Vec<net::SocketAddr>,
}

impl DemoCaller {
    pub(super) fn new(entries: Vec<net::SocketAddr>) -> Self {
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client, entries }
    }

    /// Sends a request until it is answered or the attempts are used up, starting at the entry
    /// `first_entry`.
    pub(super) async fn call(&self, plan: &CallPlan, first_entry: usize) -> CallResult {
        let mut result = CallResult::default();
        // A request whose connection broke after it was sent may have run.
        let mut may_have_run = None;
        for attempt in 0..MAX_ATTEMPTS {
            result.attempts += 1;
            let index = (first_entry + attempt) % self.entries.len().max(1);
            let Some(entry) = self.entries.get(index) else {
                break;
            };
            let drops = attempt == 0 && matches!(plan, CallPlan::Write { drops: true, .. });
            let attempt_result = self.send(*entry, plan, drops, &mut result);
            let attempt_result = tokio::time::timeout(ANSWER_TIMEOUT, attempt_result).await;
            match attempt_result
                .unwrap_or_else(|_| SendResult::Failed("no whole answer in time".to_owned()))
            {
                SendResult::Complete => {
                    result.outcome = CallOutcome::Complete;
                    return result;
                }
                SendResult::Failed(reason) => {
                    result.outcome = CallOutcome::Lost(reason);
                    return result;
                }
                SendResult::Retry(reason) => {
                    if !reason.starts_with("not run") {
                        may_have_run = Some(reason);
                    }
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        if let Some(reason) = may_have_run {
            result.outcome = CallOutcome::Lost(reason);
        }
        result
    }

    async fn send(
        &self,
        entry: net::SocketAddr,
        plan: &CallPlan,
        drops: bool,
        result: &mut CallResult,
    ) -> SendResult {
        let request = match make_request(entry, plan) {
            Ok(request) => request,
            Err(error) => return SendResult::Failed(error.to_string()),
        };
        let started = tokio::time::Instant::now();
        let sending = self.client.request(request);
        if drops {
            let _ = tokio::time::timeout(DROP_DELAY, sending).await;
            return SendResult::Retry("the caller dropped its connection".to_owned());
        }
        let response = match sending.await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return SendResult::Retry(format!("not run: {entry} can't be reached"));
            }
            Err(error) => return SendResult::Retry(format!("{entry} gave no answer: {error}")),
        };
        if response.status() != http::StatusCode::OK {
            return interpret_refusal(response, plan).await;
        }
        check_response(response, plan, started, result).await
    }
}

fn make_request(
    entry: net::SocketAddr,
    plan: &CallPlan,
) -> Result<http::Request<BodyBytes>, http::Error> {
    let uri = |path: &str| format!("http://{entry}{path}");
    let json = |path: &str, body: serde_json::Value| {
        http::Request::post(uri(path))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(BodyBytes::from(body.to_string()))
    };
    match plan {
        CallPlan::Stream { prompt, tokens } => json(
            "/v1/chat/completions",
            serde_json::json!({
                "model": super::fleet::MODEL,
                "messages": [{ "role": "user", "content": prompt }],
                "max_tokens": tokens,
                "stream": true,
                "stream_options": { "include_usage": true },
            }),
        ),
        CallPlan::Completion { prompt, tokens } => json(
            "/v1/completions",
            serde_json::json!({
                "model": super::fleet::MODEL, "prompt": prompt, "max_tokens": tokens,
            }),
        ),
        CallPlan::Read { path } => {
            let path = format!("/svc/{}/{path}", super::fleet::SERVICE);
            http::Request::get(uri(&path)).body(BodyBytes::default())
        }
        CallPlan::Write { key, body, .. } => {
            let path = format!("/svc/{}/call-outs", super::fleet::SERVICE);
            http::Request::post(uri(&path))
                .header("idempotency-key", key)
                .body(BodyBytes::from(body.clone()))
        }
    }
}

/// Classifies a response with an error status.
async fn interpret_refusal(
    response: http::Response<hyper::body::Incoming>,
    plan: &CallPlan,
) -> SendResult {
    let status = response.status();
    let run = response.headers().get("x-run").cloned();
    let run = run
        .as_ref()
        .and_then(|run| run.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = response.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let text: String = String::from_utf8_lossy(&body).chars().take(200).collect();
    if run == "not-run" {
        return SendResult::Retry(format!("not run: {status}: {text}"));
    }
    // The first attempt under this idempotency key is still running.
    if matches!(plan, CallPlan::Write { .. }) && status == http::StatusCode::CONFLICT {
        return SendResult::Retry(format!("{status}: {text}"));
    }
    SendResult::Failed(format!("{status}, run {run:?}: {text}"))
}

async fn check_response(
    response: http::Response<hyper::body::Incoming>,
    plan: &CallPlan,
    started: tokio::time::Instant,
    result: &mut CallResult,
) -> SendResult {
    let id = response.headers().get("x-request-id").cloned();
    let id = id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    if let CallPlan::Stream { tokens, .. } = plan {
        return read_stream(response.into_body(), &id, *tokens, started, result).await;
    }
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return SendResult::Failed(format!("the answer broke off: {error}")),
    };
    let Ok(body) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return SendResult::Failed("the answer is not JSON".to_owned());
    };
    let is_correct = match plan {
        CallPlan::Completion { tokens, .. } => {
            body["choices"][0]["text"] == usher_fake::reply_text(&id, *tokens)
                && body["usage"]["completion_tokens"] == *tokens
        }
        CallPlan::Read { path } => body["path"]
            .as_str()
            .is_some_and(|full| full.ends_with(path)),
        CallPlan::Write {
            body: sent_body, ..
        } => body["body"] == *sent_body,
        CallPlan::Stream { .. } => false,
    };
    if is_correct {
        SendResult::Complete
    } else {
        let shown: String = body.to_string().chars().take(200).collect();
        SendResult::Failed(format!("the answer to {id} is wrong: {shown}"))
    }
}

/// Text and end markers of a stream received so far.
#[derive(Default)]
struct StreamState {
    text: String,
    completion_tokens: Option<u64>,
    finished: bool,
    done: bool,
    error: Option<String>,
}

impl StreamState {
    /// Processes one server-sent event; returns whether it contained text.
    fn read_event(&mut self, event: &str) -> bool {
        let Some(data) = event.strip_prefix("data: ") else {
            return false;
        };
        if data == "[DONE]" {
            self.done = true;
            return false;
        }
        let chunk: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(error) = chunk.get("error") {
            self.error = Some(error.to_string());
        }
        if let Some(count) = chunk["usage"]["completion_tokens"].as_u64() {
            self.completion_tokens = Some(count);
        }
        let choice = &chunk["choices"][0];
        self.finished |= choice["finish_reason"].is_string();
        match choice["delta"]["content"].as_str() {
            Some(text) if !text.is_empty() => {
                self.text.push_str(text);
                true
            }
            _ => false,
        }
    }

    fn check(&self, id: &str, tokens: u64) -> SendResult {
        if let Some(error) = &self.error {
            return SendResult::Failed(format!("stream {id} ended with {error}"));
        }
        let expected = usher_fake::reply_text(id, tokens);
        let is_complete = self.done && self.finished && self.completion_tokens == Some(tokens);
        if is_complete && self.text == expected {
            return SendResult::Complete;
        }
        let matching = self.text.bytes().zip(expected.bytes());
        let matching = matching
            .take_while(|(first, second)| first == second)
            .count();
        SendResult::Failed(format!(
            "stream {id}: {} of {} bytes are right, {} came, finished {}, done {}, usage {:?} of \
             {tokens}",
            matching,
            expected.len(),
            self.text.len(),
            self.finished,
            self.done,
            self.completion_tokens
        ))
    }
}

async fn read_stream(
    mut body: hyper::body::Incoming,
    id: &str,
    tokens: u64,
    started: tokio::time::Instant,
    result: &mut CallResult,
) -> SendResult {
    let mut stream = StreamState::default();
    let mut buffer = Vec::new();
    let mut last_token = None;
    while let Some(frame) = body.frame().await {
        let data = match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(error) => return SendResult::Failed(format!("stream {id} broke off: {error}")),
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            if !stream.read_event(String::from_utf8_lossy(&event).trim_end()) {
                continue;
            }
            let now = tokio::time::Instant::now();
            match last_token.replace(now) {
                Some(previous) => result.token_gaps.push(now - previous),
                None => result.first_token = Some(now - started),
            }
        }
    }
    stream.check(id, tokens)
}
