//! Streams that move from a prefill engine to a decode engine.

use crate::support::{options, steady, wait_for, Fleet};
use usher_fake::FakeEngine;
use usher_types::EngineRole;

const TOKENS: u64 = 60;

async fn split_fleet() -> (Fleet, FakeEngine, FakeEngine) {
    let fleet = Fleet::start(options()).await;
    let prefill = steady("prefill-1").with_role(EngineRole::Prefill);
    let decode = steady("decode-1").with_role(EngineRole::Decode);
    let prefill = fleet.engine(prefill).await;
    let decode = fleet.engine(decode).await;
    (fleet, prefill, decode)
}

/// Guards against a token that is lost or repeated by the move, and against an engine that goes
/// on generating after it.
#[tokio::test]
async fn stream_moves_without_a_seam() {
    let (fleet, prefill, decode) = split_fleet().await;
    fleet.stream(TOKENS).await.assert_whole(TOKENS);
    assert_eq!((prefill.requests().len(), decode.requests().len()), (1, 1));
    assert!(
        decode.generated_tokens() > TOKENS / 2,
        "the stream didn't move"
    );
    wait_for("the prefill engine is free", || prefill.open_streams() == 0).await;
    fleet.wait_idle().await;
}

/// Guards against a stream that is lost because the decode engine can't take it.
#[tokio::test]
async fn stream_stays_when_the_move_fails() {
    let (fleet, prefill, decode) = split_fleet().await;
    decode.faults().fail(true);
    fleet.stream(TOKENS).await.assert_whole(TOKENS);
    assert_eq!(prefill.generated_tokens(), TOKENS);
    fleet.wait_idle().await;
}

/// Guards against a stream that isn't resumed because it had moved before its engine died.
#[tokio::test]
async fn moved_stream_is_resumed() {
    let (fleet, _prefill, decode) = split_fleet().await;
    decode.faults().cut_after(30);
    let heal = async {
        wait_for("the stream has moved", || !decode.requests().is_empty()).await;
        wait_for("the stream is cut", || decode.open_streams() == 0).await;
        decode.faults().clear();
    };
    let (reply, ()) = tokio::join!(fleet.stream(TOKENS), heal);
    reply.assert_whole(TOKENS);
    fleet.wait_idle().await;
}
