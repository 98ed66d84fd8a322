//! How long an entry forwards announcements of targets to control.

use std::time;

use crate::support::{instant, options, wait_for, Fleet};

/// Waits until some more heartbeats have been answered.
async fn wait_for_heartbeats(fleet: &Fleet, count: u64) {
    let before = fleet.control.sync_count();
    wait_for("more heartbeats", || {
        fleet.control.sync_count() >= before + count
    })
    .await;
}

/// Guards against a record that control refuses and that the entry sends forever, even when its
/// target is silent.
#[tokio::test]
async fn refused_record_is_dropped_when_its_target_is_silent() {
    let fleet = Fleet::start(options()).await;
    fleet.control.remove_target("service-1");
    let announcement = serde_json::json!({
        "name": "service-1", "incarnation": 1, "address": "127.0.0.1:1", "kind": "plain",
        "service": "rounds", "region": "south-a", "domain": "d0",
    });
    let request = fleet.request("POST", "/v1/targets/announce");
    let reply = fleet.send(request, announcement.to_string()).await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    fleet.clock.advance(time::Duration::from_millis(2_900));
    wait_for_heartbeats(&fleet, 3).await;
    let sent = fleet.control.announced_count();
    wait_for_heartbeats(&fleet, 3).await;
    assert!(fleet.control.announced_count() > sent, "dropped too early");
    fleet.clock.advance(time::Duration::from_millis(200));
    wait_for_heartbeats(&fleet, 2).await;
    let sent = fleet.control.announced_count();
    wait_for_heartbeats(&fleet, 10).await;
    assert_eq!(fleet.control.announced_count(), sent);
}

/// Guards against a record that is sent forever because the registered record has a leaving mark
/// that the target doesn't announce.
fn marked_target_is_not_announced_again(marked_first: bool) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(options()).await;
        if marked_first {
            fleet.control.drain_target("engine-1");
        }
        let _engine = fleet.engine(instant("engine-1")).await;
        fleet.control.drain_target("engine-1");
        wait_for_heartbeats(&fleet, 3).await;
        let sent = fleet.control.announced_count();
        // The engine announces itself every 20 ms, and a heartbeat takes 10 ms.
        wait_for_heartbeats(&fleet, 20).await;
        assert_eq!(fleet.control.announced_count(), sent);
    });
}

usher_types::cases! { marked_target_is_not_announced_again:
    mark_comes_before_the_target(true);
    mark_comes_after_the_target(false);
}
