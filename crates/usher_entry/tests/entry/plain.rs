//! Plain calls whose target dies, and callers that resend them.

use std::time;

use crate::support::{options, wait_for, Fleet, Reply};
use usher_entry::EntryOptions;
use usher_fake::{FakeService, ServiceBehaviour, ServiceOptions};
use usher_wire::message::ClaimState;

const PATH: &str = "/svc/rounds/call-out?crew=4";
/// Key under which control stores the claim of `key-1`.
const SCOPED_KEY: &str = "key-1@anonymous/anonymous";

async fn call(fleet: &Fleet, key: Option<&str>) -> Reply {
    call_with(fleet, key, "two crews").await
}

async fn call_with(fleet: &Fleet, key: Option<&str>, body: &'static str) -> Reply {
    let mut request = fleet.request("POST", PATH);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    fleet.send(request, body).await
}

async fn start(options: EntryOptions, behaviour: ServiceBehaviour) -> (Fleet, FakeService) {
    let fleet = Fleet::start(options).await;
    let service = ServiceOptions::new("service-1").with_behaviour(behaviour);
    let service = fleet.service(service).await;
    (fleet, service)
}

fn crashing(before: bool) -> ServiceBehaviour {
    ServiceBehaviour {
        die_before: before,
        die_after: !before,
        ..ServiceBehaviour::default()
    }
}

/// Guards against a call that the entry modifies.
#[tokio::test]
async fn call_is_forwarded_unmodified() {
    let (fleet, service) = start(options(), ServiceBehaviour::default()).await;
    let reply = call(&fleet, None).await;
    let json = reply.json();
    assert_eq!(
        (json["path"].as_str(), json["body"].as_str()),
        (Some("/call-out"), Some("two crews"))
    );
    assert_eq!(service.calls().values().sum::<u64>(), 1);
    let keys = fleet.control.claim_keys();
    assert_eq!(keys.len(), 1, "a call without key has no claim");
    assert!(
        keys[0].as_bytes()[8] == b'T',
        "the key has no time: {}",
        keys[0]
    );
}

/// Guards against a resend that runs the call again instead of returning its answer.
#[tokio::test]
async fn resend_after_the_run_gets_the_recorded_answer() {
    let (fleet, service) = start(options(), ServiceBehaviour::default()).await;
    let first = call(&fleet, Some("key-1")).await;
    let second = call(&fleet, Some("key-1")).await;
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.text, second.text);
    assert_eq!(second.headers["idempotency-replayed"], "true");
    assert_eq!(service.calls()["key-1"], 1);
}

/// Shows that the call runs twice without claims.
#[tokio::test]
async fn resend_runs_again_without_claims() {
    let (fleet, service) = start(options().without_claims(), ServiceBehaviour::default()).await;
    call(&fleet, Some("key-1")).await;
    call(&fleet, Some("key-1")).await;
    assert_eq!(service.calls()["key-1"], 2);
}

/// Guards against a resend that overtakes the running call.
#[tokio::test]
async fn resend_during_the_run_waits_for_its_answer() {
    let slow = ServiceBehaviour {
        delay_ms: 200,
        answer_delay_ms: 200,
        ..ServiceBehaviour::default()
    };
    let (fleet, service) = start(options(), slow).await;
    let calls = (0..5).map(|_| call(&fleet, Some("key-1")));
    let replies = futures_util::future::join_all(calls).await;
    for reply in &replies {
        assert_eq!((reply.status, &reply.text), (200, &replies[0].text));
    }
    assert_eq!(service.calls()["key-1"], 1);
}

/// Guards against reporting "not run" for a running call.
#[tokio::test]
async fn resend_that_cannot_wait_is_refused() {
    let slow = ServiceBehaviour {
        answer_delay_ms: 60_000,
        ..ServiceBehaviour::default()
    };
    let (fleet, service) = start(options().with_running_wait(time::Duration::ZERO), slow).await;
    let first = call(&fleet, Some("key-1"));
    let second = async {
        wait_for("the call has run", || service.calls().contains_key("key-1")).await;
        call(&fleet, Some("key-1")).await
    };
    tokio::select! {
        _ = first => panic!("the first call ended"),
        second = second => {
            assert_eq!((second.status, second.run()), (409, Some("unknown")));
            assert_eq!(second.code(), "key_running");
        }
    }
    assert_eq!(service.calls()["key-1"], 1);
}

/// Guards against accepting one key for two different calls.
#[tokio::test]
async fn key_of_another_call_is_refused() {
    let (fleet, service) = start(options(), ServiceBehaviour::default()).await;
    call(&fleet, Some("key-1")).await;
    let other = call_with(&fleet, Some("key-1"), "three crews").await;
    assert_eq!((other.status, other.run()), (422, Some("not-run")));
    assert_eq!(other.code(), "key_mismatch");
    assert_eq!(service.calls()["key-1"], 1);
}

fn unknown_after_death(before: bool, effects: Option<u64>) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (fleet, service) = start(options(), crashing(before)).await;
        let second = ServiceOptions::new("service-2").with_behaviour(ServiceBehaviour::default());
        let reply = call(&fleet, Some("key-1")).await;
        assert_eq!(
            (reply.status, reply.run()),
            (502, Some("unknown")),
            "{}",
            reply.text
        );
        assert_eq!(service.calls().get("key-1").copied(), effects);
        let state = || fleet.control.claim_state(SCOPED_KEY);
        wait_for("the outcome is recorded", || {
            state() == Some(ClaimState::Unknown)
        })
        .await;
        // Another target doesn't make the outcome of the call known.
        let other = fleet.service(second).await;
        let resent = call(&fleet, Some("key-1")).await;
        assert_eq!((resent.status, resent.run()), (409, Some("unknown")));
        assert_eq!(resent.code(), "outcome_unknown");
        assert!(other.calls().is_empty(), "the call was run again");
    });
}

usher_types::cases! { unknown_after_death:
    /// Guards against a second run after the target died while processing the request.
    target_dies_before_the_effect(true, None);
    target_dies_after_the_effect(false, Some(1));
}

/// Guards against a non-idempotent call that is sent to a second target after the first died.
#[tokio::test]
async fn second_target_is_not_tried_after_the_first_byte() {
    let (fleet, first) = start(options(), crashing(false)).await;
    for _ in 0..40 {
        fleet.get("/svc/rounds/warm-up").await;
    }
    let fleet = fleet;
    let second = fleet.service(ServiceOptions::new("service-2")).await;
    let _ = call(&fleet, Some("key-1")).await;
    let effects =
        [&first, &second].map(|service| service.calls().get("key-1").copied().unwrap_or(0));
    assert!(effects.iter().sum::<u64>() <= 1, "{effects:?}");
}

/// Guards against reporting "unknown" for a call without any byte written, and against a key that
/// stays claimed.
#[tokio::test]
async fn unreachable_target_is_not_run_and_frees_the_key() {
    let (fleet, service) = start(options(), ServiceBehaviour::default()).await;
    service.crash();
    wait_for("nothing listens", || {
        std::net::TcpStream::connect(service.address()).is_err()
    })
    .await;
    let reply = call(&fleet, Some("key-1")).await;
    assert_eq!(
        (reply.status, reply.run()),
        (502, Some("not-run")),
        "{}",
        reply.text
    );
    wait_for("the key is free", || {
        fleet.control.claim_state(SCOPED_KEY).is_none()
    })
    .await;
    let other = fleet.service(ServiceOptions::new("service-2")).await;
    wait_for("the call runs", || {
        let effects = other.calls();
        !effects.is_empty() || fleet.node.status().running == 0
    })
    .await;
    let resent = call(&fleet, Some("key-1")).await;
    if resent.status == 200 {
        assert_eq!(other.calls()["key-1"], 1);
    } else {
        assert_eq!(resent.run(), Some("not-run"));
    }
}

/// Guards against a call that is sent although its claim isn't committed.
#[tokio::test]
async fn call_without_commit_is_not_sent() {
    let (fleet, service) = start(options(), ServiceBehaviour::default()).await;
    fleet.control.set_committing(false);
    let reply = call(&fleet, Some("key-1")).await;
    assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
    assert_eq!(reply.code(), "no_claim");
    assert!(service.calls().is_empty());
    fleet.control.set_committing(true);
    assert_eq!(call(&fleet, Some("key-1")).await.status, 200);
}

/// Guards against a key that stays claimed forever because the reply to its claim was lost.
#[tokio::test]
async fn claim_whose_reply_was_lost_is_released() {
    let (fleet, service) = start(options(), ServiceBehaviour::default()).await;
    fleet.control.set_losing_replies(true);
    let reply = call(&fleet, Some("key-1")).await;
    assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
    assert!(service.calls().is_empty());
    fleet.control.set_losing_replies(false);
    wait_for("the key is free", || {
        fleet.control.claim_state(SCOPED_KEY).is_none()
    })
    .await;
    assert_eq!(call(&fleet, Some("key-1")).await.status, 200);
    assert_eq!(service.calls()["key-1"], 1);
}

/// Guards against a call that is sent after the routing right expired during its claim.
#[tokio::test]
async fn right_is_checked_after_the_claim() {
    let (fleet, service) = start(options(), ServiceBehaviour::default()).await;
    fleet.control.set_right(time::Duration::ZERO);
    fleet.clock.advance(time::Duration::from_secs(4));
    let reply = call(&fleet, Some("key-1")).await;
    assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
    assert!(service.calls().is_empty());
}

/// Guards against an outcome that is lost when the caller disconnects.
#[tokio::test]
async fn outcome_is_recorded_when_the_caller_disconnects() {
    let slow = ServiceBehaviour {
        answer_delay_ms: 300,
        ..ServiceBehaviour::default()
    };
    let (fleet, service) = start(options(), slow).await;
    tokio::select! {
        _ = call(&fleet, Some("key-1")) => panic!("the call ended"),
        () = wait_for("the call has run", || service.calls().contains_key("key-1")) => {}
    }
    wait_for("the outcome is recorded", || {
        fleet.control.claim_state(SCOPED_KEY) == Some(ClaimState::Finished)
    })
    .await;
    let resent = call(&fleet, Some("key-1")).await;
    assert_eq!(
        (resent.status, resent.json()["count"].as_u64()),
        (200, Some(1))
    );
}

/// Guards against answers that are truncated to the length that control records.
#[tokio::test]
async fn long_answer_is_complete_and_not_replayed_truncated() {
    let long = ServiceBehaviour {
        padding: 3_000_000,
        ..ServiceBehaviour::default()
    };
    let (fleet, service) = start(options(), long).await;
    let first = call(&fleet, Some("key-1")).await;
    assert!(first.complete && first.text.len() > 3_000_000);
    wait_for("the outcome is recorded", || {
        fleet.control.claim_state(SCOPED_KEY) == Some(ClaimState::Finished)
    })
    .await;
    let resent = call(&fleet, Some("key-1")).await;
    assert_eq!(
        (resent.status, resent.code().as_str()),
        (409, "answer_not_kept")
    );
    assert_eq!(service.calls()["key-1"], 1);
}

/// Guards against idempotent calls that aren't retried or that are claimed needlessly.
#[tokio::test]
async fn idempotent_call_is_retried_on_another_target() {
    let fleet = Fleet::start(options()).await;
    let first = fleet.service(ServiceOptions::new("service-1")).await;
    for _ in 0..40 {
        assert_eq!(fleet.get("/svc/rounds/plan").await.status, 200);
    }
    let second = fleet.service(ServiceOptions::new("service-2")).await;
    first.set_behaviour(crashing(true));
    for _ in 0..10 {
        assert_eq!(fleet.get("/svc/rounds/plan").await.status, 200);
    }
    assert!(second.calls()["GET /plan"] > 0);
    assert!(fleet.control.claim_keys().is_empty());
}

/// Guards against ignoring an `x-idempotent` header that makes a POST idempotent or a GET not
/// idempotent.
#[tokio::test]
async fn header_decides_on_idempotency() {
    let (fleet, _service) = start(options(), ServiceBehaviour::default()).await;
    let request = fleet.request("POST", PATH).header("x-idempotent", "true");
    assert_eq!(fleet.send(request, "").await.status, 200);
    assert!(fleet.control.claim_keys().is_empty());
    let request = fleet.request("GET", PATH).header("x-idempotent", "false");
    assert_eq!(fleet.send(request, "").await.status, 200);
    assert_eq!(fleet.control.claim_keys().len(), 1);
}

/// Guards against two teams with equal keys that get each other's answers.
#[tokio::test]
async fn equal_keys_of_two_teams_are_distinguished() {
    let (fleet, service) = start(options(), ServiceBehaviour::default()).await;
    for team in ["night", "day"] {
        let request = fleet.request("POST", PATH).header("x-team", team);
        let request = request.header("idempotency-key", "key-1");
        let reply = fleet.send(request, "two crews").await;
        assert_eq!(reply.status, 200);
        assert!(!reply.headers.contains_key("idempotency-replayed"));
    }
    assert_eq!(service.calls()["key-1"], 2);
}

/// Guards against arbitrary service names that bloat heartbeats and the leader's share table.
#[tokio::test]
async fn demand_counts_only_for_services_that_exist() {
    let fleet = Fleet::start(options()).await;
    for number in 0..20 {
        let reply = fleet.get(&format!("/svc/random-{number}/x")).await;
        assert_eq!(reply.status, 404);
    }
    let _service = fleet.service(ServiceOptions::new("service-1")).await;
    assert_eq!(fleet.get("/svc/rounds/plan").await.status, 200);
    wait_for("demand is reported", || {
        let demands = fleet.control.demands();
        demands.iter().any(|demand| demand.service == "rounds")
    })
    .await;
    let named = fleet.control.demanded_services();
    assert_eq!(named, ["rounds"]);
}

/// Guards against lost demand for a service that is in the sheet but has no target yet.
#[tokio::test]
async fn demand_counts_for_services_of_the_sheet() {
    let fleet = Fleet::start(options()).await;
    let sheet = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n\
                 rounds,plain,south-a,,,,0,0,1,1\n";
    fleet.control.set_config(1, sheet);
    let start = std::time::Instant::now();
    while fleet.control.demanded_services().is_empty() {
        assert!(start.elapsed() < std::time::Duration::from_secs(10));
        fleet.get("/svc/rounds/plan").await;
    }
    assert_eq!(fleet.control.demanded_services(), ["rounds"]);
}

/// Sends the beginning of a long answer to each call and then stalls.
async fn serve_stuck(listener: tokio::net::TcpListener) {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let mut sockets = Vec::new();
    while let Ok((mut socket, _)) = listener.accept().await {
        let mut buffer = [0; 4_096];
        let _ = socket.read(&mut buffer).await;
        let mut answer = b"HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n".to_vec();
        answer.resize(answer.len() + 70_000, b'x');
        let _ = socket.write_all(&answer).await;
        sockets.push(socket);
    }
}

/// Sends a long answer with a length of 100 KiB: its first 80 KiB, then `step` bytes each 100 ms.
async fn serve_steps(listener: tokio::net::TcpListener, step: usize) {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let Ok((mut socket, _)) = listener.accept().await else {
        return;
    };
    let _ = socket.read(&mut [0; 4_096]).await;
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 102400\r\n\r\n";
    let _ = socket.write_all(head).await;
    let _ = socket.write_all(&[b'x'; 81_920]).await;
    let mut left = 20_480_usize;
    while left > 0 {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        let bytes = vec![b'x'; step.min(left)];
        left -= bytes.len();
        if socket.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Checks whether the caller of a long answer that arrives in steps gets all of it.
fn check_steps(step: usize, complete: bool) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let timeout = time::Duration::from_millis(400);
        let options = options()
            .with_suspect_after(time::Duration::from_secs(60))
            .with_plain_timeout(timeout);
        let fleet = Fleet::start(options).await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let announcement = serde_json::json!({
            "name": "steps-1", "incarnation": 1, "address": listener.local_addr().unwrap(),
            "kind": "plain", "service": "rounds", "region": "south-a", "domain": "domain-1",
        });
        tokio::spawn(serve_steps(listener, step));
        fleet.announce(&announcement).await;
        let call = call(&fleet, Some("key-1"));
        let reply = tokio::time::timeout(time::Duration::from_secs(8), call).await;
        let reply = reply.expect("the call did not end");
        assert_eq!((reply.status, reply.complete), (200, complete));
        fleet.wait_idle().await;
    });
}

// Guards against a stalled target that sends a byte now and then and so holds its call and claim
// forever, and against a slow but sound one that is cut.
usher_types::cases! { check_steps:
    long_answer_that_trickles_is_given_up(1, false);
    long_answer_that_is_slow_is_forwarded(1_024, true);
}

/// Guards against waiting forever for the rest of a long answer, and against a claim that stays
/// running because of it.
#[tokio::test]
async fn long_answer_that_stops_is_given_up() {
    let timeout = time::Duration::from_millis(300);
    let long_suspect_options = options().with_suspect_after(time::Duration::from_secs(60));
    let fleet = Fleet::start(long_suspect_options.with_plain_timeout(timeout)).await;
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let announcement = serde_json::json!({
        "name": "stuck-1", "incarnation": 1, "address": listener.local_addr().unwrap(),
        "kind": "plain", "service": "rounds", "region": "south-a", "domain": "domain-1",
    });
    tokio::spawn(serve_stuck(listener));
    fleet.announce(&announcement).await;
    let reply = tokio::time::timeout(time::Duration::from_secs(5), call(&fleet, Some("key-1")));
    let reply = reply.await.expect("the call did not end");
    assert_eq!((reply.status, reply.complete), (200, false));
    wait_for("the outcome is recorded", || {
        fleet.control.claim_state(SCOPED_KEY) == Some(ClaimState::Unknown)
    })
    .await;
    fleet.wait_idle().await;
}
