//! Handling of commands from handles, and their deadlines. Not for: output of the core.

use std::{net, time};

use super::{PendingChange, PendingProposal, PendingRead, ReplicaDriver};
use crate::{command, error, state_machine};

impl<M, C> ReplicaDriver<M, C>
where
    M: state_machine::StateMachine,
    C: usher_types::ClockSource,
{
    pub(super) fn on_command(&mut self, now: time::Instant, command: command::ReplicaCommand) {
        match command {
            command::ReplicaCommand::Propose { payload, reply } => {
                self.on_propose(now, payload, reply);
            }
            command::ReplicaCommand::Read { reply } => self.on_read(now, reply),
            command::ReplicaCommand::ChangeMembers { change, reply } => {
                self.on_change(now, &change, reply);
            }
            command::ReplicaCommand::SetPeers(peers) => self.peers.set_configured(peers),
            command::ReplicaCommand::Stop => self.stop_reason = Some(String::new()),
        }
    }

    fn on_propose(&mut self, now: time::Instant, payload: Vec<u8>, reply: command::ProposeReply) {
        match self.core.propose(payload) {
            Ok((index, term)) => {
                let deadline = now + self.settings.propose_timeout;
                let pending = PendingProposal {
                    term,
                    deadline,
                    reply,
                };
                // The entry that this node proposed at the same index in an earlier term was
                // overwritten.
                if let Some(old) = self.proposals.insert(index, pending) {
                    let _ = old.reply.send(Err(self.propose_not_leader()));
                }
            }
            Err(_) => {
                let _ = reply.send(Err(self.propose_not_leader()));
            }
        }
    }

    pub(super) fn propose_not_leader(&self) -> error::ProposeError {
        error::ProposeError::NotLeader {
            leader: self.leader(),
        }
    }

    pub(super) fn read_not_leader(&self) -> error::ReadError {
        error::ReadError::NotLeader {
            leader: self.leader(),
        }
    }

    /// Returns the name and address of the leader, if both are known.
    pub(super) fn leader(&self) -> Option<(usher_types::NodeName, net::SocketAddr)> {
        let leader = self.core.leader()?;
        let member = self.core.members().get(leader);
        let address = member
            .and_then(|member| member.address.parse().ok())
            .or_else(|| self.peers.address_of(&leader.name))?;
        Some((leader.name.clone(), address))
    }

    fn on_read(&mut self, now: time::Instant, reply: command::ReadReply) {
        self.next_read += 1;
        if self.core.read(now, self.next_read).is_err() {
            let _ = reply.send(Err(self.read_not_leader()));
            return;
        }
        let deadline = now + self.settings.read_timeout;
        self.reads
            .insert(self.next_read, PendingRead { deadline, reply });
    }

    fn on_change(
        &mut self,
        now: time::Instant,
        change: &usher_consensus::MembershipChange,
        reply: command::ChangeReply,
    ) {
        match self.core.change_members(now, change) {
            Ok(index) => self.changes.push(PendingChange {
                index,
                term: self.core.term(),
                deadline: now + self.settings.propose_timeout,
                reply,
            }),
            Err(error) => {
                let _ = reply.send(Err(error.into()));
            }
        }
    }

    /// Fails pending requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: time::Instant) {
        let late = self
            .proposals
            .extract_if(.., |_, pending| now >= pending.deadline);
        for (_, pending) in late {
            let reason = format!(
                "not committed by a quorum within {:?}",
                self.settings.propose_timeout
            );
            let _ = pending
                .reply
                .send(Err(error::ProposeError::Unknown(reason)));
        }
        for (_, pending) in self.reads.extract_if(.., |_, read| now >= read.deadline) {
            let _ = pending.reply.send(Err(error::ReadError::NoQuorum));
        }
        for pending in self.changes.extract_if(.., |change| now >= change.deadline) {
            let _ = pending.reply.send(Err(error::ChangeMembersError::Unknown));
        }
    }
}
