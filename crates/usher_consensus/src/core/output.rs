//! Collects the effects of inputs into batches and handles their completion by the driver.
//! Not for: the inputs.

use std::{sync, time};

use super::ConsensusCore;
use crate::{image, membership, output};

impl ConsensusCore {
    /// Returns the effects since the last batch, or `None` if there are none.
    pub fn take_output(&mut self) -> Option<output::OutputBatch> {
        self.send_entries();
        let last = self.log.last_index();
        let has_output = self.hard_state_changed
            || self.installing.is_some()
            || self.write_from <= self.emitted_last
            || last > self.emitted_last
            || self.commit > self.emitted_commit
            || !self.messages.is_empty()
            || !self.messages_after_write.is_empty()
            || !self.reads_ready.is_empty()
            || !self.reads_failed.is_empty();
        if !has_output {
            return None;
        }
        self.sequence += 1;
        let hard_state_changed = std::mem::take(&mut self.hard_state_changed);
        if hard_state_changed {
            self.hard_state_sequence = self.sequence;
        }
        let truncated = self.write_from <= self.emitted_last;
        let batch = output::OutputBatch {
            sequence: self.sequence,
            hard_state: hard_state_changed.then(|| self.hard_state.clone()),
            snapshot: self.installing.take(),
            keeps_log: self.installing_keeps_log,
            truncate_from: truncated.then_some(self.write_from),
            entries: self.log.slice(self.write_from, last, usize::MAX),
            messages: std::mem::take(&mut self.messages),
            messages_after_write: std::mem::take(&mut self.messages_after_write),
            committed: self
                .log
                .slice(self.emitted_commit + 1, self.commit, usize::MAX),
            reads_ready: std::mem::take(&mut self.reads_ready),
            reads_failed: std::mem::take(&mut self.reads_failed),
        };
        self.write_from = last + 1;
        self.emitted_last = last;
        self.emitted_commit = self.commit;
        self.in_flight.push_back((self.sequence, last));
        Some(batch)
    }

    /// Handles the notice of the driver that all batches up to `sequence` are durable.
    pub fn persisted(&mut self, now: time::Instant, sequence: u64) {
        while let Some((written, last)) = self.in_flight.front().copied() {
            if written > sequence {
                break;
            }
            self.in_flight.pop_front();
            self.durable = self.durable.max(last);
        }
        self.persisted_sequence = self.persisted_sequence.max(sequence);
        if self.own_vote_batch.is_some_and(|vote| vote <= sequence) {
            self.own_vote_batch = None;
            self.votes.insert(self.id.clone());
            self.count_votes(now);
        }
        self.advance_commit(now);
    }

    /// Registers a snapshot that the driver took of the state machine at an applied index, and
    /// compacts the log in memory.
    ///
    /// The driver must make the returned image durable. Returns `None` if the index is not
    /// committed, no longer in the log or not newer than the last snapshot. The last `keep_entries`
    /// entries before the index stay in memory, within `keep_bytes`.
    pub fn snapshot_taken(
        &mut self,
        index: u64,
        data: Vec<u8>,
    ) -> Option<sync::Arc<image::SnapshotImage>> {
        let newer = self.image.as_ref().is_none_or(|image| index > image.index);
        if index > self.emitted_commit || !newer {
            return None;
        }
        let image = sync::Arc::new(image::SnapshotImage {
            index,
            term: self.log.term(index)?,
            membership: self.members_at(index),
            data,
        });
        self.image = Some(image.clone());
        let by_count = index.saturating_sub(self.settings.keep_entries);
        let by_size = self.log.start_of_last(index, self.settings.keep_bytes);
        let through = by_count.max(by_size);
        if through > self.log.base_index() {
            self.log.compact(through);
        }
        let old = self.memberships.partition_point(|(at, _)| *at <= through);
        self.memberships.drain(..old.saturating_sub(1));
        Some(image)
    }

    fn members_at(&self, index: u64) -> membership::MemberTable {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, table)| table.clone())
            .unwrap_or_default()
    }
}
