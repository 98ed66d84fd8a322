//! Callers that disconnect, read slowly or send slowly.

use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::support::{chat_body, instant, options, raw_socket, steady, wait_for, Fleet};
use usher_entry::{EntryOptions, OutcomeCause};

/// Number of tokens of an answer that takes far longer than any test.
const LONG_ANSWER_TOKENS: u64 = 200_000;

async fn send_raw(fleet: &Fleet, body: &serde_json::Value) -> tokio::net::TcpStream {
    let mut socket = raw_socket(fleet.node.address()).await;
    let body = body.to_string();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.write_all(body.as_bytes()).await.unwrap();
    socket
}

async fn start_call_and_disconnect(
    options: EntryOptions,
    read_first: bool,
    stream: bool,
) -> (Fleet, usher_fake::FakeEngine) {
    let fleet = Fleet::start(options).await;
    let engine = fleet.engine(steady("engine-1")).await;
    let mut socket = send_raw(&fleet, &chat_body(LONG_ANSWER_TOKENS, stream)).await;
    if read_first {
        let mut bytes = [0; 64];
        let read = socket.read(&mut bytes).await.unwrap();
        assert!(read > 0);
    } else {
        wait_for("the engine has the call", || engine.open_streams() > 0).await;
    }
    drop(socket);
    (fleet, engine)
}

fn engine_is_free_after_disconnect(read_first: bool, stream: bool) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (fleet, engine) = start_call_and_disconnect(options(), read_first, stream).await;
        wait_for("the engine is free", || engine.open_streams() == 0).await;
        fleet.wait_idle().await;
        assert_eq!(fleet.outcomes.causes(), [OutcomeCause::Cancelled]);
    });
}

usher_types::cases! { engine_is_free_after_disconnect:
    /// Guards against engines that generate for callers that have disconnected.
    caller_disconnects_in_the_stream(true, true);
    caller_disconnects_before_the_first_token(false, true);
    caller_disconnects_before_a_json_answer(false, false);
}

/// Shows that the engine keeps generating if the call isn't cancelled after the caller disconnects.
#[tokio::test]
async fn disconnected_caller_keeps_the_engine_without_cancel() {
    let (fleet, engine) = start_call_and_disconnect(options().without_cancel(), true, true).await;
    wait_for("the call has ended", || fleet.node.status().running == 0).await;
    let before = engine.generated_tokens();
    wait_for("the engine keeps generating", || {
        engine.generated_tokens() > before + 50
    })
    .await;
    assert_eq!(engine.open_streams(), 1);
}

async fn slow_reader(options: EntryOptions) -> (Fleet, tokio::net::TcpStream) {
    let fleet = Fleet::start(options).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    let socket = send_raw(&fleet, &chat_body(LONG_ANSWER_TOKENS, true)).await;
    wait_for("the stream runs", || fleet.node.status().outstanding == 1).await;
    (fleet, socket)
}

/// Guards against a caller that reads nothing and occupies its engine forever.
#[tokio::test]
async fn caller_that_reads_nothing_is_cut_off() {
    let timeout = time::Duration::from_millis(300);
    let (fleet, _socket) = slow_reader(options().with_caller_timeout(timeout)).await;
    fleet.wait_idle().await;
    assert_eq!(fleet.outcomes.causes(), [OutcomeCause::Cancelled]);
}

/// Shows that such a caller occupies its engine without the timeout.
#[tokio::test]
async fn caller_that_reads_nothing_stays_without_timeout() {
    let timeout = time::Duration::from_millis(300);
    let options = options()
        .with_caller_timeout(timeout)
        .without_caller_timeout();
    let (fleet, _socket) = slow_reader(options).await;
    tokio::time::sleep(timeout * 4).await;
    assert_eq!(fleet.node.status().outstanding, 1);
}

/// Guards against cutting the answer of a slow caller, or counting its slowness against the engine.
#[tokio::test]
async fn slow_caller_gets_the_complete_answer() {
    const TOKENS: u64 = 20_000;
    let stall = time::Duration::from_millis(200);
    let fleet = Fleet::start(options().with_stall_timeout(stall)).await;
    let engine = fleet.engine(instant("engine-1")).await;
    let mut socket = send_raw(&fleet, &chat_body(TOKENS, true)).await;
    // Waits longer than the stall timeout, while the buffers of the connection are full.
    tokio::time::sleep(stall * 3).await;
    let mut answer = Vec::new();
    let mut bytes = vec![0; 65_536];
    // The last chunk of the body follows the last event.
    while !answer.ends_with(b"0\r\n\r\n") {
        let read = socket.read(&mut bytes).await.unwrap();
        assert!(read > 0, "the answer was cut");
        answer.extend_from_slice(&bytes[..read]);
    }
    let text = String::from_utf8(answer).unwrap();
    let last = usher_fake::token_text(&engine.requests()[0], TOKENS - 1);
    assert!(text.contains(last.trim()) && text.contains("data: [DONE]"));
    assert_eq!(engine.requests().len(), 1, "the stream was resumed");
    fleet.wait_idle().await;
}

/// Guards against a caller that never finishes sending its body.
#[tokio::test]
async fn caller_that_sends_no_body_is_refused() {
    let timeout = time::Duration::from_millis(200);
    let fleet = Fleet::start(options().with_caller_timeout(timeout)).await;
    let mut socket = raw_socket(fleet.node.address()).await;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\ncontent-length: 100\r\n\r\n{";
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut bytes = [0; 1_024];
    let read = socket.read(&mut bytes).await.unwrap();
    let answer = String::from_utf8_lossy(&bytes[..read]);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

/// Guards against bytes that aren't HTTP and disturb other callers.
#[tokio::test]
async fn bytes_that_are_not_http_end_their_connection_only() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(instant("engine-1")).await;
    for bytes in [
        &b"\0\xff\xfe garbage \r\n\r\n"[..],
        b"GET / HTTP/9.9\r\n\r\n",
        b"\x16\x03\x01",
    ] {
        let mut socket = raw_socket(fleet.node.address()).await;
        socket.write_all(bytes).await.unwrap();
        socket.shutdown().await.unwrap();
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer).await;
        fleet.stream(2).await.assert_complete(2);
    }
}
