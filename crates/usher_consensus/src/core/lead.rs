//! What a leader does: rounds, appends and commits. Not for: reads and membership changes.

use std::time;

use usher_wire::message;

use super::{ConsensusCore, CoreRole, LeaderState};
use crate::{error, identity, progress};

impl ConsensusCore {
    pub(super) fn start_leading(&mut self, now: time::Instant) {
        self.role = CoreRole::Leader;
        self.leader = Some(self.id.clone());
        self.lead = LeaderState {
            since: Some(now),
            term_start: self.log.last_index() + 1,
            ..LeaderState::default()
        };
        self.track_members();
        if self.provisional {
            let payload = self.members().encode();
            self.append_own(message::EntryKind::Membership, payload);
        } else {
            self.append_own(message::EntryKind::Noop, Vec::new());
        }
        self.start_round(now);
    }

    /// Keeps progress for exactly the other members.
    pub(super) fn track_members(&mut self) {
        let members = self.members().clone();
        let next = self.log.last_index() + 1;
        self.lead
            .progress
            .retain(|node, _| members.get(node).is_some());
        for (node, _) in members.iter().filter(|(node, _)| **node != self.id) {
            self.lead
                .progress
                .entry(node.clone())
                .or_insert_with(|| progress::PeerProgress::new(next));
        }
    }

    /// Appends a command.
    ///
    /// Returns its index and term: it is committed if and only if that entry is.
    ///
    /// # Errors
    ///
    /// Fails when this node doesn't lead; nothing was appended.
    pub fn propose(&mut self, payload: Vec<u8>) -> Result<(u64, u64), error::NotLeaderError> {
        if self.role != CoreRole::Leader {
            return Err(error::NotLeaderError);
        }
        let index = self.append_own(message::EntryKind::Command, payload);
        Ok((index, self.hard.term))
    }

    pub(super) fn append_own(&mut self, kind: message::EntryKind, payload: Vec<u8>) -> u64 {
        let entry = message::LogEntry {
            index: self.log.last_index() + 1,
            term: self.hard.term,
            kind: kind.into(),
            payload,
        };
        let index = entry.index;
        self.note_membership(&entry);
        self.log.push(entry);
        index
    }

    pub(super) fn tick_leader(&mut self, now: time::Instant) {
        let confirmed = self.confirmed_at().max(self.lead.since);
        let lost = confirmed.is_none_or(|at| now >= at + self.settings.election_min);
        if lost && !self.is_only_voter() {
            self.leader = None;
            self.follow(now);
            return;
        }
        if self.lead.heartbeat_at.is_none_or(|at| now >= at) {
            self.recover_peers();
            self.start_round(now);
        }
    }

    pub(super) fn is_only_voter(&self) -> bool {
        self.is_voter() && self.members().voters().count() == 1
    }

    /// Sends again what may have been lost to peers that made no progress.
    fn recover_peers(&mut self) {
        for peer in self.lead.progress.values_mut() {
            if !std::mem::take(&mut peer.answered) {
                peer.streaming = false;
                peer.next = peer.next.min(peer.matched + 1).max(1);
            }
        }
    }

    /// Starts a round: whoever answers it followed this leader after the round began.
    pub(super) fn start_round(&mut self, now: time::Instant) {
        self.lead.round += 1;
        self.lead.rounds.push_back((self.lead.round, now));
        // Rounds before the newest confirmed one are of no further use.
        let confirmed = self.confirmed_round();
        let old = self
            .lead
            .rounds
            .partition_point(|(number, _)| *number < confirmed);
        self.lead.rounds.drain(..old);
        self.lead.heartbeat_at = Some(now + self.settings.heartbeat);
        let peers: Vec<_> = self.lead.progress.keys().cloned().collect();
        for peer in &peers {
            self.send_append(peer, true);
        }
    }

    /// Sends new entries to all peers that take them.
    pub(super) fn send_entries(&mut self) {
        if self.role != CoreRole::Leader {
            return;
        }
        let last = self.log.last_index();
        let peers: Vec<_> = self
            .lead
            .progress
            .iter()
            .filter(|(_, peer)| peer.streaming && peer.next <= last)
            .map(|(node, _)| node.clone())
            .collect();
        for peer in &peers {
            self.send_append(peer, false);
        }
    }

    /// Sends the next entries to a peer; with `heartbeat` also when there are none.
    pub(super) fn send_append(&mut self, node: &identity::NodeId, heartbeat: bool) {
        loop {
            let Some(peer) = self.lead.progress.get(node) else {
                return;
            };
            let previous = peer.next - 1;
            let Some(previous_term) = self.log.term(previous) else {
                self.send_piece(node);
                return;
            };
            let through = peer.matched + self.settings.append_window;
            let entries = self
                .log
                .slice(peer.next, through, self.settings.append_bytes);
            if entries.is_empty() && !heartbeat {
                return;
            }
            let streaming = peer.streaming;
            let sent = entries.len() as u64;
            let request = message::AppendRequest {
                previous_index: previous,
                previous_term,
                entries,
                commit: self.commit,
                round: self.lead.round,
            };
            self.send(
                node,
                message::consensus_message::Kind::AppendRequest(request),
            );
            if !streaming || sent == 0 {
                return;
            }
            if let Some(peer) = self.lead.progress.get_mut(node) {
                peer.next += sent;
            }
            if heartbeat {
                return;
            }
        }
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
        let Some(peer) = self.lead.progress.get_mut(from) else {
            return;
        };
        if reply.accepted {
            peer.matched = peer.matched.max(reply.index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            if !peer.streaming {
                peer.streaming = true;
                peer.next = peer.matched + 1;
            }
            peer.transfer = None;
        } else {
            peer.streaming = false;
            // A late refusal never moves back behind what the peer holds durably.
            peer.next = (reply.index + 1).min(peer.next).max(peer.matched + 1);
        }
        let behind = peer.next <= last;
        self.advance_commit(now);
        if behind && self.role == CoreRole::Leader {
            self.send_append(from, !reply.accepted);
        }
    }

    /// Notes a peer's answer; returns whether it belongs to this leader's term.
    pub(super) fn accept_reply(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        round: u64,
    ) -> bool {
        self.enter_term_as_follower(now, term);
        if self.role != CoreRole::Leader || term != self.hard.term {
            return false;
        }
        let Some(peer) = self.lead.progress.get_mut(from) else {
            return false;
        };
        peer.acked_round = peer.acked_round.max(round);
        peer.contact = Some(now);
        peer.answered = true;
        self.resolve_reads(now);
        true
    }

    /// Commits what a quorum holds durably, if it is of this leader's term.
    pub(super) fn advance_commit(&mut self, now: time::Instant) {
        if self.role != CoreRole::Leader {
            return;
        }
        let reached = self.quorum_value(|node| {
            if *node == self.id {
                return self.durable;
            }
            self.lead.progress.get(node).map_or(0, |peer| peer.matched)
        });
        // An entry of an earlier term is committed only together with one of this term, because
        // a later leader could still replace it.
        if reached <= self.commit || self.log.term(reached) != Some(self.hard.term) {
            return;
        }
        let founded = self.is_founding();
        self.commit = reached;
        if founded {
            // Everyone holds the first membership; from the second one on a majority decides.
            let payload = self.members().encode();
            self.append_own(message::EntryKind::Membership, payload);
        }
        let removed = !self.is_voter() && self.members_index() <= self.commit;
        if removed {
            // The others learn of the commit from this last round.
            self.start_round(now);
            self.leader = None;
            self.follow(now);
        }
    }
}
