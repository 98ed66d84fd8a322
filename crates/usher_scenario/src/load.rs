//! Callers of a scenario, and what became of their calls. Not for: expectations.

use std::{net, time};

use crate::{caller, step};

/// Tokens of each streamed answer.
const ANSWER_TOKENS: u64 = 24;

/// How often a caller sends a call again, through the next entry: for a minute. The claims of a
/// killed entry become unknown only after its right and a change of leader, and a loaded machine
/// takes longer for both.
const MAX_ATTEMPTS: usize = 240;

/// Pause of a caller before it sends a call again.
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(250);

/// What became of the calls of a load.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LoadTotals {
    pub(crate) calls: u64,
    /// Answered whole, and with the answer to this very call.
    pub(crate) whole: u64,
    /// Answered with a part, or with another call's answer.
    pub(crate) wrong: u64,
    /// Refused or broken off on every attempt.
    pub(crate) unanswered: u64,
    /// Non-idempotent calls whose outcome was honestly given as unknown.
    pub(crate) unknown: u64,
    /// Attempts in all.
    pub(crate) attempts: u64,
    /// First wrong answer or last refusal, for the report of a failed expectation.
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

/// How one attempt ended.
enum AttemptOutcome {
    Whole,
    Wrong(String),
    Unknown,
    Retry(String),
}

/// Sends one call until it is answered, each attempt through the next entry.
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
            AttemptOutcome::Whole => totals.whole += 1,
            AttemptOutcome::Unknown => totals.unknown += 1,
            AttemptOutcome::Wrong(example) => {
                totals.wrong += 1;
                totals.example = example;
            }
            AttemptOutcome::Retry(refusal) => {
                totals.example = refusal;
                tokio::time::sleep(RESEND_PAUSE).await;
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
    // The entry may have been killed: the caller sends an idempotent call again.
    let Some(answer) = answer else {
        return AttemptOutcome::Retry("connection broke".to_owned());
    };
    if answer.status != 200 {
        return AttemptOutcome::Retry(describe(&answer));
    }
    let expected = usher_fake::reply_text(answer.header("x-request-id"), ANSWER_TOKENS);
    let (text, done) = join_events(&answer.body);
    if done && text == expected {
        return AttemptOutcome::Whole;
    }
    AttemptOutcome::Wrong(format!("expected {expected:?}, got {text:?}, done {done}"))
}

/// Joins the text of the events; returns it and whether the last event arrived.
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
        return AttemptOutcome::Retry("connection broke".to_owned());
    };
    match (answer.status, answer.header("x-run")) {
        (200, _) if answer.json()["body"].as_str() == Some(&body) => AttemptOutcome::Whole,
        (200, _) => AttemptOutcome::Wrong(String::from_utf8_lossy(&answer.body).into_owned()),
        // Still running elsewhere, or not run: the caller sends it again.
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
