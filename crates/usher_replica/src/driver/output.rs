//! Processing of the output of the core. Not for: its inputs.

use usher_consensus::OutputBatch;
use usher_wire::message;

use super::{storage, PendingBatch, ReplicaDriver};
use crate::{state_machine, status};

impl<M, C> ReplicaDriver<M, C>
where
    M: state_machine::StateMachine,
    C: usher_types::ClockSource,
{
    /// Processes output batches until there are none left, then takes a snapshot if one is due.
    pub(super) fn process_outputs(&mut self) {
        while let Some(batch) = self.core.take_output() {
            self.process_batch(batch);
            if self.stop_reason.is_some() {
                return;
            }
        }
        self.take_snapshot();
    }

    fn process_batch(&mut self, mut batch: OutputBatch) {
        for message in std::mem::take(&mut batch.messages) {
            self.peers.send(self.core.members(), message);
        }
        self.batches.push_back(PendingBatch {
            sequence: batch.sequence,
            has_writes: batch.has_writes(),
            queued_at: self.clock.now(),
            messages: std::mem::take(&mut batch.messages_after_write),
        });
        if let Some(image) = &batch.snapshot {
            self.restore(image);
        }
        let committed = std::mem::take(&mut batch.committed);
        let ready = std::mem::take(&mut batch.reads_ready);
        let failed = std::mem::take(&mut batch.reads_failed);
        if batch.has_writes() {
            let job = storage::StorageJob::Batch(Box::new(batch));
            if self.storage.jobs.send(job).is_err() {
                self.stop_reason = Some("storage thread ended".to_owned());
                return;
            }
        }
        self.apply(&committed);
        self.answer_reads(ready, failed);
        // A batch without writes is durable as soon as the batches before it are.
        self.on_persisted(0);
    }

    /// Handles the notice that all batches up to `sequence` are durable: sends their pending
    /// messages and informs the core.
    pub(super) fn on_persisted(&mut self, sequence: u64) {
        let mut durable = sequence;
        while let Some(batch) = self.batches.front() {
            if batch.sequence > sequence && batch.has_writes {
                break;
            }
            durable = durable.max(batch.sequence);
            let Some(batch) = self.batches.pop_front() else {
                break;
            };
            for message in batch.messages {
                self.peers.send(self.core.members(), message);
            }
        }
        if durable > 0 {
            let now = self.clock.now();
            self.core.persisted(now, durable);
        }
    }

    fn restore(&mut self, image: &usher_consensus::SnapshotImage) {
        let mut state = self.shared.write_state();
        match state.machine.restore(&image.data) {
            Ok(()) => {
                state.index = image.index;
                self.applied = image.index;
                self.snapshot_index = image.index;
                self.applied_bytes = 0;
                let index = usher_types::LogIndex::new(image.index);
                self.shared.applied.send_replace(index);
            }
            // The state machine could never catch up with the log.
            Err(error) => self.stop_reason = Some(error.to_string()),
        }
    }

    fn apply(&mut self, committed: &[message::LogEntry]) {
        if committed.is_empty() {
            return;
        }
        let mut outcomes = Vec::new();
        let mut state = self.shared.write_state();
        for entry in committed {
            let in_order = usher_types::invariant!(
                "replica.applied_in_order",
                entry.index == self.applied + 1,
                "entry {} applied after entry {}",
                entry.index,
                self.applied
            );
            if !in_order {
                self.stop_reason = Some(format!(
                    "entry {} cannot be applied directly after entry {}",
                    entry.index, self.applied
                ));
                break;
            }
            let index = usher_types::LogIndex::new(entry.index);
            let outcome = match entry.kind() {
                message::EntryKind::Command => state.machine.apply(index, &entry.payload),
                message::EntryKind::Membership => {
                    // Check for the next repair step immediately: until a lost voter is removed, a
                    // second loss may cost the quorum.
                    self.next_repair = self.clock.now();
                    Vec::new()
                }
                message::EntryKind::Noop => Vec::new(),
            };
            self.applied = entry.index;
            self.applied_bytes += entry.payload.len();
            state.index = entry.index;
            outcomes.push((entry.index, entry.term, outcome));
        }
        drop(state);
        let index = usher_types::LogIndex::new(self.applied);
        self.shared.applied.send_replace(index);
        for (index, term, outcome) in outcomes {
            self.answer_proposal(index, term, outcome);
        }
        self.answer_changes();
        self.answer_ready_reads();
    }

    fn answer_proposal(&mut self, index: u64, term: u64, outcome: Vec<u8>) {
        let Some(pending) = self.proposals.remove(&index) else {
            return;
        };
        let answer = if pending.term == term {
            Ok(outcome)
        } else {
            // Another leader's entry is committed at this index, so the command never takes effect.
            Err(self.propose_not_leader())
        };
        let _ = pending.reply.send(answer);
    }

    fn answer_changes(&mut self) {
        let applied = self.applied;
        for pending in self
            .changes
            .extract_if(.., |change| change.index <= applied)
        {
            let unchanged = self
                .core
                .term_at(pending.index)
                .is_none_or(|term| term == pending.term);
            let answer = if unchanged {
                Ok(())
            } else {
                Err(usher_consensus::ChangeError::NotLeader.into())
            };
            let _ = pending.reply.send(answer);
        }
    }

    fn answer_reads(&mut self, ready: Vec<usher_consensus::ReadReady>, failed: Vec<u64>) {
        for read in ready {
            if let Some(pending) = self.reads.remove(&read.id) {
                self.ready_reads.push((read.index, pending.reply));
            }
        }
        for id in failed {
            if let Some(pending) = self.reads.remove(&id) {
                let _ = pending.reply.send(Err(self.read_not_leader()));
            }
        }
        self.answer_ready_reads();
    }

    fn answer_ready_reads(&mut self) {
        let applied = self.applied;
        for (_, reply) in self
            .ready_reads
            .extract_if(.., |(index, _)| *index <= applied)
        {
            let _ = reply.send(Ok(()));
        }
    }

    fn take_snapshot(&mut self) {
        let due = self.applied >= self.snapshot_index + self.settings.snapshot_entries
            || self.applied_bytes >= self.settings.snapshot_bytes;
        if !due || self.snapshot_running {
            return;
        }
        let data = self.shared.read_state().machine.snapshot();
        let Some(image) = self.core.snapshot_taken(self.applied, data) else {
            return;
        };
        self.snapshot_index = image.index;
        self.applied_bytes = 0;
        self.snapshot_running = true;
        if self.storage.snapshots.send(image).is_err() {
            self.stop_reason = Some("storage thread ended".to_owned());
        }
    }

    pub(super) fn update_status(&mut self) {
        use usher_consensus::CoreRole;
        let role = match self.core.role() {
            CoreRole::Leader => status::ReplicaRole::Leader,
            CoreRole::Candidate | CoreRole::PreCandidate => status::ReplicaRole::Candidate,
            CoreRole::Follower if self.core.is_voter() => status::ReplicaRole::Follower,
            CoreRole::Follower => status::ReplicaRole::Learner,
        };
        let leader = self.leader();
        let seen = (self.core.members_index(), self.core.term());
        let mut status = self.shared.write_status();
        if self.published_membership != Some(seen) {
            self.published_membership = Some(seen);
            status.membership = self.core.members().to_message();
            status.members_index = self.core.members_index();
        }
        status.role = role;
        status.term = usher_types::TermNumber::new(self.core.term());
        status.leader = leader;
        status.commit = usher_types::LogIndex::new(self.core.commit());
        status.applied = usher_types::LogIndex::new(self.applied);
        status.log_bytes = self.core.log_bytes();
        status.lease_until = self.core.lease_until();
        status.storage_stalled_since = self.stalled_since;
        status.last_leader_contact = self.core.last_leader_contact();
    }
}
