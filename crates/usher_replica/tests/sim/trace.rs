//! Text descriptions of nodes and batches, for violations and for traces of a schedule.

use usher_consensus::{MemberTable, NodeId, OutputBatch};
use usher_wire::message::{self, ConsensusMessage, EntryKind};

use super::world::World;

impl World {
    /// Describes the state of all nodes.
    pub(super) fn state(&self) -> String {
        let mut text = String::new();
        for node in &self.nodes {
            let (id, durable) = (node.id(), node.durable);
            let Some(process) = &node.process else {
                text += &format!("\n  {id} down, {durable} durable");
                continue;
            };
            let core = &process.core;
            let members: Vec<_> = core
                .members()
                .iter()
                .map(|(id, member)| format!("{id}{}", if member.voter { "" } else { "(learner)" }))
                .collect();
            text += &format!(
                "\n  {id} {:?} term {} commit {} last {} {durable} durable, members {members:?}",
                core.role(),
                core.term(),
                core.commit(),
                core.last_index(),
            );
        }
        text
    }
}

pub(super) fn summary(batch: &OutputBatch) -> String {
    let entry = |entry: &message::LogEntry| {
        let table = MemberTable::decode(&entry.payload).unwrap_or_default();
        let voters: Vec<_> = table.voters().map(NodeId::to_string).collect();
        let members = entry.kind() == EntryKind::Membership;
        let voters = if members {
            voters.join("+")
        } else {
            String::new()
        };
        format!("{}/{} {voters}", entry.index, entry.term)
    };
    let message = |message: &ConsensusMessage| {
        use message::consensus_message::Kind;
        let to = NodeId::from_message(message.to.as_ref());
        let kind = match &message.kind {
            Some(Kind::AppendRequest(request)) => format!(
                "append {}/{} +{} commit {} round {}",
                request.previous_index,
                request.previous_term,
                request.entries.len(),
                request.commit,
                request.round
            ),
            other => format!("{other:?}").chars().take(160).collect(),
        };
        format!("{to} term {} {kind}", message.term)
    };
    let sent = |messages: &[ConsensusMessage]| -> String {
        let lines = messages.iter().map(message);
        lines
            .map(|line| format!("\n              -> {line}"))
            .collect()
    };
    format!(
        "{:?} snapshot {:?} truncate {:?} entries {:?} committed {:?}{}\n    after write:{}",
        batch.hard_state,
        batch
            .snapshot
            .as_ref()
            .map(|image| (image.index, batch.keeps_log)),
        batch.truncate_from,
        batch.entries.iter().map(entry).collect::<Vec<_>>(),
        batch
            .committed
            .iter()
            .map(|entry| entry.index)
            .collect::<Vec<_>>(),
        sent(&batch.messages),
        sent(&batch.messages_after_write),
    )
}
