//! Timings and limits of the consensus core. Not for: addresses and folders.

use std::time;

/// Timings and limits of consensus; they must be the same on all nodes of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// Interval between heartbeat rounds of the leader.
    pub heartbeat: time::Duration,
    /// Minimum election timeout; for this long after a message of the leader a node grants no
    /// vote.
    pub election_min: time::Duration,
    /// Maximum election timeout; a node without a leader starts a pre-vote after a random time
    /// between the minimum and the maximum.
    pub election_max: time::Duration,
    /// Maximum relative clock drift between two nodes, in percent.
    pub drift_percent: u32,
    /// Maximum payload of one append request, in bytes; well below the frame limit of 4 MiB.
    pub append_bytes: usize,
    /// Maximum number of unacknowledged entries in flight to a peer.
    pub append_window: u64,
    /// Size of one piece of a snapshot, in bytes.
    pub piece_bytes: usize,
    /// Number of entries before a snapshot's index that stay in memory, so that peers that are
    /// slightly behind need no snapshot.
    pub keep_entries: u64,
    /// Maximum payload of those entries, in bytes. Commands can have megabytes; a peer that needs
    /// more of them gets a snapshot, which is smaller then.
    pub keep_bytes: usize,
    /// Safety mechanisms that tests disable to show what they prevent.
    #[doc(hidden)]
    pub faults: CoreFaults,
}

impl Default for ConsensusSettings {
    fn default() -> Self {
        Self {
            heartbeat: time::Duration::from_millis(150),
            // Links between regions take tens of ms.
            election_min: time::Duration::from_millis(1_000),
            election_max: time::Duration::from_millis(2_000),
            drift_percent: 10,
            append_bytes: 1_024 * 1_024,
            append_window: 8_192,
            piece_bytes: 512 * 1_024,
            keep_entries: 10_000,
            keep_bytes: 8 * 1_024 * 1_024,
            faults: CoreFaults::default(),
        }
    }
}

impl ConsensusSettings {
    /// Returns the duration of a leader lease, counted from the start of its heartbeat round.
    ///
    /// ```
    /// use std::time::Duration;
    /// let lease = usher_consensus::ConsensusSettings::default().lease();
    /// assert_eq!(lease, Duration::from_millis(900));
    /// ```
    pub fn lease(&self) -> time::Duration {
        if self.faults.lease_without_drift {
            return self.election_min;
        }
        self.election_min * 100_u32.saturating_sub(self.drift_percent) / 100
    }
}

/// Safety mechanisms that a test can disable; all are enabled by default.
#[doc(hidden)]
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CoreFaults {
    /// Sends vote replies before the vote is durable.
    pub vote_before_write: bool,
    /// Acknowledges entries before they are durable.
    pub acknowledge_before_write: bool,
    /// Promotes a learner that has not caught up.
    pub promote_behind: bool,
    /// Extends the lease to the minimum election timeout, without a margin for clock drift.
    pub lease_without_drift: bool,
    /// Identifies a node by its name alone, ignoring its incarnation.
    pub name_only: bool,
    /// Grants votes although a leader was in contact within the minimum election timeout.
    pub vote_under_lease: bool,
}
