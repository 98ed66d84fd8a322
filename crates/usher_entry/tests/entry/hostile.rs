//! Engines whose bytes are mutated at random, and failover between control nodes.

use std::{net, sync, time};

use rand::{Rng as _, SeedableRng as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use usher_entry::{ControlLink as _, LinkError, WireLink};
use usher_types::{IncarnationId, NodeName};
use usher_wire::{message, CallHandler, WireIdentity};

use crate::support::{chat_body, options, steady, Fleet};

pub(crate) const TOKENS: u64 = 12;

/// Returns the events of the answer to a request.
pub(crate) fn events(seed: &str) -> Vec<Vec<u8>> {
    let chunk = |choice: serde_json::Value, index: Option<u64>| {
        let mut chunk = serde_json::json!({
            "id": format!("chatcmpl-{seed}"), "object": "chat.completion.chunk", "created": 7,
            "model": "assist-1", "choices": [choice],
        });
        if let Some(index) = index {
            chunk["token_index"] = index.into();
        }
        format!("data: {chunk}\n\n").into_bytes()
    };
    let token = |index| {
        let text = usher_fake::token_text(seed, index);
        let choice = serde_json::json!({ "index": 0, "delta": { "content": text } });
        chunk(choice, Some(index))
    };
    let mut events: Vec<_> = (0..TOKENS).map(token).collect();
    let finish = serde_json::json!({ "index": 0, "delta": {}, "finish_reason": "length" });
    events.push(chunk(finish, None));
    events.push(b"data: [DONE]\n\n".to_vec());
    events
}

/// Applies one random mutation that a reader can detect.
fn mutate(mut events: Vec<Vec<u8>>, random: &mut rand_chacha::ChaCha8Rng) -> Vec<u8> {
    let at = random.random_range(0..events.len());
    match random.random_range(0..6) {
        0 => events.truncate(at),
        1 => {
            events.remove(at);
        }
        2 => events.insert(at, events[at].clone()),
        3 => {
            let garbage = (0..40).map(|_| random.random()).collect();
            events.insert(at, garbage);
        }
        4 => {
            let cut = random.random_range(0..events[at].len());
            events[at].truncate(cut);
        }
        _ => events.insert(at, vec![b'x'; 2 << 20]),
    }
    events.concat()
}

/// Reads one request and returns the request id sent to engines.
pub(crate) async fn read_request(socket: &mut tokio::net::TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = socket
            .read(&mut buffer)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        // The request target may be in origin form or in absolute form.
        let line = head.lines().next().unwrap_or_default();
        if !(line.starts_with("POST ") && line.contains("/v1/chat/completions ")) {
            return None;
        }
        if let Ok(json) = serde_json::from_str::<serde_json::Value>(body) {
            return json["seed_id"].as_str().map(str::to_owned);
        }
    }
}

/// Answers each request with the bytes that `write` returns for its id.
pub(crate) async fn serve_engine<W>(listener: tokio::net::TcpListener, mut write: W)
where
    W: FnMut(&str) -> Vec<u8>,
{
    while let Ok((mut socket, _)) = listener.accept().await {
        let Some(id) = read_request(&mut socket).await else {
            continue;
        };
        let mut answer = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_vec();
        answer.extend(write(&id));
        let _ = socket.write_all(&answer).await;
    }
}

/// Announces an engine at the address of `listener` and waits until the entry has registered it.
pub(crate) async fn announce_engine(fleet: &Fleet, listener: &tokio::net::TcpListener) {
    let announcement = serde_json::json!({
        "name": "hostile-1", "incarnation": 1, "address": listener.local_addr().unwrap(),
        "kind": "engine", "service": "assist", "model": "assist-1", "region": "south-a",
        "domain": "domain-1", "kv_pieces": 512,
    });
    fleet.announce(&announcement).await;
}

/// Guards against a second finish chunk, which client libraries count as another choice.
#[tokio::test]
async fn repeated_finish_chunk_is_not_passed_on() {
    let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(60))).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce_engine(&fleet, &listener).await;
    tokio::spawn(serve_engine(listener, |id| {
        let mut events = events(id);
        let finish = events[events.len() - 2].clone();
        events.insert(events.len() - 1, finish);
        events.concat()
    }));
    let reply = fleet.stream(TOKENS).await;
    reply.assert_complete(TOKENS);
    let (chunks, _) = reply.chunks();
    let ends = chunks
        .iter()
        .filter(|chunk| chunk["choices"][0]["finish_reason"].is_string());
    assert_eq!(ends.count(), 1);
}

/// Guards against interim answers without end, which hold a call and the thread that reads them.
#[tokio::test]
async fn endless_interim_answers_are_given_up() {
    let fleet =
        Fleet::start(options().with_first_token_timeout(time::Duration::from_secs(20))).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce_engine(&fleet, &listener).await;
    let engine = tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let hints = "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".repeat(1_000);
                while socket.write_all(hints.as_bytes()).await.is_ok() {}
            });
        }
    });
    let begin = time::Instant::now();
    let reply = fleet.chat(&chat_body(4, true)).await;
    assert_eq!(
        (reply.status, reply.run()),
        (502, Some("unknown")),
        "{}",
        reply.text
    );
    assert!(
        begin.elapsed() < time::Duration::from_secs(5),
        "{:?}",
        begin.elapsed()
    );
    engine.abort();
}

/// Guards against requests without a Host header or in absolute form, which HTTP/1.1 servers
/// refuse.
#[tokio::test]
async fn engine_request_has_a_host_and_a_plain_path() {
    let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(60))).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    announce_engine(&fleet, &listener).await;
    let head = tokio::spawn(async move {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            let read = socket.read(&mut buffer).await.unwrap();
            let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
            if text.contains("completions") {
                return text;
            }
        }
    });
    fleet.stream(1).await;
    let head = head.await.unwrap();
    assert!(head.starts_with("POST /v1/chat/completions HTTP/1.1\r\n"));
    assert!(head.contains(&format!("\r\nhost: {address}\r\n")));
}

/// Guards against an engine that sends without end and so fills the memory of an entry that reads
/// its cache events.
#[tokio::test(flavor = "multi_thread")]
async fn endless_cache_events_are_given_up() {
    const CHUNK: usize = 64 * 1_024;
    /// Limit of the entry, and what the buffers of both sockets hold.
    const MAX_SENT: usize = 16 * 1_024 * 1_024;
    let options = options().with_suspect_after(time::Duration::from_secs(60));
    let fleet = Fleet::start(options.with_cache_poll(time::Duration::from_millis(50))).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    announce_engine(&fleet, &listener).await;
    let sent = async {
        loop {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            let read = socket.read(&mut buffer).await.unwrap();
            if !String::from_utf8_lossy(&buffer[..read]).contains("/v1/cache/events") {
                continue;
            }
            let head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
            socket.write_all(head).await.unwrap();
            let mut sent = 0;
            // The bound ends a failing test before it fills the memory.
            while sent < 4 * MAX_SENT && socket.write_all(&[b' '; CHUNK]).await.is_ok() {
                sent += CHUNK;
            }
            return sent;
        }
    };
    let sent = tokio::time::timeout(time::Duration::from_secs(20), sent).await;
    let sent = sent.expect("the entry reads the cache events");
    assert!(sent <= MAX_SENT, "the entry read {sent} bytes");
}

fn hostile_engine(seed: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(60))).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        announce_engine(&fleet, &listener).await;
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        tokio::spawn(serve_engine(listener, move |id| {
            mutate(events(id), &mut random)
        }));
        let _good = fleet.engine(steady("engine-1")).await;
        let mut complete = 0;
        for _ in 0..40 {
            let reply = fleet.stream(TOKENS).await;
            // Before the first token, a retry may be refused for lack of budget; the caller then
            // gets a 502.
            if reply.status == 502 {
                assert_eq!(reply.run(), Some("unknown"));
                continue;
            }
            reply.assert_complete(TOKENS);
            complete += 1;
        }
        assert!(
            complete >= 20,
            "only {complete} of 40 answers were complete"
        );
        fleet.wait_idle().await;
    });
}

usher_types::cases! { hostile_engine:
    /// Guards against tokens that are lost, repeated or invented because of a broken engine.
    hostile_engine_seed_1(1);
    hostile_engine_seed_2(2);
    hostile_engine_seed_3(3);
    hostile_engine_seed_4(4);
}

/// Guards against a body that makes the parser panic; random bytes are changed and the end is cut.
#[tokio::test]
async fn changed_bodies_are_answered() {
    let fleet = Fleet::start(options()).await;
    let _engine = fleet.engine(crate::support::instant("engine-1")).await;
    let body = chat_body(1, false).to_string().into_bytes();
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(11);
    for _ in 0..300 {
        let mut changed = body.clone();
        for _ in 0..random.random_range(1..4) {
            let at = random.random_range(0..changed.len());
            changed[at] = random.random();
        }
        changed.truncate(random.random_range(1..=changed.len()));
        let request = fleet.request("POST", "/v1/chat/completions");
        let reply = fleet.send(request, changed).await;
        assert!([200, 400, 404].contains(&reply.status), "{}", reply.text);
    }
}

/// A control node that refuses all requests with one error kind, or answers heartbeats.
struct ControlNode {
    refusal: Option<message::ErrorKind>,
    calls: sync::atomic::AtomicU64,
}

impl CallHandler for ControlNode {
    async fn handle(
        &self,
        _peer: &WireIdentity,
        body: message::envelope::Body,
    ) -> Option<message::envelope::Body> {
        self.calls.fetch_add(1, sync::atomic::Ordering::SeqCst);
        if let Some(kind) = self.refusal {
            return Some(message::envelope::Body::Error(message::ErrorReply {
                kind: kind.into(),
                ..Default::default()
            }));
        }
        match body {
            message::envelope::Body::SyncRequest(request) => {
                Some(message::envelope::Body::SyncReply(message::SyncReply {
                    sequence: request.sequence,
                    ..Default::default()
                }))
            }
            _ => Some(message::envelope::Body::Ack(message::Ack {})),
        }
    }
}

fn identity(node: &str) -> WireIdentity {
    WireIdentity {
        cluster: "one".to_owned(),
        node: NodeName::new(node),
        incarnation: IncarnationId::new(1),
    }
}

async fn control_node(
    refusal: Option<message::ErrorKind>,
) -> (net::SocketAddr, sync::Arc<ControlNode>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = sync::Arc::new(ControlNode {
        refusal,
        calls: sync::atomic::AtomicU64::new(0),
    });
    let serving = usher_wire::serve(
        listener,
        identity("c"),
        node.clone(),
        std::future::pending(),
    );
    tokio::spawn(serving);
    (address, node)
}

/// Guards against an entry that keeps using a control node that is down or has no leader.
#[tokio::test]
async fn link_fails_over_to_a_node_that_answers() {
    let (answering, _) = control_node(None).await;
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_address = closed.local_addr().unwrap();
    drop(closed);
    let (leaderless, _) = control_node(Some(message::ErrorKind::NoQuorum)).await;
    let link = WireLink::new(
        &[closed_address, leaderless, answering],
        &identity("entry-1"),
    );
    let reply = link.sync(message::SyncRequest {
        sequence: 5,
        ..Default::default()
    });
    assert_eq!(reply.await.unwrap().sequence, 5);
    link.finish(message::FinishClaim::default()).await.unwrap();
}

/// Guards against a claim that is sent to a second node although the first may have executed it.
#[tokio::test]
async fn uncertain_claim_is_not_sent_elsewhere() {
    let (first, _) = control_node(Some(message::ErrorKind::Unknown)).await;
    let (second, other) = control_node(None).await;
    let link = WireLink::new(&[first, second], &identity("entry-1"));
    let error = link.claim(message::ClaimCall::default()).await.unwrap_err();
    assert!(matches!(error, LinkError::Unknown(_)), "{error}");
    assert_eq!(other.calls.load(sync::atomic::Ordering::SeqCst), 0);
}

/// Guards against reporting an unknown result although no control node was reached.
#[tokio::test]
async fn unreachable_control_is_not_sent() {
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let link = WireLink::new(&[address], &identity("entry-1"));
    let error = link.claim(message::ClaimCall::default()).await.unwrap_err();
    assert!(matches!(error, LinkError::NotSent(_)), "{error}");
}
