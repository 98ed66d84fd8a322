//! Task that drives the consensus core: passes ticks, commands and messages to it and processes its
//! output. Not for: the rules of consensus.

mod output;
mod peer_table;
mod requests;
mod storage;

use std::{collections, sync, time};

use tokio::sync::mpsc;
use usher_wire::message;

use crate::{command, settings, shared_state, state_machine};

pub(crate) use storage::{StorageEvent, StorageThreads};

/// Interval between ticks of the core; several per heartbeat interval.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Interval at which a node without a leader announces itself.
const JOIN_NOTICE_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Maximum age of the join notices on which a bootstrap relies.
const JOIN_NOTICE_MAX_AGE: time::Duration = time::Duration::from_secs(2);
/// Maximum number of inputs whose output is processed together.
const MAX_INPUT_BATCH: usize = 1_024;

/// A batch with messages that are sent after it is durable.
#[derive(Debug)]
struct PendingBatch {
    sequence: u64,
    has_writes: bool,
    queued_at: time::Instant,
    messages: Vec<message::ConsensusMessage>,
}

/// A proposal that is waiting for its outcome.
#[derive(Debug)]
struct PendingProposal {
    term: u64,
    deadline: time::Instant,
    reply: command::ProposeReply,
}

/// A read that is waiting for confirmation by a quorum.
#[derive(Debug)]
struct PendingRead {
    deadline: time::Instant,
    reply: command::ReadReply,
}

/// A membership change that is waiting to be committed.
#[derive(Debug)]
struct PendingChange {
    index: u64,
    term: u64,
    deadline: time::Instant,
    reply: command::ChangeReply,
}

/// The task that owns the core.
#[derive(Debug)]
pub(crate) struct ReplicaDriver<M, C> {
    clock: C,
    settings: settings::ReplicaSettings,
    core: usher_consensus::ConsensusCore,
    shared: sync::Arc<shared_state::SharedState<M>>,
    storage: StorageThreads,
    commands: mpsc::Receiver<command::ReplicaCommand>,
    messages: mpsc::Receiver<message::ConsensusMessage>,
    peers: peer_table::PeerTable,
    batches: collections::VecDeque<PendingBatch>,
    proposals: collections::BTreeMap<u64, PendingProposal>,
    reads: collections::BTreeMap<u64, PendingRead>,
    /// Confirmed reads that are waiting until their index is applied.
    ready_reads: Vec<(u64, command::ReadReply)>,
    changes: Vec<PendingChange>,
    next_read: u64,
    applied: u64,
    snapshot_index: u64,
    /// Payload of the entries that were applied after the last snapshot, in bytes.
    applied_bytes: usize,
    snapshot_running: bool,
    /// Log index of the membership in the status, and the term when it was published.
    published_membership: Option<(u64, u64)>,
    next_notice: time::Instant,
    next_repair: time::Instant,
    /// Since when the disk has taken no writes, while it is stalled.
    stalled_since: Option<time::Instant>,
    /// Reason for the stop; empty for a regular stop.
    stop_reason: Option<String>,
}

impl<M, C> ReplicaDriver<M, C>
where
    M: state_machine::StateMachine,
    C: usher_types::ClockSource,
{
    pub(crate) fn new(
        clock: C,
        settings: settings::ReplicaSettings,
        core: usher_consensus::ConsensusCore,
        shared: sync::Arc<shared_state::SharedState<M>>,
        storage: StorageThreads,
        commands: mpsc::Receiver<command::ReplicaCommand>,
        messages: mpsc::Receiver<message::ConsensusMessage>,
    ) -> Self {
        let identity = usher_wire::WireIdentity {
            cluster: settings.cluster.clone(),
            node: settings.name.clone(),
            incarnation: core.id().incarnation,
        };
        let now = clock.now();
        let applied = core.commit();
        Self {
            clock,
            peers: peer_table::PeerTable::new(identity, settings.address, settings.peers.clone()),
            settings,
            core,
            shared,
            storage,
            commands,
            messages,
            batches: collections::VecDeque::new(),
            proposals: collections::BTreeMap::new(),
            reads: collections::BTreeMap::new(),
            ready_reads: Vec::new(),
            changes: Vec::new(),
            next_read: 0,
            applied,
            snapshot_index: applied,
            snapshot_running: false,
            applied_bytes: 0,
            published_membership: None,
            next_notice: now,
            next_repair: now,
            stalled_since: None,
            stop_reason: None,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while self.stop_reason.is_none() {
            tokio::select! {
                biased;
                event = self.storage.events.recv() => self.on_storage(event),
                message = self.messages.recv() => self.on_messages(message),
                command = self.commands.recv() => self.on_commands(command),
                _ = ticks.tick() => self.on_tick(),
            }
            self.process_outputs();
            self.update_status();
        }
        self.finish().await;
    }

    fn on_storage(&mut self, event: Option<StorageEvent>) {
        match event {
            Some(StorageEvent::Persisted(sequence)) => self.on_persisted(sequence),
            Some(StorageEvent::SnapshotSaved) => self.snapshot_running = false,
            Some(StorageEvent::Failed(reason)) => self.stop_reason = Some(reason),
            None => self.stop_reason = Some("storage thread ended".to_owned()),
        }
    }

    fn on_messages(&mut self, first: Option<message::ConsensusMessage>) {
        // The last handle was dropped. This queue is polled before that of commands, so that
        // continuing would spin here.
        let Some(first) = first else {
            self.stop_reason = Some(String::new());
            return;
        };
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(message) = next {
            // Read the clock after each message is received: a time from before a pause of the
            // process would date the contact with the leader too early.
            let now = self.clock.now();
            self.peers.record_sender_address(&message);
            self.forward_join_notice(&message);
            self.core.receive(now, message);
            taken += 1;
            next = (taken < MAX_INPUT_BATCH)
                .then(|| self.messages.try_recv().ok())
                .flatten();
        }
    }

    /// Forwards the join notice of a new node to the leader, because only the leader adds members.
    /// A new node knows only some of the nodes, and the leader may not be among them.
    fn forward_join_notice(&mut self, message: &message::ConsensusMessage) {
        let Some(message::consensus_message::Kind::JoinNotice(notice)) = &message.kind else {
            return;
        };
        // A notice with a receiver has already been forwarded.
        let direct = message.to.as_ref().is_none_or(|to| to.name.is_empty());
        let Some(leader) = self
            .core
            .leader()
            .filter(|leader| *leader != self.core.id())
        else {
            return;
        };
        let announced = usher_consensus::NodeId::from_message(
            notice
                .member
                .as_ref()
                .and_then(|member| member.identity.as_ref()),
        );
        if direct && announced != *leader {
            let mut forwarded = message.clone();
            forwarded.to = Some(leader.to_message());
            self.peers.send(self.core.members(), forwarded);
        }
    }

    fn on_commands(&mut self, first: Option<command::ReplicaCommand>) {
        // The last handle was dropped.
        let Some(first) = first else {
            self.stop_reason = Some(String::new());
            return;
        };
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(command) = next {
            // Read the clock after each command is received: with a time from before a pause of
            // the process, a read would be served under a lease that has expired since.
            let now = self.clock.now();
            self.on_command(now, command);
            taken += 1;
            next = (taken < MAX_INPUT_BATCH)
                .then(|| self.commands.try_recv().ok())
                .flatten();
        }
    }

    fn on_tick(&mut self) {
        let now = self.clock.now();
        self.check_storage(now);
        self.core.tick(now);
        self.expire(now);
        if now >= self.next_notice {
            self.next_notice = now + JOIN_NOTICE_INTERVAL;
            self.announce_self(now);
        }
        if now >= self.next_repair {
            self.next_repair = now + self.settings.repair_interval;
            self.repair(now);
        }
    }

    /// Gives up leadership while a full or stalled disk holds up writes: a leader that stores
    /// nothing can't commit what it is given, and the other nodes may have a working disk.
    fn check_storage(&mut self, now: time::Instant) {
        let oldest = self.batches.iter().find(|batch| batch.has_writes);
        let limit = self.settings.consensus.election_min;
        let stalled_since = oldest
            .map(|batch| batch.queued_at)
            .filter(|since| now.saturating_duration_since(*since) >= limit);
        match (self.stalled_since, stalled_since) {
            (None, Some(since)) => {
                let waited_ms = now.saturating_duration_since(since).as_millis();
                let role = self.core.role();
                tracing::warn!(
                    waited_ms,
                    ?role,
                    "the disk takes no writes; not leading meanwhile"
                );
            }
            (Some(since), None) => {
                let stalled_ms = now.saturating_duration_since(since).as_millis();
                tracing::info!(stalled_ms, "the disk takes writes again");
            }
            _ => {}
        }
        self.stalled_since = stalled_since;
        self.core.set_storage_stalled(now, stalled_since.is_some());
    }

    /// Announces this node while it has no leader or is not a member, and bootstraps the group
    /// when all conditions are met.
    fn announce_self(&mut self, now: time::Instant) {
        let is_member = self.core.members().get(self.core.id()).is_some();
        if self.core.leader().is_some() && is_member {
            return;
        }
        let notice = self.core.join_notice(self.settings.member(self.core.id()));
        self.peers.broadcast(self.core.members(), &notice);
        let own = self.settings.member(self.core.id());
        let after = now.checked_sub(JOIN_NOTICE_MAX_AGE).unwrap_or(now);
        let voters = &self.settings.initial_members;
        let nodes: Vec<_> = self
            .settings
            .peers
            .iter()
            .map(|(name, _)| name.clone())
            .collect();
        self.core.try_bootstrap(now, &own, voters, &nodes, after);
        self.core.tick(now);
    }

    fn repair(&mut self, now: time::Instant) {
        let Some(policy) = &self.settings.repair else {
            return;
        };
        let Some(change) = self
            .core
            .repair_view(now)
            .and_then(|view| policy.decide(&view))
        else {
            return;
        };
        match self.core.change_members(now, &change) {
            Ok(index) => tracing::info!(index, ?change, "appended a membership change"),
            Err(error) => tracing::debug!(%error, ?change, "membership change is not possible yet"),
        }
    }

    async fn finish(self) {
        let Self {
            storage,
            shared,
            stop_reason,
            ..
        } = self;
        let StorageThreads {
            jobs,
            snapshots,
            threads,
            room,
            ..
        } = storage;
        room.end_waiting();
        // The threads end after the senders are dropped and all queued jobs are written.
        drop((snapshots, jobs));
        let join = move || threads.map(std::thread::JoinHandle::join);
        let _ = tokio::task::spawn_blocking(join).await;
        if let Some(reason) = stop_reason.as_ref().filter(|reason| !reason.is_empty()) {
            tracing::error!(%reason, "replica stopped after a failure");
        }
        shared
            .stopped
            .send_replace(stop_reason.or(Some(String::new())));
    }
}
