//! Replication progress of one peer, as tracked by the leader. Not for: deciding what to send.

use std::{sync, time};

use crate::image;

/// A snapshot that is being sent to a peer.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) image: sync::Arc<image::SnapshotImage>,
    pub(crate) offset: usize,
}

/// Replication progress of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerProgress {
    /// Highest index that is known to be durable on the peer.
    pub(crate) match_index: u64,
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Whether the last common index of both logs is known, so that appends may be pipelined.
    pub(crate) streaming: bool,
    /// Highest heartbeat round that the peer acknowledged.
    pub(crate) acked_round: u64,
    /// Time of the peer's last reply, or of the start of tracking.
    pub(crate) last_contact: time::Instant,
    /// Whether the peer has replied since the last heartbeat.
    pub(crate) answered: bool,
    /// Whether the peer sent no reply between the last two heartbeats. It is then sent only small
    /// messages, so that data does not queue up on a broken connection.
    pub(crate) silent: bool,
    pub(crate) transfer: Option<SnapshotTransfer>,
}

impl PeerProgress {
    pub(crate) fn new(next_index: u64, now: time::Instant) -> Self {
        Self {
            match_index: 0,
            next_index,
            streaming: false,
            acked_round: 0,
            last_contact: now,
            answered: false,
            silent: false,
            transfer: None,
        }
    }
}
