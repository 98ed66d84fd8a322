//! What the leader knows of one peer. Not for: deciding what to send.

use std::{sync, time};

use crate::image;

/// A snapshot on its way to a peer.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotTransfer {
    pub(crate) image: sync::Arc<image::SnapshotImage>,
    pub(crate) offset: usize,
}

/// Replication state of one peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerProgress {
    /// Highest index that the peer holds durably.
    pub(crate) match_index: u64,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// Whether the place where the logs agree is known, so that entries may be sent ahead.
    pub(crate) streaming: bool,
    /// Highest round that the peer answered.
    pub(crate) acked_round: u64,
    /// When the peer last answered, or was first tracked.
    pub(crate) last_contact: time::Instant,
    /// Whether the peer has answered since the last heartbeat.
    pub(crate) answered: bool,
    /// Whether it answered nothing between the last two heartbeats; it then gets only small
    /// messages, which don't pile up on a cut connection.
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
