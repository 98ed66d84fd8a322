//! Streams whose engine crashes, stalls, sends invalid data or ends early.

use std::time;

use crate::support::{chat_body, options, steady, wait_for, Fleet};
use usher_entry::{EntryOptions, OutcomeCause};
use usher_fake::FakeEngine;

const TOKENS: u64 = 40;

/// Makes an engine break its streams after a few tokens.
type Break = fn(&FakeEngine);

fn crash(engine: &FakeEngine) {
    engine.faults().crash_after(9);
}

fn stall(engine: &FakeEngine) {
    engine.faults().stall_after(9);
}

fn garbage(engine: &FakeEngine) {
    engine.faults().garbage_after(9);
}

fn cut(engine: &FakeEngine) {
    engine.faults().cut_after(9);
}

fn short_stall_options() -> EntryOptions {
    options().with_stall_timeout(time::Duration::from_millis(300))
}

/// Starts two engines; the one chosen first breaks its streams.
async fn broken_fleet(
    options: EntryOptions,
    inject_fault: Break,
) -> (Fleet, FakeEngine, FakeEngine) {
    let fleet = Fleet::start(options).await;
    let broken = fleet.engine(steady("engine-1")).await;
    inject_fault(&broken);
    let reply = async {
        // The second engine joins after the first has received the call.
        let call = fleet.stream(TOKENS);
        let other = async {
            wait_for("the first engine has the call", || {
                !broken.requests().is_empty()
            })
            .await;
            fleet.engine(steady("engine-2")).await
        };
        tokio::join!(call, other)
    };
    let (reply, other) = reply.await;
    check_reply(&fleet, &reply);
    (fleet, broken, other)
}

fn check_reply(fleet: &Fleet, reply: &crate::support::Reply) {
    let causes = fleet.outcomes.causes();
    let complete = reply.chunks().1;
    if complete {
        reply.assert_complete(TOKENS);
        assert_eq!(causes, [OutcomeCause::Ok]);
    } else {
        let (text, expected) = reply.texts(TOKENS);
        assert_ne!(text, expected);
        assert!(reply.text.contains("\"run\":\"unknown\""), "{}", reply.text);
    }
}

fn resume(inject_fault: Break) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (fleet, _broken, other) = broken_fleet(short_stall_options(), inject_fault).await;
        assert_eq!(fleet.outcomes.causes(), [OutcomeCause::Ok]);
        assert_eq!(
            other.requests().len(),
            1,
            "the stream was not resumed exactly once"
        );
        fleet.wait_idle().await;
    });
}

usher_types::cases! { resume:
    /// Guards against a lost or repeated token when the engine of a stream dies.
    crashed_engine_is_resumed(crash);
    /// Guards against a stream that hangs because its engine stalls.
    stalled_engine_is_resumed(stall);
    /// Guards against forwarding invalid data as an answer.
    garbage_is_resumed(garbage);
    /// Guards against a cut stream that looks complete.
    cut_stream_is_resumed(cut);
}

fn break_without_resume(inject_fault: Break) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let options = short_stall_options().without_resume();
        let (fleet, _broken, other) = broken_fleet(options, inject_fault).await;
        assert!(!fleet.outcomes.causes().contains(&OutcomeCause::Ok));
        assert!(other.requests().is_empty());
    });
}

usher_types::cases! { break_without_resume:
    /// Shows that the answers above are incomplete without resuming.
    crash_breaks_the_answer_without_resume(crash);
    stall_breaks_the_answer_without_resume(stall);
    garbage_breaks_the_answer_without_resume(garbage);
    cut_breaks_the_answer_without_resume(cut);
}

/// Shows that invalid data reaches the caller if events aren't parsed.
#[tokio::test]
async fn garbage_is_passed_on_without_checks() {
    let fleet = Fleet::start(options().without_checks().without_resume()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    garbage(&engine);
    let reply = fleet.stream(TOKENS).await;
    assert!(reply.text.contains("<html>"), "{}", reply.text);
}

/// Shows that a caller waits forever if stalls aren't detected.
#[tokio::test]
async fn stall_hangs_without_timeout() {
    let fleet = Fleet::start(short_stall_options().without_stall()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let _other = fleet.engine(steady("engine-2")).await;
    engine.faults().stall_after(9);
    _other.faults().stall_after(9);
    let call = fleet.stream(TOKENS);
    let waited = tokio::time::timeout(time::Duration::from_secs(2), call).await;
    assert!(waited.is_err(), "the stalled stream ended");
}

/// Guards against a JSON answer that fails with a single engine.
#[tokio::test]
async fn json_answer_survives_crashes() {
    let fleet = Fleet::start(options()).await;
    let engines = [
        fleet.engine(steady("engine-1")).await,
        fleet.engine(steady("engine-2")).await,
        fleet.engine(steady("engine-3")).await,
    ];
    engines[0].faults().crash_after(5);
    engines[1].faults().crash_after(12);
    let answer = fleet.chat(&chat_body(TOKENS, false)).await.json();
    let seed = answer["id"]
        .as_str()
        .unwrap()
        .strip_prefix("chatcmpl-")
        .unwrap();
    let expected = usher_fake::reply_text(seed, TOKENS);
    assert_eq!(answer["choices"][0]["message"]["content"], expected);
    assert_eq!(answer["usage"]["completion_tokens"], TOKENS);
}

/// Guards against giving up a stream because no engine is available for a moment.
#[tokio::test]
async fn resume_waits_for_an_engine() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    crash(&engine);
    let call = fleet.stream(TOKENS);
    let replacement = async {
        engine.ended().await;
        fleet.engine(steady("engine-2")).await
    };
    let (reply, _replacement) = tokio::join!(call, replacement);
    reply.assert_complete(TOKENS);
}

/// Guards against chunks of two engines with different ids, which look like two answers.
#[tokio::test]
async fn resumed_stream_keeps_its_id() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let _other = fleet.engine(steady("engine-2")).await;
    crash(&engine);
    let (chunks, _) = fleet.stream(TOKENS).await.chunks();
    let first = &chunks[0];
    for chunk in &chunks {
        assert_eq!(
            (&chunk["id"], &chunk["created"]),
            (&first["id"], &first["created"])
        );
    }
}

/// Guards against answers that reach the wrong caller when many calls run and engines fail.
#[tokio::test]
async fn every_caller_gets_its_own_answer() {
    let fleet = Fleet::start(short_stall_options()).await;
    let mut engines = Vec::new();
    for number in 1..=4 {
        engines.push(fleet.engine(steady(&format!("engine-{number}"))).await);
    }
    engines[0].faults().crash_after(30);
    engines[1].faults().garbage_after(20);
    let calls = (0..60).map(|number| {
        let tokens = 10 + number % 7 * 5;
        let fleet = &fleet;
        async move { (tokens, fleet.stream(tokens).await) }
    });
    let replies = futures_util::future::join_all(calls).await;
    let mut texts = std::collections::BTreeSet::new();
    for (tokens, reply) in replies {
        reply.assert_complete(tokens);
        assert!(
            texts.insert(reply.texts(tokens).0),
            "two callers got one answer"
        );
    }
    fleet.wait_idle().await;
}

/// Guards against a call that fails because one engine fails before its first token.
#[tokio::test]
async fn call_is_retried_before_its_first_token() {
    let fleet = Fleet::start(options()).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let other = fleet.engine(steady("engine-2")).await;
    fleet.fill_budget().await;
    engine.faults().fail(true);
    other.faults().fail(true);
    // Both engines fail, so the caller gets an error after a retry.
    let reply = fleet.stream(3).await;
    assert_eq!(reply.status, 502, "{}", reply.text);
    engine.faults().clear();
    for _ in 0..4 {
        let reply = fleet.stream(3).await;
        if reply.status == 200 {
            reply.assert_complete(3);
        }
    }
    fleet.wait_idle().await;
}

/// Sends calls until one of them has reached a stalled engine; returns whether it was answered.
async fn call_a_stalled_engine(options: EntryOptions) -> (Fleet, FakeEngine, bool) {
    let fleet = Fleet::start(options).await;
    let stalled = fleet.engine(steady("engine-1")).await;
    let _other = fleet.engine(steady("engine-2")).await;
    fleet.fill_budget().await;
    let before = stalled.requests().len();
    stalled.faults().stall(true);
    let mut answered = true;
    while answered && stalled.requests().len() == before {
        let call = tokio::time::timeout(time::Duration::from_secs(3), fleet.stream(3));
        match call.await {
            Ok(reply) => reply.assert_complete(3),
            Err(_) => answered = false,
        }
    }
    (fleet, stalled, answered)
}

/// Guards against short work that waits for an engine without a first token, and against a losing
/// attempt that isn't cancelled.
#[tokio::test]
async fn late_first_token_is_hedged() {
    let (fleet, stalled, answered) = call_a_stalled_engine(options()).await;
    assert!(answered);
    stalled.faults().clear();
    wait_for("the loser is cancelled", || stalled.open_streams() == 0).await;
    fleet.wait_idle().await;
}

/// Shows that such a call hangs without hedges.
#[tokio::test]
async fn late_first_token_waits_without_hedge() {
    let (_fleet, _stalled, answered) = call_a_stalled_engine(options().without_hedge()).await;
    assert!(!answered);
}
