//! Callers of a scenario and the results of their calls. Not for: expectations.

use std::{net, time};

use crate::{caller, step};

/// Number of tokens in each streamed answer.
const ANSWER_TOKENS: u64 = 24;

/// Maximum number of attempts per call, each through the next entry; their pauses add up to one
/// minute. The claims of a killed entry become unknown only after its routing right has expired and
/// a new leader was elected, and both take longer on a loaded machine.
const MAX_ATTEMPTS: usize = 240;

/// Pause of a caller before a retry.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Results of the calls of a load.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LoadTotals {
    pub(crate) calls: u64,
    /// Calls with a complete and correct answer.
    pub(crate) whole: u64,
    /// Calls with an incomplete answer or the answer to another call.
    pub(crate) wrong: u64,
    /// Calls that were refused or whose connection broke on every attempt.
    pub(crate) unanswered: u64,
    /// Non-idempotent calls whose outcome was reported as unknown.
    pub(crate) unknown: u64,
    /// Total number of attempts.
    pub(crate) attempts: u64,
    /// An example of a wrong answer or of the last refusal, for the message of a failed
    /// expectation.
    pub(crate) example: String,
}

impl LoadTotals {
    pub(crate) fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.whole += other.whole;
        self.wrong += other.wrong;
        self.unanswered += other.unanswered;
        self.unknown += other.unknown;
        self.attempts += other.attempts;
        if self.example.is_empty() {
            self.example = other.example;
        }
    }
}

/// Result of one attempt.
enum AttemptOutcome {
    Complete,
    Wrong(String),
    Unknown,
    Retry(String),
}

/// Sends one call until it is answered; each attempt goes through the next entry.
pub(crate) async fn run_call(
    caller: caller::HttpCaller,
    entries: Vec<net::SocketAddr>,
    kind: step::LoadKind,
    number: usize,
) -> LoadTotals {
    let mut totals = LoadTotals {
        calls: 1,
        ..LoadTotals::default()
    };
    for attempt in 0..MAX_ATTEMPTS {
        totals.attempts += 1;
        let entry = entries[(number + attempt) % entries.len()];
        let outcome = match kind {
            step::LoadKind::Chat => chat(&caller, entry, number).await,
            step::LoadKind::Order => order(&caller, entry, number).await,
        };
        match outcome {
            AttemptOutcome::Complete => totals.whole += 1,
            AttemptOutcome::Unknown => totals.unknown += 1,
            AttemptOutcome::Wrong(example) => {
                totals.wrong += 1;
                totals.example = example;
            }
            AttemptOutcome::Retry(refusal) => {
                totals.example = refusal;
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        return totals;
    }
    totals.unanswered += 1;
    totals
}

async fn chat(
    caller: &caller::HttpCaller,
    entry: net::SocketAddr,
    number: usize,
) -> AttemptOutcome {
    let body = serde_json::json!({
        "model": super::runner::MODEL,
        "stream": true,
        "max_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": format!("question {number}")}],
    });
    let path = "/v1/chat/completions";
    let answer = caller
        .call(http::Method::POST, entry, path, &[], body.to_string())
        .await;
    // The entry may have been killed; the caller retries, because the call is idempotent.
    let Some(answer) = answer else {
        return AttemptOutcome::Retry("connection broke or the call timed out".to_owned());
    };
    if answer.status != 200 {
        return AttemptOutcome::Retry(describe(&answer));
    }
    let expected = usher_fake::reply_text(answer.header("x-request-id"), ANSWER_TOKENS);
    let (text, done) = join_events(&answer.body);
    if done && text == expected {
        return AttemptOutcome::Complete;
    }
    AttemptOutcome::Wrong(format!(
        "expected {expected:?}, got {text:?}, final event received: {done}"
    ))
}

/// Returns the concatenated text of the events, and whether the final event arrived.
fn join_events(body: &[u8]) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for line in String::from_utf8_lossy(body).lines() {
        let Some(data) = line.strip_prefix("data:") else {
            continue;
        };
        if data.trim() == "[DONE]" {
            done = true;
        }
        let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        let delta = &event["choices"][0]["delta"]["content"];
        text.push_str(delta.as_str().unwrap_or_default());
    }
    (text, done)
}

async fn order(
    caller: &caller::HttpCaller,
    entry: net::SocketAddr,
    number: usize,
) -> AttemptOutcome {
    let key = format!("order-{number}");
    let body = serde_json::json!({ "order": number }).to_string();
    let headers = [("idempotency-key", key.as_str())];
    let path = format!("/svc/{}/orders", super::runner::PLAIN_SERVICE);
    let answer = caller
        .call(http::Method::POST, entry, &path, &headers, body.clone())
        .await;
    let Some(answer) = answer else {
        return AttemptOutcome::Retry("connection broke or the call timed out".to_owned());
    };
    match (answer.status, answer.header("x-run")) {
        (200, _) if answer.json()["body"].as_str() == Some(&body) => AttemptOutcome::Complete,
        (200, _) => AttemptOutcome::Wrong(String::from_utf8_lossy(&answer.body).into_owned()),
        // The call may have run, and is never run again under its key.
        (409, _) if answer.json()["error"]["code"] == "outcome_unknown" => AttemptOutcome::Unknown,
        // The call is still running elsewhere or was not run: the caller retries.
        (409, _) | (_, "not-run") => AttemptOutcome::Retry(describe(&answer)),
        (_, "unknown") => AttemptOutcome::Unknown,
        _ => AttemptOutcome::Retry(describe(&answer)),
    }
}

fn describe(answer: &caller::CallAnswer) -> String {
    format!(
        "{}: {}",
        answer.status,
        String::from_utf8_lossy(&answer.body)
    )
}
