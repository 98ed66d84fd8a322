//! Regression tests for the consensus core.

mod support;

use std::{sync, time};

use support::{ack, from, leader, member_of, members, node, run, settle};
use usher_consensus::{
    ConsensusCore, ConsensusSettings, CoreRole, HardState, InitialState, MemberTable,
    MembershipChange, NodeId, SnapshotImage,
};
use usher_wire::message::{self, consensus_message::Kind};

fn empty_append(index: u64) -> Kind {
    Kind::AppendRequest(message::AppendRequest {
        previous_index: index,
        previous_term: 1,
        round: 1,
        ..Default::default()
    })
}

fn rejection(round: u64) -> Kind {
    Kind::AppendReply(message::AppendReply {
        accepted: false,
        index: 0,
        round,
        refused_index: 2,
    })
}

/// Guards against a deposed leader that keeps acting as the leader in the new term.
#[test]
fn deposed_leader_follows_the_append_of_a_higher_term() {
    let now = time::Instant::now();
    let mut core = leader(now);
    let later = now + time::Duration::from_secs(5);
    core.receive(later, from(&node("b"), &node("a"), 2, empty_append(2)));
    run(&mut core, later);
    assert_eq!(core.role(), CoreRole::Follower);
    assert!(core.propose(vec![1]).is_err());
    core.receive(later, from(&node("c"), &node("a"), 2, rejection(1)));
    assert_eq!(core.role(), CoreRole::Follower);
}

/// Guards against rejections in a new term that give a deposed leader a lease in that term.
#[test]
fn second_leader_of_a_term_gets_no_lease() {
    let now = time::Instant::now();
    let mut core = leader(now);
    let heartbeat = now + time::Duration::from_millis(150);
    core.tick(heartbeat);
    run(&mut core, heartbeat);
    // It was partitioned for less than the minimum election timeout.
    let later = now + time::Duration::from_millis(990);
    core.receive(later, from(&node("b"), &node("a"), 2, empty_append(2)));
    core.tick(later);
    let sent = run(&mut core, later)
        .into_iter()
        .flat_map(|batch| batch.messages);
    let appends = sent.filter(|message| matches!(message.kind, Some(Kind::AppendRequest(_))));
    assert_eq!(appends.count(), 0);
    for peer in ["b", "c"] {
        for round in 0..5 {
            core.receive(later, from(&node(peer), &node("a"), 2, rejection(round)));
        }
    }
    assert!(!core.holds_lease(later));
}

/// Creates a follower with a snapshot at index 1 and entries of term 3 up to index `entries`.
fn follower(entries: u64, now: time::Instant) -> ConsensusCore {
    let state = InitialState {
        hard_state: HardState {
            term: 3,
            vote: None,
        },
        image: Some(sync::Arc::new(SnapshotImage {
            index: 1,
            term: 1,
            membership: MemberTable::new(members()),
            data: vec![0],
        })),
        entries: (2..=entries).map(|index| entry(index, 3)).collect(),
    };
    ConsensusCore::new(node("c"), ConsensusSettings::default(), state, 1, now)
}

fn entry(index: u64, term: u64) -> message::LogEntry {
    message::LogEntry {
        index,
        term,
        payload: vec![1],
        ..Default::default()
    }
}

fn piece(index: u64, term: u64) -> Kind {
    Kind::SnapshotPiece(message::SnapshotPiece {
        last_index: index,
        last_term: term,
        membership: Some(message::Membership { members: members() }),
        offset: 0,
        total: 3,
        data: vec![1, 2, 3],
        round: 1,
    })
}

/// Guards against stale entries that reappear after a snapshot when the node restarts.
#[test]
fn conflicting_snapshot_discards_the_written_tail() {
    let now = time::Instant::now();
    let mut core = follower(100, now);
    core.receive(now, from(&node("a"), &node("c"), 5, piece(95, 5)));
    let batches = run(&mut core, now);
    // A snapshot without `keeps_log` replaces all written entries; the tests of usher_log check
    // that they do not reappear.
    let replaced = batches
        .iter()
        .any(|batch| batch.snapshot.is_some() && !batch.keeps_log);
    assert!(replaced);
    assert_eq!((core.last_index(), core.durable()), (95, 95));
}

/// Guards against entries that count as durable but were never passed to storage.
#[test]
fn entries_after_a_matching_snapshot_are_written() {
    let now = time::Instant::now();
    let mut core = follower(10, now);
    let append = message::AppendRequest {
        previous_index: 10,
        previous_term: 3,
        entries: (11..=20).map(|index| entry(index, 5)).collect(),
        commit: 2,
        round: 1,
    };
    // Both arrive before the driver takes the output.
    let append = Kind::AppendRequest(append);
    core.receive(now, from(&node("a"), &node("c"), 5, append));
    core.receive(now, from(&node("a"), &node("c"), 5, piece(15, 5)));
    let batches = run(&mut core, now);
    let written: Vec<u64> = batches
        .iter()
        .flat_map(|batch| &batch.entries)
        .map(|entry| entry.index)
        .collect();
    assert!((16..=20).all(|index| written.contains(&index)));
}

/// Guards against a burst of reads that evicts the confirmed round from the leader's state.
#[test]
fn burst_of_reads_does_not_depose_a_leader() {
    let now = time::Instant::now();
    let mut core = leader(now);
    // The lease has just expired: the quorum replied 0.95 s ago, and the leader was elected 1.9 s
    // ago.
    let second = now + time::Duration::from_millis(950);
    core.tick(second);
    run(&mut core, second);
    for peer in ["b", "c"] {
        core.receive(second, from(&node(peer), &node("a"), 1, ack(2, 2)));
    }
    let mut third = now + time::Duration::from_millis(1_900);
    for id in 0..3_000 {
        third += time::Duration::from_micros(1);
        core.read(third, id).unwrap();
    }
    let batches = run(&mut core, third);
    let sent: usize = batches.iter().map(|batch| batch.messages.len()).sum();
    assert!(sent <= 6, "{sent} messages for reads that share a round");
    core.tick(third);
    assert_eq!(core.role(), CoreRole::Leader);
    // Two rounds serve all reads: the one in flight and the next.
    for round in 0..20 {
        core.receive(third, from(&node("b"), &node("a"), 1, ack(2, round)));
    }
    let ready: usize = run(&mut core, third)
        .iter()
        .map(|batch| batch.reads_ready.len())
        .sum();
    assert_eq!(ready, 3_000);
}

/// Creates node a of the given incarnation and lets it bootstrap a group of three voters.
fn bootstrap_node(incarnation: u64, now: time::Instant) -> ConsensusCore {
    let id = NodeId::new("a", incarnation);
    let settings = ConsensusSettings::default();
    let mut core = ConsensusCore::new(id.clone(), settings, InitialState::default(), 1, now);
    let others = ["b", "c"].iter().map(|name| member_of(&node(name)));
    core.bootstrap(now, others.chain([member_of(&id)]));
    core.tick(now);
    core
}

/// Lets the bootstrapping node win its election; its first entry reaches no other node.
fn elect(
    bootstrap_node: &mut ConsensusCore,
    mut voters: [&mut ConsensusCore; 2],
    mut now: time::Instant,
) -> time::Instant {
    for _ in 0..100 {
        now += time::Duration::from_millis(50);
        bootstrap_node.tick(now);
        let requests: Vec<_> = run(bootstrap_node, now)
            .into_iter()
            .flat_map(|batch| batch.messages_after_write)
            .collect();
        for core in &mut voters {
            for message in &requests {
                core.receive(now, message.clone());
            }
            let replies = run(core, now).into_iter();
            for reply in replies.flat_map(|batch| batch.messages_after_write) {
                bootstrap_node.receive(now, reply);
            }
        }
        if bootstrap_node.role() == CoreRole::Leader {
            run(bootstrap_node, now);
            return now;
        }
    }
    panic!("the bootstrapping node was not elected");
}

/// Guards against two groups when a bootstrapping node is paused, replaced with an empty disk, and
/// resumes: neither may commit with one of the voters while the other has the rest.
#[test]
fn paused_and_replaced_bootstrap_node_forms_no_second_group() {
    let mut now = time::Instant::now();
    let blank = |name: &str| {
        let settings = ConsensusSettings::default();
        ConsensusCore::new(node(name), settings, InitialState::default(), 2, now)
    };
    let (mut b, mut c) = (blank("b"), blank("c"));
    let mut old = bootstrap_node(1, now);
    now = elect(&mut old, [&mut b, &mut c], now);
    now += time::Duration::from_secs(3);
    let mut new = bootstrap_node(2, now);
    now = elect(&mut new, [&mut b, &mut c], now);
    for _ in 0..200 {
        now += time::Duration::from_millis(50);
        for core in [&mut old, &mut new, &mut b, &mut c] {
            core.tick(now);
        }
        settle(&mut [&mut old, &mut b], now);
        settle(&mut [&mut new, &mut c], now);
    }
    assert_eq!((old.commit(), new.commit()), (0, 0));
    // After all nodes are connected, exactly one of them completes the bootstrap.
    for _ in 0..400 {
        now += time::Duration::from_millis(50);
        for core in [&mut old, &mut new, &mut b, &mut c] {
            core.tick(now);
        }
        settle(&mut [&mut old, &mut new, &mut b, &mut c], now);
    }
    assert!(
        old.commit().max(new.commit()) >= 2,
        "no bootstrap completed"
    );
    assert_eq!(
        old.commit().min(new.commit()),
        0,
        "both bootstraps completed"
    );
}

/// Guards against a bootstrap that commits before every initial voter holds the membership.
#[test]
fn bootstrap_needs_all_initial_voters() {
    let now = time::Instant::now();
    let settings = ConsensusSettings::default;
    let mut b = ConsensusCore::new(node("b"), settings(), InitialState::default(), 2, now);
    let mut c = ConsensusCore::new(node("c"), settings(), InitialState::default(), 3, now);
    let mut a = bootstrap_node(1, now);
    settle(&mut [&mut a, &mut b], now);
    assert_ne!(
        a.role(),
        CoreRole::Leader,
        "two of three nodes bootstrapped a group"
    );
    let mut later = now;
    for _ in 0..100 {
        later += time::Duration::from_millis(50);
        for core in [&mut a, &mut b, &mut c] {
            core.tick(later);
        }
        settle(&mut [&mut a, &mut b, &mut c], later);
    }
    assert_eq!(a.commit().min(b.commit()).min(c.commit()), 2);
    // After the bootstrap a majority is enough.
    a.propose(vec![1]).unwrap();
    settle(&mut [&mut a, &mut b], later);
    assert_eq!(a.commit(), 3);
}

/// Guards against a promotion that never succeeds under continuous load.
#[test]
fn learner_a_round_trip_away_is_promoted_under_load() {
    let now = time::Instant::now();
    let mut core = leader(now);
    let spare = node("d");
    core.change_members(now, &MembershipChange::AddLearner(member_of(&spare)))
        .unwrap();
    run(&mut core, now);
    let a = node("a");
    for peer in ["b", "c"] {
        core.receive(now, from(&node(peer), &a, 1, ack(3, 1)));
    }
    run(&mut core, now);
    // One command per ms; voters acknowledge after 2 ms, the learner after 40 ms.
    let mut promoted = None;
    for ms in 1..=20_000_u64 {
        let at = now + time::Duration::from_millis(ms);
        core.propose(vec![0]).unwrap();
        run(&mut core, at);
        let index = core.last_index();
        for peer in ["b", "c"] {
            core.receive(
                at,
                from(
                    &node(peer),
                    &a,
                    1,
                    ack(index.saturating_sub(2).max(3), 1 + ms / 150),
                ),
            );
        }
        core.receive(
            at,
            from(&spare, &a, 1, ack(index.saturating_sub(40).max(3), 1)),
        );
        run(&mut core, at);
        let promote = MembershipChange::Promote(spare.clone());
        let due = ms % 10 == 0 && promoted.is_none();
        if due && core.change_members(at, &promote).is_ok() {
            promoted = Some(ms);
        }
    }
    assert!(promoted.is_some());
}
