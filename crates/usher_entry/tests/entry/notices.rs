//! What targets say of themselves in their answers: that they are leaving, or want a pause.

use std::time;

use crate::support::{instant, options, wait_for, Fleet, Reply};
use usher_fake::{ServiceBehaviour, ServiceOptions};

/// Pause that targets ask for.
const PAUSE_MS: u64 = 3_000;

async fn call_service(fleet: &Fleet, key: Option<&str>) -> Reply {
    let mut request = fleet.request("POST", "/svc/rounds/a");
    match key {
        Some(key) => request = request.header("idempotency-key", key),
        None => request = request.header("x-idempotent", "true"),
    }
    fleet.send(request, "").await
}

/// Guards against new work for a plain target that has said in an answer that it is leaving while
/// its announcements don't say so, and against other entries that aren't told.
#[tokio::test]
async fn service_that_says_it_leaves_gets_no_new_work() {
    let fleet = Fleet::start(options()).await;
    let service = fleet.service(ServiceOptions::new("rounds-1")).await;
    service.set_behaviour(ServiceBehaviour {
        says_leaving: true,
        ..ServiceBehaviour::default()
    });
    assert_eq!(call_service(&fleet, None).await.status, 200);
    let reply = call_service(&fleet, None).await;
    assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
    assert_eq!(reply.code(), "no_target");
    wait_for("control has registered the leaving mark", || {
        fleet.control.is_leaving("rounds-1")
    })
    .await;
    let sync_count = fleet.control.sync_count();
    wait_for("more heartbeats are answered", || {
        fleet.control.sync_count() > sync_count + 5
    })
    .await;
    assert_eq!(call_service(&fleet, None).await.status, 503);
    assert_eq!(service.calls().values().sum::<u64>(), 1);
}

/// Guards against new work for an engine whose refusal, error or stream says that it is leaving.
#[tokio::test]
async fn engine_that_says_it_leaves_gets_no_new_work() {
    for failing in [false, true] {
        let fleet = Fleet::start(options()).await;
        let engine = fleet.engine(instant("engine-1")).await;
        engine.faults().say_leaving(true);
        engine.faults().fail(failing);
        fleet.stream(1).await;
        engine.faults().fail(false);
        let requests = engine.requests().len();
        // Longer than a target is left alone after a failure.
        for _ in 0..5 {
            fleet.clock.advance(time::Duration::from_millis(500));
            let reply = fleet.stream(1).await;
            assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
        }
        assert_eq!(engine.requests().len(), requests);
    }
}

/// Guards against calls to the only target of a service during the pause that it asked for, and
/// against callers who are told to return too early.
#[tokio::test]
async fn service_that_wants_a_pause_is_left_alone() {
    let long_suspect_options = options().with_suspect_after(time::Duration::from_secs(60));
    let fleet = Fleet::start(long_suspect_options).await;
    let service = fleet.service(ServiceOptions::new("rounds-1")).await;
    service.set_behaviour(ServiceBehaviour {
        pause_ms: PAUSE_MS,
        ..ServiceBehaviour::default()
    });
    let reply = call_service(&fleet, None).await;
    assert_ne!(reply.status, 200);
    service.set_behaviour(ServiceBehaviour::default());
    for number in 0..PAUSE_MS / 500 {
        for key in [None, Some(format!("key-{number}"))] {
            let reply = call_service(&fleet, key.as_deref()).await;
            assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
            let retry_after = reply.headers["retry-after"].to_str().unwrap();
            let back = retry_after.parse::<u64>().unwrap() * 1_000 + number * 500;
            assert!(
                back >= PAUSE_MS,
                "the caller returns {back} ms after the refusal"
            );
        }
        assert!(service.calls().is_empty());
        fleet.clock.advance(time::Duration::from_millis(500));
    }
    assert_eq!(call_service(&fleet, Some("last")).await.status, 200);
}

/// Guards against prompts, streams and polls of the cache that reach an engine during the pause that
/// it asked for.
#[tokio::test]
async fn engine_that_wants_a_pause_is_left_alone() {
    let polling_options = options()
        .with_suspect_after(time::Duration::from_secs(60))
        .with_cache_poll(time::Duration::from_millis(10));
    let fleet = Fleet::start(polling_options).await;
    let engine = fleet.engine(instant("engine-1")).await;
    engine.faults().ask_for_pause(PAUSE_MS);
    assert_ne!(fleet.stream(1).await.status, 200);
    engine.faults().ask_for_pause(0);
    // A poll of the cache may be on its way.
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    let reached = engine.http_requests();
    for _ in 0..5 {
        fleet.clock.advance(time::Duration::from_millis(500));
        let reply = fleet.stream(1).await;
        assert_eq!((reply.status, reply.run()), (503, Some("not-run")));
    }
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert_eq!(engine.http_requests(), reached);
    fleet.clock.advance(time::Duration::from_millis(600));
    assert_eq!(fleet.stream(1).await.status, 200);
}
