//! A simulated node: its disk, its clock, and its process while it runs.

use std::{collections, time};

use usher_consensus::{ConsensusCore, ConsensusSettings, MemberTable, NodeId, OutputBatch};
use usher_log::{CrashLoss, DurableLog, LogSettings, MemoryFolder};
use usher_types::IncarnationId;
use usher_wire::message::{self, ConsensusMessage};

use super::checks::{chain_after, Checks};

/// Jobs for the storage of a node, executed in order.
pub enum StorageJob {
    Batch(Box<OutputBatch>),
    PublishSnapshot(u64),
}

pub struct PendingBatch {
    pub sequence: u64,
    pub has_writes: bool,
    pub messages: Vec<ConsensusMessage>,
}

pub struct PendingCommand {
    pub term: u64,
    pub id: u64,
    /// Length of the list that some caller had observed when the command was invoked.
    pub known: u64,
}

/// The process of a node.
pub struct Process {
    pub core: ConsensusCore,
    pub log: DurableLog<MemoryFolder>,
    pub queue: Vec<StorageJob>,
    pub writing: Vec<StorageJob>,
    pub pending: collections::VecDeque<PendingBatch>,
    /// The replicated list.
    pub list: Vec<u64>,
    pub applied: u64,
    pub snapshot_index: u64,
    pub snapshot_running: bool,
    /// Hash of the log up to each index that this node holds.
    pub chains: collections::BTreeMap<u64, u64>,
    pub commands: collections::BTreeMap<u64, PendingCommand>,
    /// Pending reads by identifier, with the length that was known when they were invoked.
    pub reads: collections::BTreeMap<u64, u64>,
    pub ready_reads: Vec<(u64, u64)>,
    pub next_read: u64,
    pub next_notice: u64,
    pub next_repair: u64,
    /// Index of the current membership and term at the last step.
    pub members_key: (u64, u64),
    /// Commit index over time while this node is the leader, for the check of promotions.
    pub commits: collections::VecDeque<(u64, u64)>,
}

pub struct SimNode {
    pub node_index: usize,
    pub name: String,
    pub incarnation: u64,
    pub folder: MemoryFolder,
    pub process: Option<Process>,
    /// Number of the current process; events of earlier processes are dropped.
    pub epoch: u64,
    pub frozen_until: u64,
    pub slow_disk_until: u64,
    pub rate_ppm: i64,
    pub offset: u64,
    /// Highest index that the disk holds durably.
    pub durable: u64,
    pub members: MemberTable,
}

pub fn settings(faults: usher_consensus::CoreFaults) -> ConsensusSettings {
    ConsensusSettings {
        append_bytes: 300,
        append_window: 24,
        piece_bytes: 64,
        keep_entries: 6,
        faults,
        ..ConsensusSettings::default()
    }
}

impl SimNode {
    pub fn id(&self) -> NodeId {
        NodeId::new(&self.name, self.incarnation)
    }

    pub fn member(&self) -> message::Member {
        message::Member {
            identity: Some(self.id().to_message()),
            address: self.name.clone(),
            region: format!("r{}", self.node_index % 3),
            domain: format!("d{}", self.node_index),
            voter: false,
        }
    }

    /// Returns the node's local clock at a virtual time in microseconds.
    pub fn local(&self, base: time::Instant, now: u64) -> time::Instant {
        let rate = 1_000_000 + self.rate_ppm;
        let elapsed = u128::from(now) * u128::try_from(rate).unwrap() / 1_000_000;
        base + time::Duration::from_micros(self.offset + u64::try_from(elapsed).unwrap())
    }

    /// Starts the process from the contents of the disk.
    pub fn start(
        &mut self,
        now: u64,
        local: time::Instant,
        seed: u64,
        core: usher_consensus::CoreFaults,
        checks: &mut Checks,
    ) {
        let small = LogSettings {
            segment_bytes: 1_500,
        };
        let new = IncarnationId::new(self.incarnation);
        let (log, recovered) = match DurableLog::open(self.folder.clone(), small, new) {
            Ok(opened) => opened,
            // A disk failure ends the process immediately; it is restarted later.
            Err(usher_log::LogError::Io { .. }) => return,
            Err(error) => {
                checks.require(false, || {
                    format!("{} cannot open its log: {error}", self.name)
                });
                return;
            }
        };
        let state = usher_replica::initial_state(recovered).unwrap();
        let mut chains = collections::BTreeMap::new();
        let base = state.image.as_ref().map_or(0, |image| image.index);
        let mut chain = checks.committed_chain(base).unwrap_or_default();
        chains.insert(base, chain);
        for entry in &state.entries {
            chain = chain_after(chain, entry);
            chains.insert(entry.index, chain);
        }
        let list = state
            .image
            .as_ref()
            .map_or_else(Vec::new, |image| decode_list(&image.data));
        let last = base + state.entries.len() as u64;
        checks.require(last >= self.durable, || {
            format!(
                "{} held entries up to {} durably, but its log ends at {last}",
                self.name, self.durable
            )
        });
        self.durable = last;
        self.epoch += 1;
        self.process = Some(Process {
            core: ConsensusCore::new(self.id(), settings(core), state, seed, local),
            log,
            queue: Vec::new(),
            writing: Vec::new(),
            pending: collections::VecDeque::new(),
            list,
            applied: base,
            snapshot_index: base,
            snapshot_running: false,
            chains,
            commands: collections::BTreeMap::new(),
            reads: collections::BTreeMap::new(),
            ready_reads: Vec::new(),
            next_read: 0,
            next_notice: now,
            next_repair: now,
            members_key: (0, 0),
            commits: collections::VecDeque::new(),
        });
    }

    /// Ends the process; with `torn`, a part of the running write remains on the disk.
    pub fn crash(&mut self, loss: CrashLoss, torn: bool, syncs: u64) {
        if let Some(mut process) = self.process.take() {
            if torn {
                self.folder.fail_syncs_after(Some(syncs));
                let _ = write_jobs(&mut process);
                self.folder.fail_syncs_after(None);
            }
        }
        self.folder.crash(loss);
        self.epoch += 1;
        self.frozen_until = 0;
    }
}

/// Writes the pending jobs and syncs them; returns the sequence number of the last batch.
pub fn write_jobs(process: &mut Process) -> Result<Option<u64>, usher_log::LogError> {
    let mut sequence = None;
    for job in std::mem::take(&mut process.writing) {
        match job {
            StorageJob::Batch(batch) => {
                usher_replica::write_batch(&mut process.log, &batch)?;
                sequence = Some(batch.sequence);
            }
            StorageJob::PublishSnapshot(index) => {
                process.log.publish_snapshot(index)?;
                process.snapshot_running = false;
            }
        }
    }
    process.log.sync()?;
    Ok(sequence)
}

pub fn encode_list(list: &[u64]) -> Vec<u8> {
    list.iter().flat_map(|id| id.to_le_bytes()).collect()
}

pub fn decode_list(bytes: &[u8]) -> Vec<u64> {
    let numbers = bytes.chunks_exact(8);
    numbers
        .map(|chunk| u64::from_le_bytes(chunk.try_into().unwrap()))
        .collect()
}
