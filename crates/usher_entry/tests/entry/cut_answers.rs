//! Answers of targets that state neither a length nor chunks, whole and cut off.

use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use usher_wire::message::ClaimState;

use crate::{
    hostile,
    support::{options, raw_socket, wait_for, Fleet, Reply},
};

const PATH: &str = "/svc/rounds/call-out";
/// Key under which control stores the claim of `key-1`.
const SCOPED_KEY: &str = "key-1@anonymous/anonymous";

/// Size of an answer that is passed on while it arrives, as control doesn't record it.
const LONG_BYTES: usize = 200_000;

const JSON_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
const TEXT_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n";

/// Answers each request with the same bytes and closes the connection in order.
async fn serve_bytes(listener: tokio::net::TcpListener, bytes: String) {
    while let Ok((mut socket, _)) = listener.accept().await {
        let mut buffer = [0; 4_096];
        let _ = socket.read(&mut buffer).await;
        let _ = socket.write_all(bytes.as_bytes()).await;
    }
}

/// Starts an entry with a plain service that gives one answer.
async fn start(answer: String) -> Fleet {
    let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(60))).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let announcement = serde_json::json!({
        "name": "raw-1", "incarnation": 1, "address": listener.local_addr().unwrap(),
        "kind": "plain", "service": "rounds", "region": "south-a", "domain": "domain-1",
    });
    tokio::spawn(serve_bytes(listener, answer));
    fleet.announce(&announcement).await;
    fleet
}

async fn call(fleet: &Fleet) -> Reply {
    let request = fleet.request("POST", PATH);
    let request = request.header("idempotency-key", "key-1");
    fleet.send(request, "two crews").await
}

async fn wait_for_claim(fleet: &Fleet, state: ClaimState) {
    wait_for("the outcome is recorded", || {
        fleet.control.claim_state(SCOPED_KEY) == Some(state)
    })
    .await;
}

/// Guards against half an answer that is passed on as complete, recorded, and repeated for as long
/// as its key is kept.
#[tokio::test]
async fn cut_answer_is_not_recorded() {
    let fleet = start(format!("{JSON_HEAD}{{\"order\": 17, \"cre")).await;
    let reply = call(&fleet).await;
    assert_eq!((reply.status, reply.run()), (502, Some("unknown")));
    wait_for_claim(&fleet, ClaimState::Unknown).await;
    let resent = call(&fleet).await;
    assert_eq!(
        (resent.status, resent.code().as_str()),
        (409, "outcome_unknown")
    );
}

/// Guards against a whole answer that is refused because it states no length.
#[tokio::test]
async fn whole_answer_without_length_is_recorded() {
    let fleet = start(format!("{JSON_HEAD}{{\"order\": 17}}")).await;
    let reply = call(&fleet).await;
    assert_eq!((reply.status, &reply.text[..]), (200, "{\"order\": 17}"));
    wait_for_claim(&fleet, ClaimState::Finished).await;
    let resent = call(&fleet).await;
    assert_eq!((resent.status, &resent.text), (200, &reply.text));
}

/// Guards against a long answer that is passed on while it arrives and ends as complete although
/// it was cut off.
#[tokio::test]
async fn long_cut_answer_is_broken_off() {
    let filler = "x".repeat(LONG_BYTES);
    let fleet = start(format!("{JSON_HEAD}{{\"order\": \"{filler}")).await;
    let reply = call(&fleet).await;
    assert_eq!((reply.status, reply.complete), (200, false));
    wait_for_claim(&fleet, ClaimState::Unknown).await;
}

/// Guards against a broken answer that looks complete to a caller of HTTP/1.0, whose answers end
/// with their connection.
#[tokio::test]
async fn broken_answer_is_broken_off_for_old_callers() {
    let filler = "x".repeat(LONG_BYTES);
    let long = LONG_BYTES * 2;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {long}\r\n\r\n");
    let fleet = start(format!("{head}{filler}")).await;
    let mut socket = raw_socket(fleet.node.address()).await;
    let request = format!("GET {PATH} HTTP/1.0\r\nhost: a\r\n\r\n");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    socket
        .read_to_end(&mut bytes)
        .await
        .expect_err("the answer was broken off");
}

/// Guards against a long answer without length that isn't delivered whole to each kind of caller.
#[tokio::test]
async fn long_whole_answer_without_length_is_complete() {
    let filler = "x".repeat(LONG_BYTES);
    let fleet = start(format!("{TEXT_HEAD}{filler}")).await;
    let reply = call(&fleet).await;
    assert_eq!((reply.complete, reply.text.len()), (true, LONG_BYTES));
    let mut socket = raw_socket(fleet.node.address()).await;
    let request = format!("GET {PATH} HTTP/1.0\r\nhost: a\r\n\r\n");
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    socket.read_to_end(&mut bytes).await.unwrap();
    assert!(bytes.ends_with(filler.as_bytes()));
}

/// Guards against events that aren't found because their engine ends lines in another way.
#[tokio::test]
async fn stream_with_carriage_returns_is_read() {
    let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(60))).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    crate::hostile::announce_engine(&fleet, &listener).await;
    tokio::spawn(crate::hostile::serve_engine(listener, |id| {
        let events = crate::hostile::events(id).concat();
        String::from_utf8(events)
            .unwrap()
            .replace('\n', "\r")
            .into()
    }));
    let reply = fleet.stream(crate::hostile::TOKENS).await;
    let text = reply.text.replace('\r', "\n");
    Reply { text, ..reply }.assert_complete(crate::hostile::TOKENS);
}

/// Guards against token counts of zero for a prompt whose engine broke off behind the last token.
#[tokio::test]
async fn unknown_usage_is_not_reported() {
    let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(60))).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    crate::hostile::announce_engine(&fleet, &listener).await;
    tokio::spawn(crate::hostile::serve_engine(listener, |id| {
        let mut events = crate::hostile::events(id);
        events.pop();
        events.concat()
    }));
    let body = crate::support::chat_body(crate::hostile::TOKENS, false);
    let answer = fleet.chat(&body).await.json();
    assert_eq!(answer["choices"][0]["finish_reason"], "length");
    assert!(answer["usage"].is_null(), "{answer}");
}

/// Guards against an answer that its target broke off inside the head and whose caller gets a
/// success.
#[tokio::test]
async fn answer_that_ends_inside_its_head_is_broken() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\n";
    for bytes in (1..head.len()).step_by(13).chain([head.len() - 1]) {
        let fleet = start(head[..bytes].to_owned()).await;
        let reply = call(&fleet).await;
        assert!(reply.status >= 500, "{bytes} bytes: {}", reply.status);
    }
}

/// Text that no caller of a stream may get.
const ERROR_TEXT: &str = "the engine is out of memory";

/// Checks what a caller gets of a stream that breaks off when all engines answer so from then on.
fn check_error(status: &'static str, content_type: &'static str) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let wait = time::Duration::from_millis(500);
        let options = options().with_suspect_after(time::Duration::from_secs(600));
        let fleet = Fleet::start(options.with_resume_wait(wait)).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        hostile::announce_engine(&fleet, &listener).await;
        let body = match content_type {
            "application/json" => format!("{{\"error\":{{\"message\":\"{ERROR_TEXT}\"}}}}"),
            "text/event-stream" => format!("data: {{\"error\":\"{ERROR_TEXT}\"}}\n\n"),
            _ => ERROR_TEXT.to_owned(),
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\ncontent-type: {content_type}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        tokio::spawn(async move {
            let mut begun = false;
            while let Ok((mut socket, _)) = listener.accept().await {
                let Some(id) = hostile::read_request(&mut socket).await else {
                    continue;
                };
                let bytes = if std::mem::replace(&mut begun, true) {
                    answer.clone().into_bytes()
                } else {
                    let head = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
                    [&head[..], &hostile::events(&id)[..3].concat()].concat()
                };
                let _ = socket.write_all(&bytes).await;
            }
        });
        let clock = fleet.clock.clone();
        let ticks = tokio::spawn(async move {
            loop {
                tokio::time::sleep(time::Duration::from_millis(20)).await;
                clock.advance(time::Duration::from_millis(20));
            }
        });
        let reply = fleet.stream(8).await;
        ticks.abort();
        let (_, is_done) = reply.chunks();
        assert!(!is_done, "{}", reply.text);
        assert!(!reply.text.contains(ERROR_TEXT), "{}", reply.text);
    });
}

// Guards against an error of the engine that is asked to go on with a stream, which its caller gets
// in the middle of the stream, or which ends the stream as if it were complete.
usher_types::cases! { check_error:
    resume_fails_with_text("500 Internal Server Error", "text/plain");
    resume_is_refused_with_json("503 Service Unavailable", "application/json");
    resume_succeeds_with_json("200 OK", "application/json");
    resume_succeeds_with_text("200 OK", "text/plain");
    resume_succeeds_with_an_error_event("200 OK", "text/event-stream");
}
