//! The effects that the driver must carry out after an input. Not for: carrying them out.

use std::sync;

use usher_wire::message;

use crate::{identity, image};

/// Current term and vote, which must survive a restart.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Current term.
    pub term: u64,
    /// Candidate that received this node's vote in that term.
    pub vote: Option<identity::NodeId>,
}

/// A read that may be served once the state machine has applied the index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadReady {
    /// Identifier that the caller passed with the read.
    pub id: u64,
    /// Index that must be applied before the read is served.
    pub index: u64,
}

/// Effects of the inputs since the last batch.
///
/// The driver writes `hard_state`, `snapshot`, `truncate_from` and `entries` in this order,
/// syncs, sends `messages_after_write` and calls `persisted(sequence)`. All other effects may
/// be carried out immediately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutputBatch {
    /// Sequence number of the batch; batches are written in order.
    pub sequence: u64,
    /// Term and vote to write, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader, to write and to restore the state machine from.
    pub snapshot: Option<sync::Arc<image::SnapshotImage>>,
    /// Whether written entries after the snapshot's index are kept; otherwise the snapshot
    /// replaces the whole written log.
    pub keeps_log: bool,
    /// Index from which on the written log is truncated.
    pub truncate_from: Option<u64>,
    /// Entries to append after the truncation.
    pub entries: Vec<message::LogEntry>,
    /// Messages that depend on no write and may be sent immediately.
    pub messages: Vec<message::ConsensusMessage>,
    /// Messages to send after this batch is durable.
    pub messages_after_write: Vec<message::ConsensusMessage>,
    /// Committed entries to apply in order, after restoring `snapshot` if there is one.
    pub committed: Vec<message::LogEntry>,
    /// Reads that may be served once their index is applied.
    pub reads_ready: Vec<ReadReady>,
    /// Reads that failed because this node is no longer the leader.
    pub reads_failed: Vec<u64>,
}

impl OutputBatch {
    /// Returns whether the batch contains anything to write to storage.
    pub fn has_writes(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }
}
