//! Replicas over loopback repair their membership, and stop when their disk fails.

mod common;

use std::time;

use common::{leader_of, propose, wait_for, Group, Handle, ListMachine, Node};
use usher_replica::{RepairPolicy, ReplicaBuilder, ReplicaRole};

fn handles(nodes: &[Option<Node>]) -> Vec<&Handle> {
    nodes.iter().flatten().map(|node| &node.handle).collect()
}

fn voters(handle: &Handle) -> Vec<(String, u64)> {
    let membership = handle.status().membership;
    let voters = membership.members.into_iter().filter(|member| member.voter);
    voters
        .filter_map(|member| member.identity)
        .map(|identity| (identity.name, identity.incarnation))
        .collect()
}

fn quick_repair(settings: usher_replica::ReplicaSettings) -> usher_replica::ReplicaSettings {
    settings
        .with_snapshot_entries(20)
        .with_repair(Some(RepairPolicy {
            lost_after: time::Duration::from_millis(1_500),
            ..RepairPolicy::default()
        }))
}

/// Guards against a lost voter that is not replaced, a node that returns with an empty disk and
/// still counts as a voter, and accepted commands that are lost in a second loss right after the
/// repair.
#[tokio::test(flavor = "multi_thread")]
async fn spare_replaces_a_lost_voter_before_a_second_loss() {
    let mut group = Group::new("repair", 4, 3);
    group.adjust = quick_repair;
    let mut nodes: Vec<_> = group.start_all().await.into_iter().map(Some).collect();
    for number in 0..100_u8 {
        propose(&handles(&nodes), &[number]).await;
    }
    let spare = nodes[3].as_ref().unwrap().handle.clone();
    let first = usize::from(leader_of(&handles(&nodes)).await == 0);
    let old = nodes[first].as_ref().unwrap().handle.identity().clone();
    nodes[first].take().unwrap().stop().await;
    std::fs::remove_dir_all(group.node_folder(first)).unwrap();
    let lost = (old.name.to_string(), old.incarnation.get());
    wait_for("the spare as a voter in place of the lost one", || {
        let voters = voters(&spare);
        voters.len() == 3 && !voters.contains(&lost) && voters.iter().any(|(name, _)| name == "c4")
    })
    .await;
    // Second loss: the spare is now part of every quorum.
    let second = (0..3)
        .find(|node_index| nodes[*node_index].is_some())
        .unwrap();
    nodes[second].take().unwrap().stop().await;
    propose(&handles(&nodes), b"after both").await;
    let leader = leader_of(&handles(&nodes)).await;
    let leader = handles(&nodes)[leader].clone();
    leader.read().await.unwrap();
    let expected: Vec<Vec<u8>> = (0..100_u8).map(|number| vec![number]).collect();
    assert_eq!(
        leader.view(|machine| machine.commands[..100].to_vec()),
        expected
    );
    // The first lost node returns with an empty folder: it has a new identity and is no voter.
    nodes[first] = Some(group.start(first).await);
    let back = nodes[first].as_ref().unwrap().handle.clone();
    assert_ne!(back.identity().incarnation, old.incarnation);
    assert_eq!(back.status().role, ReplicaRole::Learner);
    wait_for("the state on the node that returned", || {
        back.view(|machine| machine.commands.len() >= 101)
    })
    .await;
    for node in nodes.into_iter().flatten() {
        node.stop().await;
    }
}

/// Guards against a new node that never joins because its settings do not name the leader, so that
/// the leader never receives its join notice; and against a node with a lost disk that receives
/// messages from the leader but cannot reply, because it does not know the leader's address.
#[tokio::test(flavor = "multi_thread")]
async fn new_node_that_knows_only_a_follower_joins() {
    let mut group = Group::new("stranger", 3, 3);
    group.adjust = quick_repair;
    let nodes: Vec<_> = group.start_all().await.into_iter().map(Some).collect();
    propose(&handles(&nodes), b"before").await;
    let leader = leader_of(&handles(&nodes)).await;
    let follower = (leader + 1) % 3;
    let address = usher_ports::reserve_address();
    let name = usher_types::NodeName::new("c4");
    let settings =
        usher_replica::ReplicaSettings::new("test", name, address, group.folder.join("c4"))
            .with_peers([(group.names[follower].clone(), group.addresses[follower])])
            .with_initial_members([]);
    let new_node = Group::start_settings(settings, usher_types::SystemClock).await;
    wait_for("the state on the new node", || {
        new_node.handle.view(|machine| !machine.commands.is_empty())
    })
    .await;
    new_node.stop().await;
    for node in nodes.into_iter().flatten() {
        node.stop().await;
    }
}

/// Guards against a node that continues after a failed fsync, and against success for a command
/// that is not durable.
#[tokio::test(flavor = "multi_thread")]
async fn failed_fsync_stops_the_replica() {
    let group = Group::new("fsync", 1, 1);
    let folder = usher_log::MemoryFolder::default();
    let node = ReplicaBuilder::new(group.settings(0), ListMachine::default());
    let handle = node.start_on(folder.clone()).await.unwrap();
    propose(&[&handle], b"durable").await;
    folder.fail_syncs_after(Some(0));
    let outcome = handle.propose(b"lost".to_vec()).await;
    assert!(matches!(
        outcome,
        Err(usher_replica::ProposeError::Unknown(_))
    ));
    let reason = handle.stopped().await.unwrap();
    assert!(reason.contains("fsync"), "{reason}");
    assert!(handle.read().await.is_err());
    let refused = handle.propose(b"more".to_vec()).await;
    assert!(matches!(refused, Err(usher_replica::ProposeError::Stopped)));
}

/// Guards against a follower that serves linearizable reads or accepts commands, and against a
/// leader that does so without a quorum.
#[tokio::test(flavor = "multi_thread")]
async fn only_a_leader_with_a_quorum_serves() {
    let group = Group::new("quorum", 3, 3);
    let mut nodes: Vec<_> = group.start_all().await.into_iter().map(Some).collect();
    propose(&handles(&nodes), b"first").await;
    let leader = leader_of(&handles(&nodes)).await;
    let follower = nodes[(leader + 1) % 3].as_ref().unwrap();
    wait_for("the leader's name", || {
        follower.handle.status().leader.is_some()
    })
    .await;
    let refused = follower.handle.read().await.unwrap_err();
    let usher_replica::ReadError::NotLeader {
        leader: Some((name, address)),
    } = refused
    else {
        panic!("{refused}");
    };
    assert_eq!(
        (name, address),
        (group.names[leader].clone(), group.addresses[leader])
    );
    for node_index in [(leader + 1) % 3, (leader + 2) % 3] {
        nodes[node_index].take().unwrap().stop().await;
    }
    let alone = nodes[leader].as_ref().unwrap().handle.clone();
    wait_for("the end of the lease", || {
        !alone.holds_lease(time::Instant::now())
    })
    .await;
    assert!(alone.read().await.is_err());
    assert!(alone.propose(b"alone".to_vec()).await.is_err());
    nodes[leader].take().unwrap().stop().await;
}
