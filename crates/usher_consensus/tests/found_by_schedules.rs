//! Minimal regression tests for faults that the randomised schedules found.

mod support;

use std::time;

use support::{ack, from, leader, leader_with, member_of, members, node, run, settle, vote};
use usher_consensus::{
    ConsensusCore, ConsensusSettings, CoreRole, HardState, InitialState, MembershipChange, NodeId,
};
use usher_wire::message::{self, consensus_message::Kind};

fn rejection(index: u64, refused_index: u64) -> Kind {
    Kind::AppendReply(message::AppendReply {
        accepted: false,
        index,
        round: 1,
        refused_index,
    })
}

/// Guards against a second group next to an existing one after all initial voters were replaced
/// with empty disks and only a former spare still holds the log.
#[test]
fn replaced_initial_voters_bootstrap_no_second_group() {
    let mut now = time::Instant::now();
    let settings = ConsensusSettings::default;
    let holder = InitialState {
        hard_state: HardState {
            term: 3,
            vote: None,
        },
        entries: vec![message::LogEntry {
            index: 1,
            term: 3,
            ..Default::default()
        }],
        ..InitialState::default()
    };
    let mut d = ConsensusCore::new(node("d"), settings(), holder, 4, now);
    let blank = |name: &str, seed| {
        ConsensusCore::new(node(name), settings(), InitialState::default(), seed, now)
    };
    let (mut a, mut b, mut c) = (blank("a", 1), blank("b", 2), blank("c", 3));
    // a knows d from a join notice that d sent before it joined the group.
    let mut spare = member_of(&node("d"));
    spare.voter = false;
    a.bootstrap(now, members().into_iter().chain([spare]));
    for _ in 0..200 {
        now += time::Duration::from_millis(50);
        a.tick(now);
        settle(&mut [&mut a, &mut b, &mut c, &mut d], now);
        assert_ne!(
            a.role(),
            CoreRole::Leader,
            "a second group was bootstrapped"
        );
    }
}

/// Guards against accepting commands that could be committed only with all initial voters.
#[test]
fn no_command_is_accepted_during_the_bootstrap() {
    let now = time::Instant::now();
    let a = node("a");
    let settings = ConsensusSettings::default();
    let mut core = ConsensusCore::new(a.clone(), settings, InitialState::default(), 1, now);
    core.bootstrap(now, members());
    core.tick(now);
    run(&mut core, now);
    for pre in [true, false] {
        for peer in ["b", "c"] {
            core.receive(now, from(&node(peer), &a, 1, vote(pre)));
            run(&mut core, now);
        }
    }
    assert_eq!(core.role(), CoreRole::Leader);
    assert!(core.propose(vec![1]).is_err());
    for peer in ["b", "c"] {
        core.receive(now, from(&node(peer), &a, 1, ack(1, 1)));
    }
    assert!(core.propose(vec![1]).is_ok());
}

/// Guards against a message storm: each duplicate of a rejection started another probe for the last
/// common index of the logs.
#[test]
fn repeated_refusals_cause_one_message() {
    let now = time::Instant::now();
    let mut core = leader(now);
    let b = node("b");
    for _ in 0..20 {
        core.propose(vec![1]).unwrap();
    }
    run(&mut core, now);
    for _ in 0..50 {
        core.receive(now, from(&b, &node("a"), 1, rejection(2, 10)));
    }
    let to_b = |message: &message::ConsensusMessage| {
        NodeId::from_message(message.to.as_ref()) == node("b")
    };
    let batches = run(&mut core, now);
    let sent = batches.iter().flat_map(|batch| &batch.messages);
    assert_eq!(sent.filter(|message| to_b(message)).count(), 1);
}

/// Guards against a follower that permanently rejects probes before its snapshot index.
#[test]
fn probe_before_the_snapshot_index_is_accepted() {
    let now = time::Instant::now();
    let image = usher_consensus::SnapshotImage {
        index: 20,
        term: 1,
        ..Default::default()
    };
    let state = InitialState {
        image: Some(std::sync::Arc::new(image)),
        ..InitialState::default()
    };
    let settings = ConsensusSettings::default();
    let mut core = ConsensusCore::new(node("b"), settings, state, 1, now);
    let probe = Kind::AppendRequest(message::AppendRequest {
        previous_index: 5,
        previous_term: 1,
        round: 1,
        ..Default::default()
    });
    core.receive(now, from(&node("a"), &node("b"), 1, probe));
    let replies: Vec<_> = run(&mut core, now)
        .into_iter()
        .flat_map(|batch| batch.messages_after_write)
        .filter_map(|message| message.kind)
        .collect();
    let [Kind::AppendReply(reply)] = replies.as_slice() else {
        panic!("{replies:?}");
    };
    assert_eq!((reply.accepted, reply.index), (true, 20));
}

/// Guards against a member that is added long after the election, counts as silent since the
/// election and is therefore removed immediately.
#[test]
fn added_member_does_not_count_as_silent() {
    let now = time::Instant::now();
    let mut core = leader(now);
    let later = now + time::Duration::from_secs(3_600);
    let change = MembershipChange::AddLearner(member_of(&node("d")));
    core.change_members(later, &change).unwrap();
    run(&mut core, later);
    for peer in ["b", "c"] {
        core.receive(later, from(&node(peer), &node("a"), 1, ack(3, 1)));
    }
    let view = core.repair_view(later).unwrap();
    let added = view.members.iter().find(|member| member.node == node("d"));
    assert_eq!(added.unwrap().silent, time::Duration::ZERO);
}

/// Guards against a snapshot transfer that never completes: a delayed reply from before the peer's
/// restart moved the leader's offset past what the peer holds.
#[test]
fn snapshot_transfer_recovers_from_a_restart_of_the_peer() {
    let now = time::Instant::now();
    let settings = ConsensusSettings {
        keep_entries: 0,
        piece_bytes: 4,
        ..ConsensusSettings::default()
    };
    let mut core = leader_with(settings, now);
    let (a, d) = (node("a"), node("d"));
    let change = MembershipChange::AddLearner(member_of(&d));
    core.change_members(now, &change).unwrap();
    run(&mut core, now);
    for peer in ["b", "c"] {
        core.receive(now, from(&node(peer), &a, 1, ack(3, 1)));
    }
    run(&mut core, now);
    core.snapshot_taken(3, vec![0; 16]).unwrap();
    core.receive(now, from(&d, &a, 1, rejection(0, 3)));
    let reply = |next_offset| {
        Kind::SnapshotReply(message::SnapshotReply {
            last_index: 3,
            next_offset,
            round: 1,
            durable: false,
        })
    };
    // The peer received 8 bytes and was restarted; then a reply from before the restart arrives.
    for offset in [4, 8, 0, 4, 8, 4] {
        core.receive(now, from(&d, &a, 1, reply(offset)));
    }
    run(&mut core, now);
    let heartbeat = now + time::Duration::from_millis(150);
    core.tick(heartbeat);
    let offsets: Vec<_> = run(&mut core, heartbeat)
        .into_iter()
        .flat_map(|batch| batch.messages)
        .filter_map(|message| match message.kind {
            Some(Kind::SnapshotPiece(piece)) => Some(piece.offset),
            _ => None,
        })
        .collect();
    assert_eq!(offsets, [4]);
}

/// Guards against a group in which no node can be elected: a learner holds later entries of a
/// leader whose disk is lost, and therefore denies its vote to the only voter that could win.
#[test]
fn learner_with_the_last_entries_leads_until_they_are_committed() {
    let mut now = time::Instant::now();
    let table = |promoted: bool| {
        let mut learner = member_of(&node("d"));
        learner.voter = promoted;
        usher_consensus::MemberTable::new(members().into_iter().chain([learner]))
    };
    let entry = |index, term, promoted: Option<bool>| message::LogEntry {
        index,
        term,
        kind: promoted.map_or(message::EntryKind::Noop, |_| message::EntryKind::Membership) as i32,
        payload: promoted.map_or_else(Vec::new, |promoted| table(promoted).encode()),
    };
    let core = |name: &str, entries: Vec<message::LogEntry>, seed| {
        let hard_state = HardState {
            term: 2,
            vote: None,
        };
        let state = InitialState {
            hard_state,
            entries,
            ..InitialState::default()
        };
        ConsensusCore::new(node(name), ConsensusSettings::default(), state, seed, now)
    };
    let first = [entry(1, 1, Some(false)), entry(2, 1, Some(false))];
    // a appended an uncommitted promotion of d, b is behind, c is lost, and d holds entries of c.
    let mut a = core(
        "a",
        [&first[..], &[entry(3, 1, None), entry(4, 1, Some(true))]].concat(),
        1,
    );
    let mut b = core("b", first.to_vec(), 2);
    let mut d = core(
        "d",
        [&first[..], &[entry(3, 1, None), entry(4, 2, None)]].concat(),
        3,
    );
    for _ in 0..600 {
        now += time::Duration::from_millis(50);
        for core in [&mut a, &mut b, &mut d] {
            core.tick(now);
        }
        settle(&mut [&mut a, &mut b, &mut d], now);
    }
    assert!(a.commit() > 4 && a.commit() == b.commit());
    assert_ne!(d.role(), CoreRole::Leader, "a learner remained the leader");
}
