//! Tests with three control nodes in one process: heartbeats, claims, configuration and the
//! operators' interface.

mod group;

use group::{ControlGroup, FakeEntry};
use usher_wire::message::{self, ClaimState, FinishKind};

/// Guards against entries that receive no right, sheet or targets from a follower.
#[tokio::test(flavor = "multi_thread")]
async fn entry_at_a_follower_gets_right_sheet_and_targets() {
    let group = ControlGroup::start("control-sync", 3).await;
    let follower = group.follower().await;
    let mut entry = FakeEntry::new("e1", 1, group.wire_address(follower));
    entry.announced = vec![group::engine("engine-1", 5, "127.0.0.1:1")];
    let reply = entry.wait_for_right().await;
    assert_eq!(reply.right_ms, 3_000);
    let sheet = group::sheet(0);
    let body = group::config_change("r1", 0, &sheet);
    let (status, answer) = group::send_to_leader(&group, "POST", "/v1/config", body).await;
    assert_eq!((status, answer["version"].as_u64()), (200, Some(1)));
    while entry.config_version < 1 || entry.targets.is_empty() {
        entry.wait_for_right().await;
    }
    assert_eq!(entry.sheet, sheet);
    assert_eq!(entry.targets[0].name, "engine-1");
}

/// Guards against a claim whose result depends on the node that handles the request.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_shared_by_all_nodes() {
    let group = ControlGroup::start("control-claims", 3).await;
    group.leader().await;
    let first = FakeEntry::new("e1", 1, group.wire_address(0));
    let second = FakeEntry::new("e2", 1, group.wire_address(1));
    let other = FakeEntry::new("e1", 1, group.wire_address(2));
    assert_eq!(first.claim("k", "q1").await.unwrap(), ClaimState::Claimed);
    assert_eq!(second.claim("k", "q2").await.unwrap(), ClaimState::Running);
    assert_eq!(other.claim("k", "q1").await.unwrap(), ClaimState::Claimed);
    let foreign = second.finish("k", "q2", FinishKind::Released).await;
    assert!(foreign.is_err());
    other.finish("k", "q1", FinishKind::Answered).await.unwrap();
    assert_eq!(second.claim("k", "q3").await.unwrap(), ClaimState::Finished);
}

/// Guards against operators who get no answer, or an outdated one from a follower.
#[tokio::test(flavor = "multi_thread")]
async fn operators_are_answered_by_the_leader() {
    let group = ControlGroup::start("control-operators", 3).await;
    let leader = group.leader().await;
    let follower = group.follower().await;
    let at_follower = group.operator_address(follower);
    let (status, headers, _) = group::send_operator_request(at_follower, "GET", "/v1/config", None)
        .await
        .unwrap();
    assert_eq!(status, 307);
    let expected = format!("http://{}/v1/config", group.operator_address(leader));
    assert_eq!(headers["location"], expected);
    let bad = group::config_change("r1", 0, "not a sheet");
    let (status, _) = group::send_to_leader(&group, "POST", "/v1/config", bad).await;
    assert_eq!(status, 400);
    let drain = Some(serde_json::json!({ "operator": "ops", "target": "nobody" }));
    let (status, _) = group::send_to_leader(&group, "POST", "/v1/drain", drain).await;
    assert_eq!(status, 400);
    for path in ["/v1/status", "/v1/orders", "/v1/config"] {
        let (status, body) = group::send_to_leader(&group, "GET", path, None).await;
        assert_eq!(status, 200, "{path}: {body}");
    }
    let (status, _) = group::send_to_leader(&group, "GET", "/v1/explain/nobody", None).await;
    assert_eq!(status, 404);
    let (_, body) = group::send_to_leader(&group, "GET", "/v1/status", None).await;
    assert_eq!(body["members"].as_array().unwrap().len(), 3);
    let health = group::send_operator_request(at_follower, "GET", "/healthz", None).await;
    assert_eq!(health.unwrap().0, 200);
    let ready = || async {
        let answer = group::send_operator_request(at_follower, "GET", "/readyz", None).await;
        (answer?.0 == 200).then_some(())
    };
    group::until("a ready follower", ready).await;
}

/// Guards against an entry whose targets differ from the registry because it receives only changes,
/// and against sending the full registry for each change.
#[tokio::test(flavor = "multi_thread")]
async fn changes_of_the_registry_add_up_to_the_registry() {
    let group = ControlGroup::start("control-delta", 3).await;
    let follower = group.follower().await;
    let mut full = FakeEntry::new("e1", 1, group.wire_address(follower));
    let mut partial = FakeEntry::new("e2", 1, group.wire_address(follower));
    partial.takes_delta = true;
    let engine = |number: u64, incarnation| {
        let name = format!("engine-{number}");
        group::engine(&name, incarnation, "127.0.0.1:1")
    };
    full.announced = (0..30).map(|number| engine(number, 1)).collect();
    while full.targets.len() < 30 || partial.targets.len() < 30 {
        full.wait_for_right().await;
        partial.wait_for_right().await;
    }
    // One engine restarts and is leaving, the last one falls silent, and the others keep reporting.
    full.announced = vec![engine(3, 2)];
    full.announced[0].leaving = true;
    full.loads = (0..29)
        .map(|number| group::load(&format!("engine-{number}"), 1))
        .collect();
    full.loads[3].incarnation = 2;
    let known = partial.registry_version;
    while full.targets.len() > 29 || partial.targets.len() > 29 {
        full.wait_for_right().await;
        let before = partial.registry_version;
        let reply = partial.wait_for_right().await;
        assert!(
            before == 0 || reply.targets.len() <= 1,
            "{}",
            reply.targets.len()
        );
    }
    assert!(partial.registry_version >= known + 2);
    assert_eq!(full.registry_version, partial.registry_version);
    assert_eq!(full.targets, partial.targets);
    assert!(full
        .targets
        .iter()
        .any(|one| one.incarnation == 2 && one.leaving));
}

/// Guards against an entry that fills the relay requests and the leader's share table with demands
/// for many service names.
#[tokio::test(flavor = "multi_thread")]
async fn demands_of_one_heartbeat_are_capped() {
    let group = ControlGroup::start("control-demands", 3).await;
    let follower = group.follower().await;
    let mut entry = FakeEntry::new("e1", 1, group.wire_address(follower));
    let demand = |service: String, requests: f64| message::ServiceDemand {
        service,
        requests,
        ..message::ServiceDemand::default()
    };
    let names = (0..1_000).map(|number| format!("random-{number:03}"));
    entry.demands = names.map(|name| demand(name, 1.0)).collect();
    entry.demands.push(demand("zebra".to_owned(), 50.0));
    let shares = loop {
        let reply = entry.wait_for_right().await;
        if !reply.shares.is_empty() {
            break reply.shares;
        }
    };
    assert!(shares.len() <= 256, "{} shares", shares.len());
    // The largest demands are kept, whatever their names.
    assert!(shares.iter().any(|share| share.service == "zebra"));
}
