//! Streams that are handed over from a prefill engine to a decode engine.

use std::{
    sync::{atomic, Arc},
    time,
};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::{
    lifecycle::cut_off,
    support::{options, steady, wait_for, Fleet},
};
use usher_fake::FakeEngine;
use usher_types::EngineRole;

const TOKENS: u64 = 60;

async fn prefill_decode_fleet() -> (Fleet, FakeEngine, FakeEngine) {
    let fleet = Fleet::start(options()).await;
    let prefill = steady("prefill-1").with_role(EngineRole::Prefill);
    let decode = steady("decode-1").with_role(EngineRole::Decode);
    let prefill = fleet.engine(prefill).await;
    let decode = fleet.engine(decode).await;
    (fleet, prefill, decode)
}

/// Guards against a token that the handover loses or repeats, and against a prefill engine that
/// keeps generating after it.
#[tokio::test]
async fn handed_over_stream_is_complete() {
    let (fleet, prefill, decode) = prefill_decode_fleet().await;
    fleet.stream(TOKENS).await.assert_complete(TOKENS);
    assert_eq!((prefill.requests().len(), decode.requests().len()), (1, 1));
    assert!(
        decode.generated_tokens() > TOKENS / 2,
        "the stream was not handed over"
    );
    wait_for("the prefill engine is free", || prefill.open_streams() == 0).await;
    fleet.wait_idle().await;
}

/// Guards against a stream that is lost because the decode engine fails to accept it.
#[tokio::test]
async fn stream_stays_when_the_handover_fails() {
    let (fleet, prefill, decode) = prefill_decode_fleet().await;
    decode.faults().fail(true);
    fleet.stream(TOKENS).await.assert_complete(TOKENS);
    assert_eq!(prefill.generated_tokens(), TOKENS);
    fleet.wait_idle().await;
}

/// Guards against a stream that isn't resumed when its engine dies after a handover.
#[tokio::test]
async fn handed_over_stream_is_resumed() {
    let (fleet, _prefill, decode) = prefill_decode_fleet().await;
    decode.faults().cut_after(30);
    let heal = async {
        wait_for("the stream was handed over", || {
            !decode.requests().is_empty()
        })
        .await;
        wait_for("the stream is cut", || decode.open_streams() == 0).await;
        decode.faults().clear();
    };
    let (reply, ()) = tokio::join!(fleet.stream(TOKENS), heal);
    reply.assert_complete(TOKENS);
    fleet.wait_idle().await;
}

/// A decode engine that blocks the import of a KV cache until it is released.
#[derive(Clone, Default)]
struct BlockingDecode {
    imports: Arc<atomic::AtomicUsize>,
    streams: Arc<atomic::AtomicUsize>,
    released: Arc<atomic::AtomicBool>,
}

impl BlockingDecode {
    async fn serve(self, listener: tokio::net::TcpListener) {
        while let Ok((mut socket, _)) = listener.accept().await {
            let engine = self.clone();
            tokio::spawn(async move {
                let mut buffer = vec![0; 65_536];
                let read = socket.read(&mut buffer).await.unwrap_or(0);
                let head = String::from_utf8_lossy(&buffer[..read]).into_owned();
                let line = head.lines().next().unwrap_or_default();
                if line.contains("/v1/chat/completions ") {
                    engine.streams.fetch_add(1, atomic::Ordering::SeqCst);
                } else if line.contains("/v1/kv/import ") {
                    engine.imports.fetch_add(1, atomic::Ordering::SeqCst);
                    wait_for("the import may end", || {
                        engine.released.load(atomic::Ordering::SeqCst)
                    })
                    .await;
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    let _ = socket.write_all(answer).await;
                }
            });
        }
    }
}

/// A change to the decode engine or the entry during the handover.
#[derive(Clone, Copy)]
enum Change {
    Leaving,
    Restart,
    RightLost,
}

fn stream_stays_after(change: Change) {
    const LONG_ANSWER_TOKENS: u64 = 200;
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(options().with_suspect_after(time::Duration::from_secs(60))).await;
        let prefill = steady("prefill-1").with_role(EngineRole::Prefill);
        let prefill = fleet.engine(prefill).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let decode = BlockingDecode::default();
        tokio::spawn(decode.clone().serve(listener));
        let announce = |incarnation: u64, leaving: bool| {
            let announcement = serde_json::json!({
                "name": "decode-1", "incarnation": incarnation, "address": address,
                "kind": "engine", "service": "assist", "model": "assist-1", "role": "decode",
                "region": "south-a", "domain": "domain-1", "kv_pieces": 512, "leaving": leaving,
            });
            fleet.send(
                fleet.request("POST", "/v1/targets/announce"),
                announcement.to_string(),
            )
        };
        assert_eq!(announce(1, false).await.status, 200);
        wait_for("both engines are registered", || {
            fleet.node.status().targets == 2
        })
        .await;
        let change = async {
            wait_for("the handover has started", || {
                decode.imports.load(atomic::Ordering::SeqCst) > 0
            })
            .await;
            match change {
                Change::Leaving => assert_eq!(announce(1, true).await.status, 200),
                Change::Restart => assert_eq!(announce(2, false).await.status, 200),
                Change::RightLost => cut_off(&fleet).await,
            }
            decode.released.store(true, atomic::Ordering::SeqCst);
        };
        let (reply, ()) = tokio::join!(fleet.stream(LONG_ANSWER_TOKENS), change);
        reply.assert_complete(LONG_ANSWER_TOKENS);
        assert_eq!(decode.streams.load(atomic::Ordering::SeqCst), 0);
        assert_eq!(prefill.generated_tokens(), LONG_ANSWER_TOKENS);
    });
}

usher_types::cases! { stream_stays_after:
    /// Guards against new work for an engine that starts leaving during the handover.
    decode_engine_leaves_during_the_handover(Change::Leaving);
    /// Guards against a stream on an engine that lost the transferred KV cache by a restart.
    decode_engine_restarts_during_the_handover(Change::Restart);
    /// Guards against new work after the routing right expired during the handover.
    right_is_lost_during_the_handover(Change::RightLost);
}
