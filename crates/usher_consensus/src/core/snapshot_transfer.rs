//! Snapshot transfer to peers that need compacted entries, and installation on the receiver.
//! Not for: taking snapshots.

use std::{sync, time};

use usher_wire::message;

use super::{ConsensusCore, IncomingSnapshot};
use crate::{identity, image, log, membership, progress};

/// Maximum size of an accepted snapshot, in bytes; limits memory use if a length is wrong.
const MAX_SNAPSHOT_BYTES: u64 = 4 * 1_024 * 1_024 * 1_024;

impl ConsensusCore {
    /// Sends the next piece of the snapshot to a peer.
    pub(super) fn send_piece(&mut self, node: &identity::NodeId) {
        let Some(newest) = self.image.clone() else {
            return;
        };
        let Some(peer) = self.leader_state.progress.get_mut(node) else {
            return;
        };
        // A running transfer keeps its snapshot even if a newer one is taken; otherwise it might
        // never complete.
        let transfer = peer.transfer.get_or_insert(progress::SnapshotTransfer {
            image: newest,
            offset: 0,
        });
        let image = transfer.image.clone();
        let end = image
            .data
            .len()
            .min(transfer.offset + self.settings.piece_bytes);
        let piece = message::SnapshotPiece {
            last_index: image.index,
            last_term: image.term,
            membership: Some(image.membership.to_message()),
            offset: transfer.offset as u64,
            total: image.data.len() as u64,
            data: image
                .data
                .get(transfer.offset..end)
                .unwrap_or_default()
                .to_vec(),
            round: self.leader_state.round,
        };
        self.send(node, message::consensus_message::Kind::SnapshotPiece(piece));
    }

    pub(super) fn on_piece_reply(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        reply: &message::SnapshotReply,
    ) {
        if !self.accept_reply(now, from, term, reply.round) {
            return;
        }
        let last = self.log.last_index();
        let Some(peer) = self.leader_state.progress.get_mut(from) else {
            return;
        };
        let Some(transfer) = peer.transfer.as_mut() else {
            return;
        };
        if transfer.image.index != reply.last_index {
            return;
        }
        let total = transfer.image.data.len();
        if !reply.durable {
            let next_offset =
                usize::try_from(reply.next_offset).map_or(total, |offset| offset.min(total));
            // A lower offset means that the peer was restarted, or that the reply is delayed. The
            // next heartbeat resumes from there; resuming immediately could loop forever on
            // delayed replies.
            let forward = next_offset > transfer.offset;
            transfer.offset = next_offset;
            if forward {
                self.send_piece(from);
            }
            return;
        }
        peer.match_index = peer.match_index.max(transfer.image.index.min(last));
        peer.next_index = peer.match_index + 1;
        peer.streaming = true;
        peer.transfer = None;
        self.advance_commit(now);
        self.send_append(from, true);
    }

    pub(super) fn on_piece(
        &mut self,
        now: time::Instant,
        from: &identity::NodeId,
        term: u64,
        piece: message::SnapshotPiece,
    ) {
        if !self.accept_leader_message(now, from, term) {
            // The higher term makes the old leader step down.
            let rejection = message::AppendReply {
                round: piece.round,
                ..Default::default()
            };
            self.send_append_reply(from, rejection);
            return;
        }
        let (index, round) = (piece.last_index, piece.round);
        let next_offset = if index <= self.commit {
            piece.total
        } else {
            self.accept_piece(piece)
        };
        let reply = message::SnapshotReply {
            last_index: index,
            next_offset,
            round,
            // The reply is sent after everything so far is written.
            durable: index <= self.commit,
        };
        self.send_after_write(from, message::consensus_message::Kind::SnapshotReply(reply));
    }

    /// Stores one piece and returns the offset that is needed next.
    fn accept_piece(&mut self, piece: message::SnapshotPiece) -> u64 {
        if piece.total > MAX_SNAPSHOT_BYTES {
            return 0;
        }
        let same = self.incoming.as_ref().is_some_and(|incoming| {
            (incoming.index, incoming.term) == (piece.last_index, piece.last_term)
        });
        if !same {
            self.incoming = Some(IncomingSnapshot {
                index: piece.last_index,
                term: piece.last_term,
                data: Vec::new(),
            });
        }
        let Some(incoming) = self.incoming.as_mut() else {
            return 0;
        };
        let held = incoming.data.len() as u64;
        if piece.offset != held || held + piece.data.len() as u64 > piece.total {
            return held;
        }
        incoming.data.extend_from_slice(&piece.data);
        let held = incoming.data.len() as u64;
        if held < piece.total {
            return held;
        }
        let members = piece.membership.unwrap_or_default().members;
        let data = std::mem::take(&mut incoming.data);
        self.incoming = None;
        self.install(image::SnapshotImage {
            index: piece.last_index,
            term: piece.last_term,
            membership: membership::MemberTable::new(members),
            data,
        });
        piece.total
    }

    /// Installs a snapshot: replaces the state and the log up to its index.
    fn install(&mut self, image: image::SnapshotImage) {
        let image = sync::Arc::new(image);
        self.commit = image.index;
        self.emitted_commit = image.index;
        self.provisional = false;
        let same = self.log.term(image.index) == Some(image.term);
        self.installing_keeps_log = same && self.write_from > image.index;
        if same {
            // The log matches the leader's at the snapshot's index, so later entries are kept.
            self.log.compact(image.index);
            self.memberships.retain(|(at, _)| *at > image.index);
        } else {
            self.log = log::EntryLog::new(image.index, image.term);
            self.memberships.clear();
        }
        if !self.installing_keeps_log {
            // The written log restarts after the snapshot.
            self.emitted_last = image.index;
            self.write_from = image.index + 1;
            self.durable = self.durable.min(image.index);
            for (_, last) in &mut self.in_flight {
                *last = (*last).min(image.index);
            }
        }
        self.memberships
            .insert(0, (image.index, image.membership.clone()));
        self.image = Some(image.clone());
        self.installing = Some(image);
    }
}
