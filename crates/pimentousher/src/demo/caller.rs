//! One caller's request with resends, and the check of its answer. Not for: the plan.

use std::{net, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

/// How often a caller sends one request before it gives up.
const MAX_SENDS: usize = 12;
/// Pause before a request is sent again.
const PAUSE: time::Duration = time::Duration::from_millis(250);
/// How long one answer may take: a caller that waits for ever would hide a lost request.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(20);

/// When a caller drops its connection: mostly after the call had its effect, and before the
/// service answers.
const DROP_AFTER: time::Duration = time::Duration::from_millis(50);

type BodyBytes = http_body_util::Full<hyper::body::Bytes>;
type HttpClient = legacy::Client<legacy::connect::HttpConnector, BodyBytes>;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(super) enum CallPlan {
    /// A chat answer as a stream.
    Stream {
        /// Text of the question.
        prompt: String,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// A completion as one body.
    Whole {
        /// Text of the prompt.
        prompt: String,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// An idempotent plain call.
    Read {
        /// Path inside the service.
        path: String,
    },
    /// A non-idempotent plain call.
    Write {
        /// Idempotency key.
        key: String,
        /// Body.
        body: String,
        /// Whether the caller drops the first connection before the answer, and resends.
        drops: bool,
    },
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct CallResult {
    pub(super) outcome: CallOutcome,
    pub(super) sends: usize,
    pub(super) first_token: Option<time::Duration>,
    pub(super) gaps: Vec<time::Duration>,
}

/// How a request ended.
#[derive(Clone, Debug, Default)]
pub(super) enum CallOutcome {
    /// With a whole and correct answer.
    Whole,
    /// Refused each time, and not run.
    #[default]
    Refused,
    /// Accepted, or perhaps accepted, without a whole and correct answer.
    Lost(String),
}

/// What one sending of a request came to.
enum Sent {
    Whole,
    /// Not run, or answered later under its key: send it again.
    Again(String),
    Wrong(String),
}

/// Sends requests to the entries in turn, as a load balancer does.
#[derive(Clone)]
pub(super) struct Caller {
    client: HttpClient,
    entries: Vec<net::SocketAddr>,
}

impl Caller {
    pub(super) fn new(entries: Vec<net::SocketAddr>) -> Self {
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client, entries }
    }

    /// Sends a request until it has its answer or the caller gives up.
    pub(super) async fn call(&self, plan: &CallPlan, turn: usize) -> CallResult {
        let mut result = CallResult::default();
        // A request may have run once a connection broke after it was sent.
        let mut may_have_run = None;
        for attempt in 0..MAX_SENDS {
            result.sends += 1;
            let place = (turn + attempt) % self.entries.len().max(1);
            let Some(entry) = self.entries.get(place) else {
                break;
            };
            let drops = attempt == 0 && matches!(plan, CallPlan::Write { drops: true, .. });
            let sent = self.send(*entry, plan, drops, &mut result);
            let sent = tokio::time::timeout(ANSWER_LIMIT, sent).await;
            match sent.unwrap_or_else(|_| Sent::Wrong("no whole answer in time".to_owned())) {
                Sent::Whole => {
                    result.outcome = CallOutcome::Whole;
                    return result;
                }
                Sent::Wrong(why) => {
                    result.outcome = CallOutcome::Lost(why);
                    return result;
                }
                Sent::Again(why) => {
                    if !why.starts_with("not run") {
                        may_have_run = Some(why);
                    }
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        if let Some(why) = may_have_run {
            result.outcome = CallOutcome::Lost(why);
        }
        result
    }

    async fn send(
        &self,
        entry: net::SocketAddr,
        plan: &CallPlan,
        drops: bool,
        result: &mut CallResult,
    ) -> Sent {
        let request = match make_request(entry, plan) {
            Ok(request) => request,
            Err(error) => return Sent::Wrong(error.to_string()),
        };
        let begun = tokio::time::Instant::now();
        let sending = self.client.request(request);
        if drops {
            let _ = tokio::time::timeout(DROP_AFTER, sending).await;
            return Sent::Again("the caller dropped its connection".to_owned());
        }
        let answer = match sending.await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => {
                return Sent::Again(format!("not run: {entry} can't be reached"));
            }
            Err(error) => return Sent::Again(format!("{entry} gave no answer: {error}")),
        };
        if answer.status() != http::StatusCode::OK {
            return refused(answer, plan).await;
        }
        read_answer(answer, plan, begun, result).await
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
        CallPlan::Whole { prompt, tokens } => json(
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

/// Judges an answer with an error status.
async fn refused(answer: http::Response<hyper::body::Incoming>, plan: &CallPlan) -> Sent {
    let status = answer.status();
    let run = answer.headers().get("x-run").cloned();
    let run = run
        .as_ref()
        .and_then(|run| run.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = answer.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let text: String = String::from_utf8_lossy(&body).chars().take(200).collect();
    if run == "not-run" {
        return Sent::Again(format!("not run: {status}: {text}"));
    }
    // The first sending under this key is still running.
    if matches!(plan, CallPlan::Write { .. }) && status == http::StatusCode::CONFLICT {
        return Sent::Again(format!("{status}: {text}"));
    }
    Sent::Wrong(format!("{status}, run {run:?}: {text}"))
}

async fn read_answer(
    answer: http::Response<hyper::body::Incoming>,
    plan: &CallPlan,
    begun: tokio::time::Instant,
    result: &mut CallResult,
) -> Sent {
    let id = answer.headers().get("x-request-id").cloned();
    let id = id
        .as_ref()
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    if let CallPlan::Stream { tokens, .. } = plan {
        return read_stream(answer.into_body(), &id, *tokens, begun, result).await;
    }
    let body = match answer.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Sent::Wrong(format!("the answer broke off: {error}")),
    };
    let Ok(body) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return Sent::Wrong("the answer is not JSON".to_owned());
    };
    let right = match plan {
        CallPlan::Whole { tokens, .. } => {
            body["choices"][0]["text"] == usher_fake::reply_text(&id, *tokens)
                && body["usage"]["completion_tokens"] == *tokens
        }
        CallPlan::Read { path } => body["path"]
            .as_str()
            .is_some_and(|full| full.ends_with(path)),
        CallPlan::Write { body: sent, .. } => body["body"] == *sent,
        CallPlan::Stream { .. } => false,
    };
    if right {
        Sent::Whole
    } else {
        let shown: String = body.to_string().chars().take(200).collect();
        Sent::Wrong(format!("the answer to {id} is wrong: {shown}"))
    }
}

/// Text and end of a stream as far as it has come.
#[derive(Default)]
struct StreamText {
    text: String,
    completion_tokens: Option<u64>,
    finished: bool,
    done: bool,
    error: Option<String>,
}

impl StreamText {
    /// Takes one event; returns whether it brought text.
    fn take(&mut self, event: &str) -> bool {
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

    fn check(&self, id: &str, tokens: u64) -> Sent {
        if let Some(error) = &self.error {
            return Sent::Wrong(format!("stream {id} ended with {error}"));
        }
        let expected = usher_fake::reply_text(id, tokens);
        let whole = self.done && self.finished && self.completion_tokens == Some(tokens);
        if whole && self.text == expected {
            return Sent::Whole;
        }
        let same = self.text.bytes().zip(expected.bytes());
        let same = same.take_while(|(one, other)| one == other).count();
        Sent::Wrong(format!(
            "stream {id}: {} of {} bytes are right, {} came, finished {}, done {}, usage {:?} of \
             {tokens}",
            same,
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
    begun: tokio::time::Instant,
    result: &mut CallResult,
) -> Sent {
    let mut stream = StreamText::default();
    let mut buffer = Vec::new();
    let mut last = None;
    while let Some(frame) = body.frame().await {
        let data = match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(error) => return Sent::Wrong(format!("stream {id} broke off: {error}")),
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            if !stream.take(String::from_utf8_lossy(&event).trim_end()) {
                continue;
            }
            let now = tokio::time::Instant::now();
            match last.replace(now) {
                Some(before) => result.gaps.push(now - before),
                None => result.first_token = Some(now - begun),
            }
        }
    }
    stream.check(id, tokens)
}
