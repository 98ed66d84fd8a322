//! Drives the cores and processes their output, as the driver of the replica does.

use std::time;

use rand::Rng as _;
use usher_consensus::{CoreRole, MemberTable, NodeId, OutputBatch, RepairPolicy};
use usher_log::CrashLoss;
use usher_types::NodeName;
use usher_wire::message::{self, EntryKind};

use super::checks::chain_after;
use super::node::{decode_list, encode_list, write_jobs, PendingBatch, StorageJob};
use super::trace;
use super::world::{Event, World, MS, TICK_INTERVAL};

const JOIN_NOTICE_INTERVAL: u64 = 200 * MS;
const REPAIR_INTERVAL: u64 = 500 * MS;
const SNAPSHOT_ENTRIES: u64 = 25;

impl World {
    pub(super) fn tick(&mut self, node_index: usize, local: time::Instant) {
        let (own, epoch) = (
            self.nodes[node_index].member(),
            self.nodes[node_index].epoch,
        );
        let names: Vec<_> = (0..self.profile.voters)
            .map(|node_index| NodeName::new(format!("n{node_index}")))
            .collect();
        let all: Vec<_> = self
            .nodes
            .iter()
            .map(|node| NodeName::new(&node.name))
            .collect();
        let now = self.now;
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        process.core.tick(local);
        let is_member = process.core.members().get(process.core.id()).is_some();
        let mut notice = None;
        if now >= process.next_notice && (process.core.leader().is_none() || !is_member) {
            process.next_notice = now + JOIN_NOTICE_INTERVAL;
            notice = Some(process.core.join_notice(own.clone()));
            let after = local
                .checked_sub(time::Duration::from_secs(2))
                .unwrap_or(local);
            process.core.try_bootstrap(local, &own, &names, &all, after);
        }
        if now >= process.next_repair {
            process.next_repair = now + REPAIR_INTERVAL;
            self.repair(node_index, local);
        }
        if let Some(notice) = notice {
            for to in (0..self.nodes.len()).filter(|to| *to != node_index) {
                self.transmit(node_index, to, notice.clone());
            }
        }
        self.schedule(now + TICK_INTERVAL, node_index, Event::Tick(epoch));
    }

    pub(super) fn repair(&mut self, node_index: usize, local: time::Instant) {
        let policy = RepairPolicy {
            voters: self.profile.voters,
            lost_after: time::Duration::from_secs(2),
            ..RepairPolicy::default()
        };
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        let view = process
            .core
            .repair_view(local)
            .filter(|_| self.profile.repair);
        if let Some(change) = view.and_then(|view| policy.decide(&view)) {
            if process.core.change_members(local, &change).is_ok() {
                self.counts.repairs += 1;
                let vote = !matches!(change, usher_consensus::MembershipChange::AddLearner(_));
                let percent = self.profile.second_loss_percent;
                if vote && self.random.random_range(0..100) < percent {
                    self.second_loss = true;
                }
            }
        }
    }

    pub(super) fn on_written(&mut self, node_index: usize, local: time::Instant) {
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        match write_jobs(process) {
            Ok(sequence) => self.persisted(node_index, local, sequence.unwrap_or(0)),
            Err(_) => {
                // The process ends; changes that it did not sync are lost.
                self.counts.fsync_failures += 1;
                let node = &mut self.nodes[node_index];
                node.folder.fail_syncs_after(None);
                node.crash(CrashLoss::Unsynced, false, 0);
                let at = self.now + self.random.random_range(0..3_000 * MS);
                self.schedule(at, node_index, Event::Start);
            }
        }
    }

    /// Informs the core that batches are durable and sends their pending messages.
    pub(super) fn persisted(&mut self, node_index: usize, local: time::Instant, sequence: u64) {
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        let mut durable = sequence;
        let mut ready = Vec::new();
        while let Some(batch) = process.pending.front_mut() {
            if batch.sequence > sequence && batch.has_writes {
                break;
            }
            durable = durable.max(batch.sequence);
            ready.append(&mut batch.messages);
            process.pending.pop_front();
        }
        if durable > 0 {
            process.core.persisted(local, durable);
            let held = process.core.durable();
            self.nodes[node_index].durable = held;
            self.held.insert(self.nodes[node_index].id(), held);
        }
        for message in ready {
            self.send(node_index, message);
        }
    }

    pub(super) fn process_outputs(&mut self, node_index: usize) {
        let local = self.nodes[node_index].local(self.base, self.now);
        loop {
            let Some(process) = &mut self.nodes[node_index].process else {
                return;
            };
            let Some(batch) = process.core.take_output() else {
                break;
            };
            self.process_batch(node_index, local, batch);
        }
        self.write(node_index);
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        let key = (process.core.members_index(), process.core.term());
        if process.members_key != key {
            process.members_key = key;
            self.nodes[node_index].members = process.core.members().clone();
        }
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        if process.core.role() == CoreRole::Leader {
            self.counts.leader_changes +=
                u64::from(self.checks.check_leader(&process.core, &process.chains));
            let commit = process.core.commit();
            if process
                .commits
                .back()
                .is_none_or(|(_, known)| *known != commit)
            {
                process.commits.push_back((self.now, commit));
            }
        } else {
            process.commits.clear();
        }
    }

    pub(super) fn process_batch(
        &mut self,
        node_index: usize,
        local: time::Instant,
        mut batch: OutputBatch,
    ) {
        self.trace_event(|| format!("n{node_index} {}", trace::summary(&batch)));
        for message in std::mem::take(&mut batch.messages) {
            self.send(node_index, message);
        }
        self.check_written_entries(node_index, &batch);
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        process.pending.push_back(PendingBatch {
            sequence: batch.sequence,
            has_writes: batch.has_writes(),
            messages: std::mem::take(&mut batch.messages_after_write),
        });
        if let Some(image) = &batch.snapshot {
            self.counts.snapshots_installed += 1;
            process.list = decode_list(&image.data);
            self.checks
                .check_restored(&process.core, image.index, &process.list);
            process.applied = image.index;
            process.snapshot_index = image.index;
        }
        let committed = std::mem::take(&mut batch.committed);
        let ready = std::mem::take(&mut batch.reads_ready);
        let failed = std::mem::take(&mut batch.reads_failed);
        if batch.has_writes() {
            process.queue.push(StorageJob::Batch(Box::new(batch)));
        }
        for read in ready {
            if let Some(known) = process.reads.remove(&read.id) {
                process.ready_reads.push((read.index, known));
            }
        }
        for id in failed {
            process.reads.remove(&id);
        }
        for entry in committed {
            self.apply(node_index, &entry);
        }
        self.answer_reads(node_index);
        self.take_snapshot(node_index);
        self.persisted(node_index, local, 0);
    }

    /// Checks log matching for the written entries, and that promoted learners had caught up.
    pub(super) fn check_written_entries(&mut self, node_index: usize, batch: &OutputBatch) {
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        if let Some(image) = &batch.snapshot {
            let chain = self.checks.committed_chain(image.index);
            self.checks.require(chain.is_some(), || {
                format!(
                    "snapshot at index {}, which was never committed",
                    image.index
                )
            });
            if !batch.keeps_log {
                process.chains.clear();
            }
            process
                .chains
                .insert(image.index, chain.unwrap_or_default());
        }
        let replaced = batch.snapshot.as_ref().filter(|_| !batch.keeps_log);
        if let Some(image) = replaced {
            let durable = &mut self.nodes[node_index].durable;
            *durable = (*durable).min(image.index);
        }
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        if let Some(from) = batch.truncate_from {
            process.chains.split_off(&from);
            // A crash may leave the truncation on the disk without the entries that follow it.
            let durable = &mut self.nodes[node_index].durable;
            *durable = (*durable).min(from - 1);
        }
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        let mut promoted = Vec::new();
        for entry in &batch.entries {
            let before = process.chains.get(&(entry.index - 1)).copied();
            self.checks.require(before.is_some(), || {
                format!("gap in the written log before {}", entry.index)
            });
            let chain = chain_after(before.unwrap_or_default(), entry);
            process.chains.insert(entry.index, chain);
            self.checks
                .check_log_matching(process.core.id(), entry, chain);
            let own = process.core.role() == CoreRole::Leader && entry.term == process.core.term();
            if own && entry.kind() == EntryKind::Membership && entry.index > 2 {
                promoted.extend(MemberTable::decode(&entry.payload));
            }
        }
        let old = &self.nodes[node_index].members;
        let voters = promoted.iter().flat_map(MemberTable::voters);
        let promoted: Vec<_> = voters
            .filter(|voter| !old.is_voter(voter))
            .cloned()
            .collect();
        for voter in promoted {
            self.check_promotion(node_index, &voter);
        }
    }

    /// Checks that a learner becomes a voter only after it durably holds all entries that were
    /// committed when the promotion was decided.
    pub(super) fn check_promotion(&mut self, node_index: usize, voter: &NodeId) {
        let Some(process) = &self.nodes[node_index].process else {
            return;
        };
        // The decision is at most one election timeout old, by the leader's clock.
        let decided = self.now.saturating_sub(2_200 * MS);
        let committed = process
            .commits
            .iter()
            .take_while(|(at, _)| *at <= decided)
            .last();
        let expected = committed.map_or(0, |(_, commit)| *commit);
        // Its disk may have been lost since; what counts is what it held when it acknowledged.
        let held = self.held.get(voter).copied().unwrap_or(0);
        self.checks.require(held >= expected, || {
            format!("promotion: {voter} holds {held} durably, expected at least {expected}")
        });
    }

    pub(super) fn apply(&mut self, node_index: usize, entry: &message::LogEntry) {
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        let chain = process
            .chains
            .get(&entry.index)
            .copied()
            .unwrap_or_default();
        self.checks.check_applied(&process.core, entry.index, chain);
        self.checks.require(entry.index == process.applied + 1, || {
            format!(
                "entry {} applied after entry {}",
                entry.index, process.applied
            )
        });
        process.applied = entry.index;
        let command = entry.kind() == EntryKind::Command;
        let first = entry.payload.first_chunk().filter(|_| command);
        process
            .list
            .extend(first.map(|bytes| u64::from_le_bytes(*bytes)));
        self.checks
            .check_state(&process.core, entry.index, &process.list);
        if entry.kind() == EntryKind::Membership {
            process.next_repair = self.now;
        }
        if entry.kind() != EntryKind::Command {
            return;
        }
        let id = entry
            .payload
            .first_chunk()
            .map_or(0, |bytes| u64::from_le_bytes(*bytes));
        let position = process.list.len() as u64;
        if let Some(command) = process.commands.remove(&entry.index) {
            if command.term == entry.term {
                self.checks.require(command.id == id, || {
                    format!("command {} was answered with command {id}", command.id)
                });
                // A write must follow everything that was known when it was invoked.
                self.checks
                    .check_operation("write", command.known + 1, position);
                self.checks.accepted.insert(position, id);
                self.counts.commands += 1;
            }
        }
    }

    pub(super) fn answer_reads(&mut self, node_index: usize) {
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        let applied = process.applied;
        let length = process.list.len() as u64;
        for (_, known) in process
            .ready_reads
            .extract_if(.., |(index, _)| *index <= applied)
        {
            self.checks.check_operation("read", known, length);
            self.counts.reads += 1;
        }
    }

    pub(super) fn take_snapshot(&mut self, node_index: usize) {
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        let due = process.applied >= process.snapshot_index + SNAPSHOT_ENTRIES;
        if !due || process.snapshot_running {
            return;
        }
        let data = encode_list(&process.list);
        if let Some(image) = process.core.snapshot_taken(process.applied, data) {
            process.snapshot_index = image.index;
            // It is written concurrently with the log and published with a later write.
            let stored = usher_replica::stored_snapshot(&image);
            if process.log.snapshot_writer().write(&stored).is_ok() {
                process.snapshot_running = true;
                process.queue.push(StorageJob::PublishSnapshot(image.index));
            }
        }
    }

    /// Starts the next write, which completes after a simulated delay.
    pub(super) fn write(&mut self, node_index: usize) {
        let slow = self.nodes[node_index].slow_disk_until > self.now;
        let delay = if slow {
            self.random.random_range(100 * MS..1_500 * MS)
        } else {
            self.random.random_range(MS / 5..8 * MS)
        };
        let epoch = self.nodes[node_index].epoch;
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        if process.writing.is_empty() && !process.queue.is_empty() {
            process.writing = std::mem::take(&mut process.queue);
            self.schedule(self.now + delay, node_index, Event::Written(epoch));
        }
    }
}
