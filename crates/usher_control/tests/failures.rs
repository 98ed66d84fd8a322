//! Tests of control nodes, entries and operators under faults: killed leaders, lost answers, races,
//! entries that are gone, and missed changes.

mod group;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use group::{ControlGroup, FakeEntry};
use usher_state::ClaimStatus;
use usher_wire::message::{ClaimState, FinishKind};

/// Guards against a claim that is lost or granted twice when the leader is killed after committing
/// it and before its answer arrives.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_between_claim_commit_and_answer() {
    let mut group = ControlGroup::start("failures-claim-answer", 3).await;
    let leader = group.leader().await;
    let mut entry = FakeEntry::new("e1", 1, group.wire_address(leader));
    let replica = group.node(leader).replica().clone();
    let committed = group::until("the commit", || async {
        replica.view(|state| state.claims().status("k")).map(|_| ())
    });
    tokio::select! {
        // The answer is dropped with the call, as when the connection breaks.
        biased;
        () = committed => {}
        () = async {
            let _ = entry.claim("k", "q1").await;
            std::future::pending::<()>().await
        } => {}
    }
    drop(replica);
    group.kill(leader).await;
    let next = group.leader().await;
    entry.move_to(group.wire_address(next));
    let other = FakeEntry::new("e2", 1, group.wire_address(group.follower().await));
    assert_eq!(other.claim("k", "q2").await.unwrap(), ClaimState::Running);
    assert_eq!(entry.claim("k", "q1").await.unwrap(), ClaimState::Claimed);
}

/// Guards against two holders of a key when claims race with the crash of the leader.
#[tokio::test(flavor = "multi_thread")]
async fn claims_racing_with_a_leader_change_have_one_holder() {
    let mut group = ControlGroup::start("failures-claim-race", 3).await;
    let leader = group.leader().await;
    let indices = group.running_indices();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..60_usize {
        let index = indices[number % 3];
        let entry = FakeEntry::new(&format!("e{number}"), 1, group.wire_address(index));
        calls.spawn(async move {
            tokio::time::sleep(Duration::from_millis(5 * (number as u64 % 10))).await;
            let key = format!("k{}", number % 10);
            let answer = entry.claim(&key, "q1").await;
            matches!(answer, Ok(ClaimState::Claimed)).then_some(key)
        });
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    group.kill(leader).await;
    let mut held = BTreeSet::new();
    while let Some(claimed) = calls.join_next().await {
        if let Some(key) = claimed.unwrap() {
            assert!(held.insert(key.clone()), "{key} has two holders");
        }
    }
}

/// Guards against lost or duplicate versions when operators change the same version concurrently.
#[tokio::test(flavor = "multi_thread")]
async fn operators_with_equal_base_versions_race() {
    let group = ControlGroup::start("failures-operators", 3).await;
    let leader = group.leader().await;
    for base in 0..10_u64 {
        let mut calls = tokio::task::JoinSet::new();
        for operator in 0..4 {
            let address = group.operator_address(leader);
            calls.spawn(async move {
                let body = serde_json::json!({
                    "operator": format!("op-{operator}"),
                    "request_id": format!("r{base}"),
                    "base_version": base,
                    "sheet": group::sheet(operator),
                });
                let answer =
                    group::send_operator_request(address, "POST", "/v1/config", Some(body)).await;
                (format!("op-{operator}"), answer.unwrap())
            });
        }
        let answers = calls.join_all().await;
        let accepted: Vec<_> = answers
            .iter()
            .filter(|(_, answer)| answer.0 == 200)
            .collect();
        assert_eq!(accepted.len(), 1, "{answers:?}");
        let (winner, _) = accepted[0];
        for (operator, (status, _, body)) in &answers {
            assert_eq!(body["version"], base + 1);
            assert_eq!(body["operator"], winner.as_str());
            assert!(operator == winner || *status == 409);
        }
    }
}

/// Guards against a change that takes effect twice, or is reported as a conflict, when its answer
/// is lost and the operator resends it to another node.
#[tokio::test(flavor = "multi_thread")]
async fn change_is_resent_to_another_node_after_a_lost_answer() {
    let mut group = ControlGroup::start("failures-resend", 3).await;
    let leader = group.leader().await;
    let address = group.operator_address(leader);
    let body = group::config_change("r1", 0, &group::sheet(1));
    let replica = group.node(leader).replica().clone();
    let accepted = group::until("the commit", || async {
        replica.view(|state| (state.config().version() == 1).then_some(()))
    });
    tokio::select! {
        biased;
        () = accepted => {}
        () = async {
            let _ = group::send_operator_request(address, "POST", "/v1/config", body.clone()).await;
            std::future::pending::<()>().await
        } => {}
    }
    drop(replica);
    group.kill(leader).await;
    let (status, answer) = group::send_to_leader(&group, "POST", "/v1/config", body).await;
    assert_eq!((status, answer["version"].as_u64()), (200, Some(1)));
    assert_eq!(answer["repeated"], true);
    let other = group::config_change("r1", 0, &group::sheet(2));
    let (status, answer) = group::send_to_leader(&group, "POST", "/v1/config", other).await;
    assert_eq!((status, answer["version"].as_u64()), (409, Some(1)));
}

/// Guards against a key that is run again by another entry, and against claims that become unknown
/// while their entry may still send the call.
#[tokio::test(flavor = "multi_thread")]
async fn claims_of_a_gone_entry_become_unknown_after_its_right() {
    let group = ControlGroup::start("failures-gone", 3).await;
    group.leader().await;
    let mut gone = FakeEntry::new("e1", 1, group.wire_address(0));
    let mut alive = FakeEntry::new("e2", 1, group.wire_address(1));
    alive.wait_for_right().await;
    gone.wait_for_right().await;
    assert_eq!(gone.claim("k", "q1").await.unwrap(), ClaimState::Claimed);
    assert_eq!(alive.claim("a", "q1").await.unwrap(), ClaimState::Claimed);
    let last_right = Instant::now();
    let reply = gone.sync().await.unwrap();
    assert!(reply.right_ms > 0);
    let mut attempt = 0;
    loop {
        // The live entry switches between the nodes.
        attempt += 1;
        alive.move_to(group.wire_address(attempt % 3));
        let _ = alive.sync().await;
        let asked = Instant::now();
        let request = format!("r{attempt}");
        match alive.claim("k", &request).await.unwrap() {
            ClaimState::Running => {}
            ClaimState::Unknown => break,
            other => panic!("{other:?}"),
        }
        assert!(
            asked - last_right < Duration::from_secs(60),
            "never unknown"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(last_right.elapsed() >= Duration::from_secs(3));
    let status = |key: &'static str| {
        let replica = group.node(0).replica();
        move || replica.view(|state| state.claims().status(key))
    };
    assert_eq!(status("a")(), Some(ClaimStatus::Running));
    // The entry had only been paused and knows the answer.
    gone.finish("k", "q1", FinishKind::Answered).await.unwrap();
    let answer = alive.claim("k", "last").await.unwrap();
    assert_eq!(answer, ClaimState::Finished);
}

/// Guards against an entry that receives missed changes one by one or not at all, and against a
/// node that sends an older state than the entry has.
#[tokio::test(flavor = "multi_thread")]
async fn entry_and_node_that_missed_500_changes_get_only_the_newest() {
    let mut group = ControlGroup::start("failures-missed", 3).await;
    let leader = group.leader().await;
    let index = group.follower().await;
    let mut entry = FakeEntry::new("e1", 1, group.wire_address(leader));
    let mut absent = FakeEntry::new("e2", 1, group.wire_address(leader));
    let body = group::config_change("r0", 0, &group::sheet(0));
    group::send_to_leader(&group, "POST", "/v1/config", body).await;
    while absent.config_version < 1 {
        absent.wait_for_right().await;
    }
    group.kill(index).await;
    for base in 1..=500_u64 {
        let body =
            group::config_change(&format!("r{base}"), base, &group::sheet(base as usize % 9));
        let (status, _) = group::send_to_leader(&group, "POST", "/v1/config", body).await;
        assert_eq!(status, 200);
    }
    while entry.config_version < 501 {
        entry.wait_for_right().await;
    }
    absent.sync().await.unwrap();
    assert_eq!(absent.config_version, 501);
    assert_eq!(absent.sheet, group::sheet(500 % 9));
    // The restarted node lags behind; `FakeEntry` asserts that it sends no older state.
    group.start_node(index).await;
    entry.move_to(group.wire_address(index));
    let mut refused = 0;
    loop {
        match entry.sync().await {
            Ok(reply) if reply.right_ms > 0 => break,
            Ok(reply) => {
                assert!(!reply.config_changed && !reply.registry_changed);
                refused += 1;
            }
            Err(_) => {}
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(refused > 0, "the node never lagged");
    assert_eq!(entry.config_version, 501);
}

/// Guards against the loss of an accepted change when nodes are stopped one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_graceful_stops_of_all_nodes() {
    let mut group = ControlGroup::start("failures-stops", 3).await;
    let mut base = 0;
    for round in 0..3 {
        let leader = group.leader().await;
        for _ in 0..5 {
            let body = group::config_change(&format!("r{base}"), base, &group::sheet(0));
            let (status, answer) = group::send_to_leader(&group, "POST", "/v1/config", body).await;
            assert_eq!(status, 200, "round {round}: {answer}");
            base += 1;
            assert_eq!(answer["version"], base);
        }
        group.running[leader].take().unwrap().stop().await;
        let (_, answer) = group::send_to_leader(&group, "GET", "/v1/config", None).await;
        assert_eq!(answer["version"], base);
        group.start_node(leader).await;
    }
}

/// Guards against rights from a node that has lost the quorum.
#[tokio::test(flavor = "multi_thread")]
async fn rights_end_without_a_quorum() {
    let mut group = ControlGroup::start("failures-quorum", 3).await;
    let leader = group.leader().await;
    let mut entry = FakeEntry::new("e1", 1, group.wire_address(leader));
    entry.wait_for_right().await;
    for index in group.running_indices() {
        if index != leader {
            group.kill(index).await;
        }
    }
    let cut = Instant::now();
    let mut last_right = cut;
    while cut.elapsed() < Duration::from_secs(4) {
        // The right is granted after this instant, however slow the machine is.
        let asked = Instant::now();
        if entry.sync().await.is_ok_and(|reply| reply.right_ms > 0) {
            last_right = asked;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // At worst, the lease of 0.9 s and the confirmation of 1 s expire one after the other.
    assert!(last_right - cut < Duration::from_millis(1_900));
    assert!(entry.claim("k", "q1").await.is_err());
}
