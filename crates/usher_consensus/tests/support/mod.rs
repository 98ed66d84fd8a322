//! Helpers that create cores and messages for the tests of the core.

#![allow(dead_code, unreachable_pub)]

use std::time;

use usher_consensus::{
    ConsensusCore, ConsensusSettings, CoreRole, InitialState, NodeId, OutputBatch,
};
use usher_wire::message::{self, consensus_message::Kind};

pub fn node(name: &str) -> NodeId {
    NodeId::new(name, 1)
}

pub fn member_of(id: &NodeId) -> message::Member {
    message::Member {
        identity: Some(id.to_message()),
        voter: true,
        ..Default::default()
    }
}

pub fn members() -> Vec<message::Member> {
    ["a", "b", "c"]
        .iter()
        .map(|name| member_of(&node(name)))
        .collect()
}

/// Creates a message from `id` to `to`.
pub fn from(id: &NodeId, to: &NodeId, term: u64, kind: Kind) -> message::ConsensusMessage {
    message::ConsensusMessage {
        from: Some(id.to_message()),
        to: Some(to.to_message()),
        term,
        kind: Some(kind),
        ..message::ConsensusMessage::default()
    }
}

/// Takes all output batches of a core and reports each of them as durable.
pub fn run(core: &mut ConsensusCore, now: time::Instant) -> Vec<OutputBatch> {
    let mut all = Vec::new();
    while let Some(batch) = core.take_output() {
        core.persisted(now, batch.sequence);
        all.push(batch);
    }
    all
}

pub fn vote(pre_vote: bool) -> Kind {
    Kind::VoteReply(message::VoteReply {
        pre_vote,
        granted: true,
    })
}

pub fn ack(index: u64, round: u64) -> Kind {
    Kind::AppendReply(message::AppendReply {
        accepted: true,
        index,
        round,
        refused_index: 0,
    })
}

/// Creates a leader of term 1 whose lease is confirmed at `now`.
pub fn leader(now: time::Instant) -> ConsensusCore {
    leader_with(ConsensusSettings::default(), now)
}

/// Creates a leader of term 1 with the given settings.
pub fn leader_with(settings: ConsensusSettings, now: time::Instant) -> ConsensusCore {
    let a = node("a");
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
    for index in [1, 2] {
        for peer in ["b", "c"] {
            core.receive(now, from(&node(peer), &a, 1, ack(index, 1)));
            run(&mut core, now);
        }
    }
    assert_eq!(core.commit(), 2);
    core
}

/// Delivers messages between cores until there are none left; messages to others are dropped.
pub fn settle(cores: &mut [&mut ConsensusCore], now: time::Instant) {
    loop {
        let mut sent = Vec::new();
        for core in cores.iter_mut() {
            for batch in run(core, now) {
                sent.extend(batch.messages);
                sent.extend(batch.messages_after_write);
            }
        }
        if sent.is_empty() {
            return;
        }
        for message in sent {
            for core in cores.iter_mut() {
                core.receive(now, message.clone());
            }
        }
    }
}
