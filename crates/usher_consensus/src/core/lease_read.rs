//! Linearizable reads and the leader lease. Not for: reading the state itself.

use std::time;

use super::{ConsensusCore, CoreRole, PendingRead};
use crate::{error, output};

impl ConsensusCore {
    /// Requests a linearizable read with an identifier chosen by the caller.
    ///
    /// The read is ready immediately under the leader lease, otherwise after a quorum has
    /// acknowledged a heartbeat round (read index).
    ///
    /// # Errors
    ///
    /// Fails when this node is not the leader.
    pub fn read(&mut self, now: time::Instant, id: u64) -> Result<(), error::NotLeaderError> {
        if self.role != CoreRole::Leader {
            return Err(error::NotLeaderError);
        }
        // The commit index is up to date only after an entry of this term is committed.
        let index = self.commit.max(self.leader_state.first_index);
        if self.holds_lease(now) {
            self.reads_ready.push(output::ReadReady { id, index });
            return Ok(());
        }
        // While a round for reads is in flight, later reads share the next one.
        let waiting = self
            .leader_state
            .reads
            .iter()
            .any(|read| read.round <= self.leader_state.round);
        let round = self.leader_state.round + 1;
        self.leader_state
            .reads
            .push(PendingRead { id, index, round });
        if !waiting {
            self.start_round(now);
            self.resolve_reads(now);
        }
        Ok(())
    }

    /// Returns whether this node holds the leader lease, so that no other node can be the leader
    /// of a later term at this time.
    pub fn holds_lease(&self, now: time::Instant) -> bool {
        self.role == CoreRole::Leader
            && (self.is_only_voter() || self.lease_until().is_some_and(|until| now < until))
    }

    /// Returns the expiry of the leader lease, if this node is the leader.
    ///
    /// A single voter holds the lease as long as it is the leader; the expiry returned for it
    /// covers only its last heartbeat round.
    pub fn lease_until(&self) -> Option<time::Instant> {
        if self.role != CoreRole::Leader {
            return None;
        }
        let start = self.confirmed_round_start()?;
        Some(start + self.settings.lease())
    }

    /// Returns the start of the newest heartbeat round that a quorum has acknowledged.
    pub(super) fn confirmed_round_start(&self) -> Option<time::Instant> {
        let round = self.confirmed_round();
        let newest = self
            .leader_state
            .rounds
            .iter()
            .rev()
            .find(|(number, _)| *number <= round)?;
        Some(newest.1)
    }

    pub(super) fn confirmed_round(&self) -> u64 {
        self.quorum_value(|node| {
            if *node == self.id {
                return self.leader_state.round;
            }
            self.leader_state
                .progress
                .get(node)
                .map_or(0, |peer| peer.acked_round)
        })
    }

    pub(super) fn resolve_reads(&mut self, now: time::Instant) {
        if self.leader_state.reads.is_empty() {
            return;
        }
        let round = self.confirmed_round();
        let (ready, waiting) = std::mem::take(&mut self.leader_state.reads)
            .into_iter()
            .partition(|read| read.round <= round);
        self.leader_state.reads = waiting;
        let next = self.leader_state.round + 1;
        let in_flight = self.leader_state.reads.iter().any(|read| read.round < next);
        if !self.leader_state.reads.is_empty() && !in_flight {
            self.start_round(now);
        }
        let ready: Vec<PendingRead> = ready;
        self.reads_ready
            .extend(ready.into_iter().map(|read| output::ReadReady {
                id: read.id,
                index: read.index,
            }));
    }
}
