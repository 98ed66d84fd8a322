//! What the driver must do after an input. Not for: how it does it.

use std::sync;

use usher_wire::message;

use crate::{identity, image};

/// Term and vote, which survive a restart.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Who got this node's vote in that term.
    pub vote: Option<identity::NodeId>,
}

/// A read that may be served once the state has applied the index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadReady {
    /// Number given with the read.
    pub id: u64,
    /// Index that the state must include.
    pub index: u64,
}

/// Effects of the inputs since the last batch.
///
/// The driver writes `hard_state`, `snapshot`, `truncate_from` and `entries` in this order,
/// syncs, sends `messages_after_write` and calls `persisted(sequence)`. Everything else may
/// happen at once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutputBatch {
    /// Number of the batch; they are written in order.
    pub sequence: u64,
    /// Term and vote to write, when they changed.
    pub hard_state: Option<HardState>,
    /// A leader's snapshot to write and restore.
    pub snapshot: Option<sync::Arc<image::SnapshotImage>>,
    /// Whether entries written earlier stay behind the snapshot; else it replaces all of them.
    pub keeps_log: bool,
    /// The written log ends before this index.
    pub truncate_from: Option<u64>,
    /// Entries to append after that.
    pub entries: Vec<message::LogEntry>,
    /// Messages that depend on no write.
    pub messages: Vec<message::ConsensusMessage>,
    /// Messages to send once this batch is durable.
    pub messages_after_write: Vec<message::ConsensusMessage>,
    /// Entries to apply, in order; after restoring `snapshot`, if any.
    pub committed: Vec<message::LogEntry>,
    /// Reads that may be served.
    pub reads_ready: Vec<ReadReady>,
    /// Reads that this node can't serve because it no longer leads.
    pub reads_failed: Vec<u64>,
}

impl OutputBatch {
    /// Returns whether the batch holds anything to write.
    pub fn has_writes(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }
}
