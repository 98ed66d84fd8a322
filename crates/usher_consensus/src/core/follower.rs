//! Handling of append requests on a follower. Not for: snapshots.

use std::time;

use usher_wire::message;

use super::{ConsensusCore, CoreRole};
use crate::identity;

impl ConsensusCore {
    /// Processes the term of a leader's message; returns whether it is from the leader of the
    /// current term.
    pub(super) fn accept_leader_message(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
    ) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        self.enter_term_as_follower(now, term);
        if !usher_types::invariant!(
            "consensus.one_leader_per_term",
            self.role != CoreRole::Leader && self.leader.as_ref().is_none_or(|known| known == from),
            "{from} claims to lead term {term}, which is led by {:?}",
            self.leader
        ) {
            return false;
        }
        if self.role != CoreRole::Follower {
            self.become_follower(now);
        }
        self.leader = Some(from.clone());
        self.last_leader_contact = Some(now);
        self.reset_election(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        request: message::AppendRequest,
    ) {
        if !self.accept_leader_message(now, from, term) {
            // The higher term in the rejection makes the old leader step down.
            self.reject_append(from, &request, 0);
            return;
        }
        let previous = request.previous_index;
        if previous < self.log.base_index() {
            // Both logs are identical up to the commit index.
            self.accept_append(from, self.commit, request.round);
            return;
        }
        if let Some(retry) = self.mismatch(previous, request.previous_term) {
            self.reject_append(from, &request, retry);
            return;
        }
        let last_new = previous + request.entries.len() as u64;
        let heartbeat = request.entries.is_empty();
        for entry in request.entries {
            if !self.append_entry(entry) {
                return;
            }
        }
        self.commit = self
            .commit
            .max(request.commit.min(last_new))
            .min(self.log.last_index());
        if heartbeat && self.hard_state_is_durable() {
            // Acknowledged without waiting for the disk: a slow disk would otherwise cost the
            // leader its lease and its leadership.
            let reply = message::AppendReply {
                accepted: true,
                index: last_new.min(self.durable),
                round: request.round,
                refused_index: 0,
            };
            self.send(from, message::consensus_message::Kind::AppendReply(reply));
        } else {
            self.accept_append(from, last_new, request.round);
        }
    }

    /// Returns whether term and vote are durable, so that the acknowledgement to the leader remains
    /// valid after a restart.
    fn hard_state_is_durable(&self) -> bool {
        !self.hard_state_changed && self.hard_state_sequence <= self.persisted_sequence
    }

    /// Returns the index at which the leader should retry if the logs differ at `previous`.
    fn mismatch(&self, previous: u64, previous_term: u64) -> Option<u64> {
        match self.log.term(previous) {
            Some(term) if term == previous_term => None,
            Some(_) => Some(self.log.first_index_of_term(previous).saturating_sub(1)),
            None => Some(self.log.last_index()),
        }
    }

    /// Appends one entry, replacing conflicting ones; returns false if that would replace a
    /// committed entry.
    fn append_entry(&mut self, entry: message::LogEntry) -> bool {
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return true,
            Some(_) if !self.truncate_log(entry.index) => return false,
            _ => {}
        }
        self.adopt_membership(&entry);
        self.log.push(entry);
        true
    }

    fn truncate_log(&mut self, from: u64) -> bool {
        if !usher_types::invariant!(
            "consensus.committed_entry_kept",
            from > self.commit,
            "entry {from} would be replaced, but the commit index is {}",
            self.commit
        ) {
            return false;
        }
        self.log.truncate(from);
        while self.memberships.last().is_some_and(|(at, _)| *at >= from) {
            self.memberships.pop();
        }
        self.write_from = self.write_from.min(from);
        self.durable = self.durable.min(from - 1);
        for (_, last) in &mut self.in_flight {
            *last = (*last).min(from - 1);
        }
        true
    }

    fn accept_append(&mut self, to: &identity::NodeId, index: u64, round: u64) {
        self.send_append_reply(
            to,
            message::AppendReply {
                accepted: true,
                index,
                round,
                refused_index: 0,
            },
        );
    }

    fn reject_append(
        &mut self,
        to: &identity::NodeId,
        request: &message::AppendRequest,
        index: u64,
    ) {
        self.send_append_reply(
            to,
            message::AppendReply {
                accepted: false,
                index,
                round: request.round,
                refused_index: request.previous_index,
            },
        );
    }

    pub(super) fn send_append_reply(&mut self, to: &identity::NodeId, reply: message::AppendReply) {
        let kind = message::consensus_message::Kind::AppendReply(reply);
        if self.settings.faults.acknowledge_before_write {
            self.send(to, kind);
        } else {
            self.send_after_write(to, kind);
        }
    }
}
