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

/// Returns an announcement of an engine with other values of some fields, as JSON text.
fn odd_announcement(name: &str, fields: &str) -> String {
    format!(
        r#"{{"name":"{name}","incarnation":7,"kind":"engine","service":"assist",
        "model":"assist-1","region":"south-a","domain":"domain-1"{fields}}}"#
    )
}

/// Sends announcements of another writer, and checks that a sound engine goes on serving.
fn check_odd(status: u16, announcements: Vec<String>) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(options()).await;
        let _engine = fleet.engine(instant("engine-1")).await;
        fleet.fill_budget().await;
        for body in announcements {
            let request = fleet.request("POST", "/v1/targets/announce");
            let reply = fleet.send(request, body).await;
            assert_eq!(reply.status, status, "{}", reply.text);
        }
        wait_for_heartbeats(&fleet, 5).await;
        for _ in 0..6 {
            // Nobody listens at the address of an odd entry, and the call goes to the sound engine.
            fleet.stream(3).await.assert_complete(3);
        }
        assert!(fleet.node.status().ready);
    });
}

const HUGE: &str = "18446744073709551615";

// Guards against an entry of another writer that ends the process that reads it, or its service.
usher_types::cases! { check_odd:
    announcement_that_is_nested_deeply(200, vec![odd_announcement(
        "odd-1",
        &format!(r#","address":"127.0.0.1:1","x":{}{}"#, "[".repeat(20_000), "]".repeat(20_000)),
    )]);
    announcement_with_the_largest_numbers(200, vec![
        odd_announcement(
            "odd-1",
            &format!(r#","address":"127.0.0.1:1","kv_pieces":{HUGE},"load":{{"at_ms":{HUGE},
            "running":4294967295,"waiting":4294967295,"prefill_tokens_waiting":{HUGE},
            "kv_pieces_used":{HUGE}}}"#),
        ),
    ]);
    announcement_with_numbers_out_of_range(400, vec![
        odd_announcement("odd-2", r#","address":"127.0.0.1:1","kv_pieces":1e400"#),
        odd_announcement("odd-3", r#","address":"127.0.0.1:1","load":{"running":4294967296}"#),
    ]);
    announcement_with_odd_ports(400, vec![
        odd_announcement("odd-1", r#","address":"127.0.0.1:0""#),
        odd_announcement("odd-2", r#","address":"127.0.0.1:70000""#),
        odd_announcement("odd-3", r#","address":"0.0.0.0:1""#),
    ]);
}
