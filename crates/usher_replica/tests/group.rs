//! Replicas over loopback elect a leader, commit commands and recover after a restart.

mod common;

use common::{leader_of, propose, wait_for, Group, Handle};
use usher_replica::ReplicaRole;

fn handles(nodes: &[common::Node]) -> Vec<&Handle> {
    nodes.iter().map(|node| &node.handle).collect()
}

/// Guards against a group that cannot bootstrap from its settings, or whose nodes diverge.
#[tokio::test(flavor = "multi_thread")]
async fn three_nodes_elect_a_leader_and_commit() {
    let group = Group::new("commit", 3, 3);
    let nodes = group.start_all().await;
    let handles = handles(&nodes);
    let outcome = propose(&handles, b"first").await;
    assert_eq!(outcome, 1_u64.to_le_bytes());
    let leader = handles[leader_of(&handles).await];
    leader.read().await.unwrap();
    assert_eq!(leader.view(|machine| machine.commands.len()), 1);
    for handle in &handles {
        wait_for("the command on all nodes", || {
            handle.view(|machine| machine.commands == [b"first"])
        })
        .await;
    }
    for node in nodes {
        node.stop().await;
    }
}

/// Guards against a single voter that needs peers, or loses its state in a restart.
#[tokio::test(flavor = "multi_thread")]
async fn single_voter_keeps_its_state_over_a_restart() {
    let group = Group::new("single", 1, 1);
    let node = group.start(0).await;
    for number in 0..50_u8 {
        propose(&[&node.handle], &[number]).await;
    }
    assert!(node.handle.holds_lease(std::time::Instant::now()));
    let identity = node.handle.identity().clone();
    node.stop().await;
    let node = group.start(0).await;
    assert_eq!(*node.handle.identity(), identity);
    wait_for("leadership", || {
        node.handle.status().role == ReplicaRole::Leader
    })
    .await;
    node.handle.read().await.unwrap();
    assert_eq!(node.handle.view(|machine| machine.commands.len()), 50);
    node.stop().await;
}

/// Guards against a repair that shrinks a group of five voters to the default of three.
#[test]
fn repair_keeps_the_initial_number_of_voters() {
    for count in [1, 3, 5] {
        let mut group = Group::new("count", 5, count);
        group.adjust = |settings| settings;
        let repair = group.settings(0).repair.unwrap();
        assert_eq!(repair.voters, count);
    }
}
