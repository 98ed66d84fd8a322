//! Timings and limits of the core. Not for: addresses and folders.

use std::time;

/// Timings and limits of consensus; the same on all nodes of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct ConsensusSettings {
    /// How often the leader starts a round.
    pub heartbeat: time::Duration,
    /// For this long after hearing from a leader a node grants no vote.
    pub election_min: time::Duration,
    /// A node without a leader asks for votes after a random time between the two.
    pub election_max: time::Duration,
    /// How much faster one node's clock may run than another's, in percent.
    pub drift_percent: u32,
    /// Largest payload of one append, in bytes; well under the frame limit of 4 MiB.
    pub append_bytes: usize,
    /// How many entries may be sent to a peer beyond those that it acknowledged.
    pub append_window: u64,
    /// Size of one piece of a snapshot, in bytes.
    pub piece_bytes: usize,
    /// How many entries stay in memory behind a snapshot, for peers that missed little.
    pub keep_entries: u64,
    /// Mechanisms switched off by tests that show what they prevent.
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
            faults: CoreFaults::default(),
        }
    }
}

impl ConsensusSettings {
    /// Returns how long a lease lasts from the sending of its round.
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

/// Mechanisms that a test switches off; all are in force by default.
#[doc(hidden)]
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CoreFaults {
    /// Sends votes before they are durable.
    pub vote_before_write: bool,
    /// Acknowledges entries before they are durable.
    pub acknowledge_before_write: bool,
    /// Promotes a learner that is behind.
    pub promote_behind: bool,
    /// Lets a lease last for the whole election timeout.
    pub lease_without_drift: bool,
    /// Identifies a node by its name without its incarnation.
    pub name_only: bool,
    /// Grants votes although a leader was heard from recently.
    pub vote_under_lease: bool,
}
