//! Heartbeat rounds, log replication and commits of a leader. Not for: reads and membership
//! changes.

use std::time;

use usher_wire::message;

use super::{ConsensusCore, CoreRole, LeaderState};
use crate::{error, identity, progress};

impl ConsensusCore {
    pub(super) fn become_leader(&mut self, now: time::Instant) {
        self.role = CoreRole::Leader;
        self.leader = Some(self.id.clone());
        self.leader_state = LeaderState {
            elected_at: Some(now),
            first_index: self.log.last_index() + 1,
            ..LeaderState::default()
        };
        self.track_members(now);
        if self.provisional {
            let payload = self.members().encode();
            self.append_new(message::EntryKind::Membership, payload);
        } else {
            self.append_new(message::EntryKind::Noop, Vec::new());
        }
        self.start_round(now);
    }

    /// Updates the progress table so that it contains exactly the other members.
    pub(super) fn track_members(&mut self, now: time::Instant) {
        let members = self.members().clone();
        let next = self.log.last_index() + 1;
        self.leader_state
            .progress
            .retain(|node, _| members.get(node).is_some());
        for (node, _) in members.iter().filter(|(node, _)| **node != self.id) {
            self.leader_state
                .progress
                .entry(node.clone())
                .or_insert_with(|| progress::PeerProgress::new(next, now));
        }
    }

    /// Appends a command to the log.
    ///
    /// Returns its index and term: the command is committed if and only if the entry with this
    /// index and term is.
    ///
    /// # Errors
    ///
    /// Fails when this node is not the leader or the group is still being bootstrapped; nothing is
    /// appended then.
    pub fn propose(&mut self, payload: Vec<u8>) -> Result<(u64, u64), error::NotLeaderError> {
        // During the bootstrap every commit needs all initial members, so that a command could
        // never be committed if one of them is lost.
        if self.role != CoreRole::Leader || self.is_bootstrapping() {
            return Err(error::NotLeaderError);
        }
        let index = self.append_new(message::EntryKind::Command, payload);
        Ok((index, self.hard_state.term))
    }

    pub(super) fn append_new(&mut self, kind: message::EntryKind, payload: Vec<u8>) -> u64 {
        let entry = message::LogEntry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            kind: kind.into(),
            payload,
        };
        let index = entry.index;
        self.adopt_membership(&entry);
        self.log.push(entry);
        index
    }

    pub(super) fn tick_leader(&mut self, now: time::Instant) {
        let confirmed = self
            .confirmed_round_start()
            .max(self.leader_state.elected_at);
        let lost = confirmed.is_none_or(|at| now >= at + self.settings.election_min);
        if lost && !self.is_only_voter() {
            self.leader = None;
            self.become_follower(now);
            return;
        }
        if self.leader_state.heartbeat_at.is_none_or(|at| now >= at) {
            self.probe_silent_peers();
            self.start_round(now);
        }
    }

    pub(super) fn is_only_voter(&self) -> bool {
        self.is_voter() && self.members().voters().count() == 1
    }

    /// Marks peers that sent no reply since the last heartbeat as silent, and switches them back to
    /// probing, so that the last common index of the logs is determined again.
    fn probe_silent_peers(&mut self) {
        for peer in self.leader_state.progress.values_mut() {
            peer.silent = !std::mem::take(&mut peer.answered);
            if peer.silent && peer.streaming {
                peer.streaming = false;
                peer.next_index = peer.match_index + 1;
            }
        }
    }

    /// Starts a heartbeat round. A peer that acknowledges it followed this leader at some time
    /// after the start of the round.
    pub(super) fn start_round(&mut self, now: time::Instant) {
        self.leader_state.round += 1;
        self.leader_state
            .rounds
            .push_back((self.leader_state.round, now));
        // Rounds before the newest confirmed one are no longer needed.
        let confirmed = self.confirmed_round();
        let old = self
            .leader_state
            .rounds
            .partition_point(|(number, _)| *number < confirmed);
        self.leader_state.rounds.drain(..old);
        self.leader_state.heartbeat_at = Some(now + self.settings.heartbeat);
        let peers: Vec<_> = self.leader_state.progress.keys().cloned().collect();
        for peer in &peers {
            self.send_append(peer, true);
        }
    }

    /// Sends new entries to all peers with pipelined replication.
    pub(super) fn send_entries(&mut self) {
        if self.role != CoreRole::Leader {
            return;
        }
        let last = self.log.last_index();
        let peers: Vec<_> = self
            .leader_state
            .progress
            .iter()
            .filter(|(_, peer)| peer.streaming && peer.next_index <= last)
            .map(|(node, _)| node.clone())
            .collect();
        for peer in &peers {
            self.send_append(peer, false);
        }
    }

    /// Sends the next entries to a peer; with `heartbeat`, sends an append request even if there
    /// are none.
    pub(super) fn send_append(&mut self, node: &identity::NodeId, heartbeat: bool) {
        let Some(peer) = self.leader_state.progress.get(node) else {
            return;
        };
        if !peer.streaming {
            if heartbeat {
                self.send_probe(node);
            }
            return;
        }
        let through = peer.match_index + self.settings.append_window;
        let mut sent_any = false;
        let mut next = peer.next_index;
        loop {
            let Some(previous_term) = self.log.term(next - 1) else {
                // The entries that the peer needs next are already compacted.
                self.restart_probing(node);
                return;
            };
            let entries = self.log.slice(next, through, self.settings.append_bytes);
            if entries.is_empty() && (sent_any || !heartbeat) {
                break;
            }
            sent_any = true;
            let count = entries.len() as u64;
            self.send_request(node, next - 1, previous_term, entries);
            next += count;
            if count == 0 {
                break;
            }
        }
        if let Some(peer) = self.leader_state.progress.get_mut(node) {
            peer.next_index = next;
        }
    }

    fn restart_probing(&mut self, node: &identity::NodeId) {
        if let Some(peer) = self.leader_state.progress.get_mut(node) {
            peer.streaming = false;
            peer.next_index = peer.match_index + 1;
        }
        self.send_probe(node);
    }

    /// Sends an empty append request that checks whether the logs match before `next_index`, or a
    /// piece of a snapshot if that index is compacted.
    fn send_probe(&mut self, node: &identity::NodeId) {
        let Some(peer) = self.leader_state.progress.get(node) else {
            return;
        };
        let previous = peer.next_index - 1;
        match self.log.term(previous) {
            Some(term) => self.send_request(node, previous, term, Vec::new()),
            None if peer.silent => {
                let base = self.log.base_index();
                let term = self.log.term(base).unwrap_or_default();
                self.send_request(node, base, term, Vec::new());
            }
            None => self.send_piece(node),
        }
    }

    fn send_request(
        &mut self,
        node: &identity::NodeId,
        previous_index: u64,
        previous_term: u64,
        entries: Vec<message::LogEntry>,
    ) {
        let request = message::AppendRequest {
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            round: self.leader_state.round,
        };
        self.send(
            node,
            message::consensus_message::Kind::AppendRequest(request),
        );
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        reply: &message::AppendReply,
    ) {
        if !self.accept_reply(now, from, term, reply.round) {
            return;
        }
        let last = self.log.last_index();
        let Some(peer) = self.leader_state.progress.get_mut(from) else {
            return;
        };
        if reply.accepted {
            peer.match_index = peer.match_index.max(reply.index.min(last));
            if !peer.streaming {
                peer.streaming = true;
                peer.next_index = peer.match_index + 1;
            }
            peer.next_index = peer.next_index.max(peer.match_index + 1);
            peer.transfer = None;
            self.advance_commit(now);
            if self.role == CoreRole::Leader {
                self.send_append(from, false);
            }
            return;
        }
        // A delayed rejection must neither undo later progress nor start a second probe.
        let current = if peer.streaming {
            reply.refused_index >= peer.match_index
        } else {
            reply.refused_index + 1 == peer.next_index
        };
        if current && reply.refused_index > reply.index {
            peer.streaming = false;
            peer.next_index = (reply.index + 1).max(peer.match_index + 1);
            self.send_probe(from);
        }
    }

    /// Records the reply of a peer; returns whether it belongs to the current term of this leader.
    pub(super) fn accept_reply(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        round: u64,
    ) -> bool {
        self.enter_term_as_follower(now, term);
        if self.role != CoreRole::Leader || term != self.hard_state.term {
            return false;
        }
        let Some(peer) = self.leader_state.progress.get_mut(from) else {
            return false;
        };
        peer.acked_round = peer.acked_round.max(round);
        peer.last_contact = now;
        peer.answered = true;
        peer.silent = false;
        self.resolve_reads(now);
        true
    }

    /// Advances the commit index to the highest entry of the current term that is durable on a
    /// quorum.
    pub(super) fn advance_commit(&mut self, now: time::Instant) {
        if self.role != CoreRole::Leader {
            return;
        }
        let reached = self.quorum_value(|node| {
            if *node == self.id {
                return self.durable;
            }
            self.leader_state
                .progress
                .get(node)
                .map_or(0, |peer| peer.match_index)
        });
        // An entry of an earlier term is committed only together with an entry of this term,
        // because a later leader could still replace it.
        if reached <= self.commit || self.log.term(reached) != Some(self.hard_state.term) {
            return;
        }
        let was_bootstrapping = self.is_bootstrapping();
        self.commit = reached;
        if was_bootstrapping {
            // All members hold the first membership; a majority is enough for the second one.
            let payload = self.members().encode();
            self.append_new(message::EntryKind::Membership, payload);
        }
        let removed = !self.is_voter() && self.members_index() <= self.commit;
        if removed {
            // This last round sends the new commit index to the other members.
            self.start_round(now);
            self.leader = None;
            self.become_follower(now);
        }
    }
}
