//! Events in virtual time: ticks, messages, writes, operations of callers and faults.

use std::{cmp, collections, time};

use rand::{Rng as _, SeedableRng as _};
use usher_consensus::{CoreRole, MemberTable, NodeId, OutputBatch, RepairPolicy};
use usher_log::{CrashLoss, MemoryFolder};
use usher_types::NodeName;
use usher_wire::message::{self, ConsensusMessage, EntryKind};

use super::checks::{chain_after, Checks};
use super::faults::FaultProfile;
use super::node::{
    decode_list, encode_list, write_jobs, PendingBatch, PendingCommand, SimNode, StoreJob,
};
use super::RunCounts;

const MS: u64 = 1_000;
const TICK: u64 = 50 * MS;
const NOTICE: u64 = 200 * MS;
const REPAIR: u64 = 500 * MS;
const SNAPSHOT_ENTRIES: u64 = 25;
/// Time without faults at the end, in which the group must accept a command.
const HEAL: u64 = 40_000 * MS;

/// Far more events than a group without a storm of messages has under way.
const EVENT_LIMIT: usize = 20_000;

enum Event {
    Tick(u64),
    Deliver(Box<ConsensusMessage>),
    Written(u64),
    Start,
    Command { known: u64 },
    Read { known: u64 },
}

struct Scheduled {
    at: u64,
    order: u64,
    place: usize,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        // The heap gives the greatest first.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A connection that is cut until a time.
struct Cut {
    from: usize,
    to: usize,
    until: u64,
}

pub struct World {
    seed: u64,
    random: rand_chacha::ChaCha8Rng,
    profile: FaultProfile,
    base: time::Instant,
    now: u64,
    order: u64,
    events: collections::BinaryHeap<Scheduled>,
    nodes: Vec<SimNode>,
    cuts: Vec<Cut>,
    loss_percent: u32,
    duplicate_percent: u32,
    late_percent: u32,
    next_incarnation: u64,
    next_command: u64,
    pub checks: Checks,
    pub counts: RunCounts,
    violations_before: u64,
    /// Highest index that each identity held durably when it last wrote.
    held: collections::BTreeMap<NodeId, u64>,
    /// A repair was committed, so that a second loss is due.
    second_loss: bool,
    trace: bool,
}

impl World {
    pub fn new(seed: u64, profile: FaultProfile) -> Self {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let count = profile.voters + profile.spares;
        let drift = profile.drift_ppm;
        let nodes = (0..count)
            .map(|place| SimNode {
                place,
                name: format!("n{place}"),
                incarnation: place as u64 + 1,
                folder: MemoryFolder::default(),
                process: None,
                epoch: 0,
                frozen_until: 0,
                slow_disk_until: 0,
                rate_ppm: random.random_range(-drift..=drift),
                offset: random.random_range(0..1_000_000_000),
                durable: 0,
                members: MemberTable::default(),
            })
            .collect();
        let quiet = random.random_range(0..3);
        Self {
            seed,
            loss_percent: [0, 2, 10][quiet],
            duplicate_percent: [0, 2, 5][quiet],
            late_percent: [1, 3, 10][quiet],
            random,
            profile,
            base: time::Instant::now(),
            now: 0,
            order: 0,
            events: collections::BinaryHeap::new(),
            nodes,
            cuts: Vec::new(),
            next_incarnation: 100,
            next_command: 1,
            checks: Checks::default(),
            counts: RunCounts {
                schedules: 1,
                ..RunCounts::default()
            },
            violations_before: usher_types::violation_count(),
            held: collections::BTreeMap::new(),
            second_loss: false,
            trace: std::env::var_os("USHER_TRACE").is_some(),
        }
    }

    /// Runs faults, then heals everything and requires that the group works again.
    pub fn run(&mut self) {
        for place in 0..self.nodes.len() {
            let at = self.random.random_range(0..200 * MS);
            self.schedule(at, place, Event::Start);
        }
        let end = self.profile.fault_ms * MS;
        let mut next_fault = 3_000 * MS;
        let mut next_operation = 500 * MS;
        while self.checks.violation.is_none() && self.now < end {
            let due = next_fault.min(next_operation);
            if self.events.peek().is_some_and(|event| event.at <= due) {
                self.step();
            } else if next_operation <= next_fault {
                self.now = next_operation;
                self.operate();
                next_operation += self.around(self.profile.operation_every_ms);
            } else {
                self.now = next_fault;
                self.inject();
                next_fault += self.around(self.profile.fault_every_ms);
                if std::mem::take(&mut self.second_loss) {
                    next_fault = self.now + self.random.random_range(MS..200 * MS);
                }
            }
        }
        self.heal();
    }

    fn around(&mut self, mean_ms: u64) -> u64 {
        self.random.random_range(1..=mean_ms * 2 * MS)
    }

    fn heal(&mut self) {
        self.cuts.clear();
        (self.loss_percent, self.late_percent) = (0, 0);
        for place in 0..self.nodes.len() {
            let node = &mut self.nodes[place];
            (node.frozen_until, node.slow_disk_until) = (0, 0);
            node.folder.fail_syncs_after(None);
            if node.process.is_none() {
                self.schedule(self.now, place, Event::Start);
            }
        }
        let deadline = self.now + HEAL;
        let mut next_operation = self.now;
        let accepted = self.checks.accepted.len();
        let target = accepted + 3;
        while self.checks.violation.is_none()
            && (self.checks.accepted.len() < target || !self.has_converged())
        {
            if self.now > deadline {
                let state = self.state();
                self.checks.require(false, || {
                    format!("liveness: not working again 40 s after all faults:{state}")
                });
            } else if self
                .events
                .peek()
                .is_some_and(|event| event.at <= next_operation)
            {
                self.step();
            } else {
                self.now = next_operation;
                self.operate();
                next_operation += 50 * MS;
            }
        }
        if self.checks.violation.is_none() {
            self.check_accepted();
        }
        let violations = usher_types::violation_count() - self.violations_before;
        // Other schedules of this process may have counted them too; the log names the invariant.
        self.checks.require(violations == 0, || {
            format!("{violations} invariants of the core were violated")
        });
    }

    /// Whether all nodes that some membership counts as voters apply what is committed.
    fn has_converged(&self) -> bool {
        let committed = self.checks.committed_len();
        let votes = |node: &SimNode| {
            let own = node.id();
            let mut tables = self.nodes.iter().map(|other| &other.members);
            tables.any(|table| table.is_voter(&own))
        };
        let applied = |node: &SimNode| {
            let process = node.process.as_ref();
            process.is_some_and(|process| process.applied >= committed)
        };
        self.nodes.iter().all(|node| !votes(node) || applied(node))
    }

    /// No accepted command is lost.
    fn check_accepted(&mut self) {
        let longest = self.nodes.iter().filter_map(|node| node.process.as_ref());
        let Some(list) = longest
            .map(|process| process.list.clone())
            .max_by_key(Vec::len)
        else {
            return;
        };
        let accepted = std::mem::take(&mut self.checks.accepted);
        for (position, id) in &accepted {
            let held = list.get(*position as usize - 1) == Some(id);
            self.checks.require(held, || {
                format!("accepted command {id} is not at position {position} any more")
            });
        }
    }

    fn schedule(&mut self, at: u64, place: usize, event: Event) {
        self.order += 1;
        self.events.push(Scheduled {
            at,
            order: self.order,
            place,
            event,
        });
    }

    fn step(&mut self) {
        let Some(next) = self.events.pop() else {
            return;
        };
        self.now = self.now.max(next.at);
        let (place, event) = (next.place, next.event);
        let frozen = self.nodes[place].frozen_until;
        if frozen > self.now && !matches!(event, Event::Start) {
            self.schedule(frozen, place, event);
            return;
        }
        let local = self.nodes[place].local(self.base, self.now);
        match event {
            Event::Start => self.start(place),
            Event::Tick(epoch) if epoch == self.nodes[place].epoch => self.tick(place, local),
            Event::Written(epoch) if epoch == self.nodes[place].epoch => self.written(place, local),
            Event::Tick(_) | Event::Written(_) => return,
            Event::Deliver(message) => {
                if let Some(process) = &mut self.nodes[place].process {
                    process.core.receive(local, *message);
                }
            }
            Event::Command { known } => self.propose(place, known),
            Event::Read { known } => self.read(place, local, known),
        }
        self.drain(place);
        self.check_leases();
        // Guards against answers that cause more than one message each.
        let waiting = self.events.len();
        self.checks.require(waiting < EVENT_LIMIT, || {
            format!("{waiting} events are waiting")
        });
    }

    /// Prints what happens when a single schedule is looked into.
    fn note(&self, text: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>9} {}", self.now, text());
        }
    }

    fn start(&mut self, place: usize) {
        if self.nodes[place].process.is_some() {
            return;
        }
        let seed = self.random.random();
        let local = self.nodes[place].local(self.base, self.now);
        let faults = self.profile.core.clone();
        let node = &mut self.nodes[place];
        node.start(self.now, local, seed, faults, &mut self.checks);
        if node.process.is_none() {
            self.counts.fsync_failures += 1;
            self.nodes[place].folder.fail_syncs_after(None);
            self.nodes[place].crash(CrashLoss::Unsynced, false, 0);
            let at = self.now + self.random.random_range(0..3_000 * MS);
            self.schedule(at, place, Event::Start);
            return;
        }
        let epoch = node.epoch;
        self.note(|| format!("n{place} starts:{}", self.state()));
        let at = self.now + self.random.random_range(0..TICK);
        self.schedule(at, place, Event::Tick(epoch));
    }

    fn tick(&mut self, place: usize, local: time::Instant) {
        let (own, epoch) = (self.nodes[place].member(), self.nodes[place].epoch);
        let names: Vec<_> = (0..self.profile.voters)
            .map(|place| NodeName::new(format!("n{place}")))
            .collect();
        let all: Vec<_> = self
            .nodes
            .iter()
            .map(|node| NodeName::new(&node.name))
            .collect();
        let now = self.now;
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        process.core.tick(local);
        let member = process.core.members().get(process.core.id()).is_some();
        let mut notice = None;
        if now >= process.next_notice && (process.core.leader().is_none() || !member) {
            process.next_notice = now + NOTICE;
            notice = Some(process.core.join_notice(own.clone()));
            let after = local
                .checked_sub(time::Duration::from_secs(2))
                .unwrap_or(local);
            process.core.try_bootstrap(local, &own, &names, &all, after);
        }
        if now >= process.next_repair {
            process.next_repair = now + REPAIR;
            self.repair(place, local);
        }
        if let Some(notice) = notice {
            for to in (0..self.nodes.len()).filter(|to| *to != place) {
                self.transmit(place, to, notice.clone());
            }
        }
        self.schedule(now + TICK, place, Event::Tick(epoch));
    }

    fn repair(&mut self, place: usize, local: time::Instant) {
        let policy = RepairPolicy {
            voters: self.profile.voters,
            lost_after: time::Duration::from_secs(2),
            ..RepairPolicy::default()
        };
        let Some(process) = &mut self.nodes[place].process else {
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

    fn operate(&mut self) {
        let leads = |node: &SimNode| {
            let process = node.process.as_ref();
            process.is_some_and(|process| process.core.role() == CoreRole::Leader)
        };
        let leaders: Vec<_> = (0..self.nodes.len())
            .filter(|place| leads(&self.nodes[*place]))
            .collect();
        if leaders.is_empty() {
            return;
        }
        let place = leaders[self.random.random_range(0..leaders.len())];
        let known = self.checks.watermark;
        let event = if self.random.random_range(0..3) == 0 {
            Event::Command { known }
        } else {
            Event::Read { known }
        };
        self.schedule(self.now, place, event);
    }

    fn propose(&mut self, place: usize, known: u64) {
        let padding = self.random.random_range(0..80);
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        let id = self.next_command;
        self.next_command += 1;
        let mut payload = id.to_le_bytes().to_vec();
        payload.resize(8 + padding, 7);
        if let Ok((index, term)) = process.core.propose(payload) {
            let command = PendingCommand { term, id, known };
            process.commands.insert(index, command);
        }
    }

    fn read(&mut self, place: usize, local: time::Instant, known: u64) {
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        process.next_read += 1;
        if process.core.read(local, process.next_read).is_ok() {
            process.reads.insert(process.next_read, known);
        }
    }

    fn written(&mut self, place: usize, local: time::Instant) {
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        match write_jobs(process) {
            Ok(sequence) => self.persisted(place, local, sequence.unwrap_or(0)),
            Err(_) => {
                // The process ends; what it didn't sync is lost.
                self.counts.fsync_failures += 1;
                let node = &mut self.nodes[place];
                node.folder.fail_syncs_after(None);
                node.crash(CrashLoss::Unsynced, false, 0);
                let at = self.now + self.random.random_range(0..3_000 * MS);
                self.schedule(at, place, Event::Start);
            }
        }
    }

    /// Tells the core what is durable and sends what waited for that.
    fn persisted(&mut self, place: usize, local: time::Instant, sequence: u64) {
        let Some(process) = &mut self.nodes[place].process else {
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
            self.nodes[place].durable = held;
            self.held.insert(self.nodes[place].id(), held);
        }
        for message in ready {
            self.send(place, message);
        }
    }

    fn drain(&mut self, place: usize) {
        let local = self.nodes[place].local(self.base, self.now);
        loop {
            let Some(process) = &mut self.nodes[place].process else {
                return;
            };
            let Some(batch) = process.core.take_output() else {
                break;
            };
            self.carry_out(place, local, batch);
        }
        self.write(place);
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        let key = (process.core.members_index(), process.core.term());
        if process.members_key != key {
            process.members_key = key;
            self.nodes[place].members = process.core.members().clone();
        }
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        if process.core.role() == CoreRole::Leader {
            self.counts.leader_changes +=
                u64::from(self.checks.leads(&process.core, &process.chains));
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

    fn carry_out(&mut self, place: usize, local: time::Instant, mut batch: OutputBatch) {
        self.note(|| format!("n{place} {}", summary(&batch)));
        for message in std::mem::take(&mut batch.messages) {
            self.send(place, message);
        }
        self.note_entries(place, &batch);
        let Some(process) = &mut self.nodes[place].process else {
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
                .restores(&process.core, image.index, &process.list);
            process.applied = image.index;
            process.snapshot_index = image.index;
        }
        let committed = std::mem::take(&mut batch.committed);
        let ready = std::mem::take(&mut batch.reads_ready);
        let failed = std::mem::take(&mut batch.reads_failed);
        if batch.has_writes() {
            process.queue.push(StoreJob::Batch(Box::new(batch)));
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
            self.apply(place, &entry);
        }
        self.answer_reads(place);
        self.take_snapshot(place);
        self.persisted(place, local, 0);
    }

    /// Log matching, and that a promoted learner holds what it must.
    fn note_entries(&mut self, place: usize, batch: &OutputBatch) {
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        if let Some(image) = &batch.snapshot {
            let chain = self.checks.committed_chain(image.index);
            self.checks.require(chain.is_some(), || {
                format!("snapshot of index {} that was never committed", image.index)
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
            let durable = &mut self.nodes[place].durable;
            *durable = (*durable).min(image.index);
        }
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        if let Some(from) = batch.truncate_from {
            process.chains.split_off(&from);
            // A crash may leave the truncation on the disk without the entries behind it.
            let durable = &mut self.nodes[place].durable;
            *durable = (*durable).min(from - 1);
        }
        let Some(process) = &mut self.nodes[place].process else {
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
            self.checks.holds(process.core.id(), entry, chain);
            let own = process.core.role() == CoreRole::Leader && entry.term == process.core.term();
            if own && entry.kind() == EntryKind::Membership && entry.index > 2 {
                promoted.extend(MemberTable::decode(&entry.payload));
            }
        }
        let old = &self.nodes[place].members;
        let voters = promoted.iter().flat_map(MemberTable::voters);
        let promoted: Vec<_> = voters
            .filter(|voter| !old.is_voter(voter))
            .cloned()
            .collect();
        for voter in promoted {
            self.check_promotion(place, &voter);
        }
    }

    /// A learner votes only once it durably holds what was committed when that was decided.
    fn check_promotion(&mut self, place: usize, voter: &NodeId) {
        let Some(process) = &self.nodes[place].process else {
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
        // Its disk may be lost by now; what counts is what it held when it acknowledged.
        let held = self.held.get(voter).copied().unwrap_or(0);
        self.checks.require(held >= expected, || {
            format!("promotion: {voter} holds {held} durably, {expected} were committed before")
        });
    }

    fn apply(&mut self, place: usize, entry: &message::LogEntry) {
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        let chain = process
            .chains
            .get(&entry.index)
            .copied()
            .unwrap_or_default();
        self.checks.applies(&process.core, entry.index, chain);
        self.checks.require(entry.index == process.applied + 1, || {
            format!("entry {} applied after {}", entry.index, process.applied)
        });
        process.applied = entry.index;
        let command = entry.kind() == EntryKind::Command;
        let first = entry.payload.first_chunk().filter(|_| command);
        process
            .list
            .extend(first.map(|bytes| u64::from_le_bytes(*bytes)));
        self.checks
            .reaches(&process.core, entry.index, &process.list);
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
                // A write must come after everything that was known.
                self.checks.completes("write", command.known + 1, position);
                self.checks.accepted.insert(position, id);
                self.counts.commands += 1;
            }
        }
    }

    fn answer_reads(&mut self, place: usize) {
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        let applied = process.applied;
        let length = process.list.len() as u64;
        for (_, known) in process
            .ready_reads
            .extract_if(.., |(index, _)| *index <= applied)
        {
            self.checks.completes("read", known, length);
            self.counts.reads += 1;
        }
    }

    fn take_snapshot(&mut self, place: usize) {
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        let due = process.applied >= process.snapshot_index + SNAPSHOT_ENTRIES;
        if !due || process.snapshot_running {
            return;
        }
        let data = encode_list(&process.list);
        if let Some(image) = process.core.snapshot_taken(process.applied, data) {
            process.snapshot_index = image.index;
            // It is written beside the log and taken into use with a later write.
            let stored = usher_replica::stored_snapshot(&image);
            if process.log.snapshot_writer().write(&stored).is_ok() {
                process.snapshot_running = true;
                process.queue.push(StoreJob::FinishSnapshot(image.index));
            }
        }
    }

    /// Starts the next write, which takes some time.
    fn write(&mut self, place: usize) {
        let slow = self.nodes[place].slow_disk_until > self.now;
        let delay = if slow {
            self.random.random_range(100 * MS..1_500 * MS)
        } else {
            self.random.random_range(MS / 5..8 * MS)
        };
        let epoch = self.nodes[place].epoch;
        let Some(process) = &mut self.nodes[place].process else {
            return;
        };
        if process.writing.is_empty() && !process.queue.is_empty() {
            process.writing = std::mem::take(&mut process.queue);
            self.schedule(self.now + delay, place, Event::Written(epoch));
        }
    }

    fn send(&mut self, place: usize, message: ConsensusMessage) {
        let to = NodeId::from_message(message.to.as_ref());
        let target = self
            .nodes
            .iter()
            .position(|node| node.name == to.name.as_str());
        if let Some(target) = target {
            self.transmit(place, target, message);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: ConsensusMessage) {
        self.counts.messages += 1;
        let now = self.now;
        let cut = |cut: &Cut| cut.from == from && cut.to == to && cut.until > now;
        let lost = self.random.random_range(0..100) < self.loss_percent;
        if lost || self.cuts.iter().any(cut) {
            self.counts.lost_messages += 1;
            return;
        }
        let copies = 1 + u32::from(self.random.random_range(0..100) < self.duplicate_percent);
        for _ in 0..copies {
            let late = self.random.random_range(0..100) < self.late_percent;
            let longest = if late { 2_500 * MS } else { 30 * MS };
            let delay = self.random.random_range(MS..longest);
            self.schedule(now + delay, to, Event::Deliver(Box::new(message.clone())));
        }
    }

    /// Describes all nodes, for a violation.
    fn state(&self) -> String {
        let mut text = String::new();
        for node in &self.nodes {
            let (id, durable) = (node.id(), node.durable);
            let Some(process) = &node.process else {
                text += &format!("\n  {id} down, {durable} durable");
                continue;
            };
            let core = &process.core;
            let members: Vec<_> = core
                .members()
                .iter()
                .map(|(id, member)| format!("{id}{}", if member.voter { "" } else { "(learner)" }))
                .collect();
            text += &format!(
                "\n  {id} {:?} term {} commit {} last {} {durable} durable, members {members:?}",
                core.role(),
                core.term(),
                core.commit(),
                core.last_index(),
            );
        }
        text
    }

    fn check_leases(&mut self) {
        let mut leaders = Vec::new();
        for node in &self.nodes {
            let Some(process) = &node.process else {
                continue;
            };
            if process.core.role() == CoreRole::Leader {
                let (id, term) = (process.core.id().clone(), process.core.term());
                leaders.push((node.place, (id, CoreRole::Leader, term)));
            }
        }
        if leaders.len() < 2 {
            return;
        }
        let all: Vec<_> = leaders.iter().map(|(_, leader)| leader.clone()).collect();
        for (place, _) in &leaders {
            let node = &self.nodes[*place];
            let Some(process) = &node.process else {
                continue;
            };
            // A paused process still believes in its lease as long as its clock allows.
            if process.core.holds_lease(node.local(self.base, self.now)) {
                self.checks.lease(&process.core, &all);
            }
        }
    }

    fn inject(&mut self) {
        let weights = self.profile.weights;
        let mut pick = self.random.random_range(0..weights.iter().sum());
        let mut kind = 0;
        while pick >= weights[kind] {
            pick -= weights[kind];
            kind += 1;
        }
        let place = self.random.random_range(0..self.nodes.len());
        let longest = self.random.random_range(100..6_000) * MS;
        match kind {
            0 => self.crash(place, longest),
            1 => self.wipe(place, longest),
            2 => {
                self.counts.freezes += 1;
                self.nodes[place].frozen_until = self.now + longest;
            }
            3 => self.cut(place, longest, false),
            4 => self.cut(place, longest, true),
            5 => {
                let syncs = self.random.random_range(0..4);
                self.nodes[place].folder.fail_syncs_after(Some(syncs));
            }
            _ => self.nodes[place].slow_disk_until = self.now + longest,
        }
    }

    fn crash(&mut self, place: usize, down: u64) {
        self.counts.crashes += 1;
        let torn = self.random.random_range(0..3) == 0;
        let loss = match self.random.random_range(0..3) {
            0 => CrashLoss::Nothing,
            1 => CrashLoss::Unsynced,
            _ => CrashLoss::KeepBytes(self.random.random_range(0..300)),
        };
        self.counts.torn_writes += u64::from(torn);
        let syncs = self.random.random_range(0..4);
        self.nodes[place].crash(loss, torn, syncs);
        self.note(|| format!("n{place} crashes, {loss:?}, torn {torn}"));
        self.schedule(self.now + down, place, Event::Start);
    }

    /// Replaces a node with an empty disk under its name, if the guarantee covers that loss.
    fn wipe(&mut self, place: usize, down: u64) {
        if !self.may_wipe(place) {
            self.crash(place, down);
            return;
        }
        self.counts.wipes += 1;
        self.note(|| format!("n{place} is wiped"));
        self.counts.second_losses += u64::from(self.second_loss);
        self.nodes[place].crash(CrashLoss::Unsynced, false, 0);
        self.next_incarnation += 1;
        let node = &mut self.nodes[place];
        node.incarnation = self.next_incarnation;
        node.folder = MemoryFolder::default();
        node.durable = 0;
        node.members = MemberTable::default();
        self.schedule(self.now + down, place, Event::Start);
    }

    /// Whether a quorum of disks stays in each membership that some node may go by.
    ///
    /// A learner isn't wiped while a voter's disk is lost: it may be just about to be promoted,
    /// and these would be two losses before the repair of the first one.
    fn may_wipe(&self, place: usize) -> bool {
        let founded = !self.checks.accepted.is_empty();
        let lost = self.nodes[place].id();
        founded
            && self.nodes.iter().all(|node| {
                let table = &node.members;
                let intact = table.voters().filter(|voter| {
                    **voter != lost && self.nodes.iter().any(|other| other.id() == **voter)
                });
                let intact = intact.count();
                let all = table.voters().count();
                let learner = table.get(&lost).is_some_and(|member| !member.voter);
                table.is_empty() || (intact >= table.quorum() && (!learner || intact == all))
            })
    }

    fn cut(&mut self, place: usize, length: u64, one_way: bool) {
        self.counts.cuts += 1;
        self.counts.one_way_cuts += u64::from(one_way);
        let whole = self.random.random_range(0..2) == 0;
        let single = self.random.random_range(0..self.nodes.len());
        let until = self.now + length;
        self.cuts.retain(|cut| cut.until > self.now);
        for other in (0..self.nodes.len()).filter(|other| *other != place) {
            if !whole && other != single {
                continue;
            }
            self.cuts.push(Cut {
                from: place,
                to: other,
                until,
            });
            if !one_way {
                self.cuts.push(Cut {
                    from: other,
                    to: place,
                    until,
                });
            }
        }
    }
}

fn summary(batch: &OutputBatch) -> String {
    let entry = |entry: &message::LogEntry| {
        let table = MemberTable::decode(&entry.payload).unwrap_or_default();
        let voters: Vec<_> = table.voters().map(NodeId::to_string).collect();
        let members = entry.kind() == EntryKind::Membership;
        let voters = if members {
            voters.join("+")
        } else {
            String::new()
        };
        format!("{}/{} {voters}", entry.index, entry.term)
    };
    let message = |message: &ConsensusMessage| {
        use message::consensus_message::Kind;
        let to = NodeId::from_message(message.to.as_ref());
        let kind = match &message.kind {
            Some(Kind::AppendRequest(request)) => format!(
                "append {}/{} +{} commit {} round {}",
                request.previous_index,
                request.previous_term,
                request.entries.len(),
                request.commit,
                request.round
            ),
            other => format!("{other:?}").chars().take(160).collect(),
        };
        format!("{to} term {} {kind}", message.term)
    };
    let sent = |messages: &[ConsensusMessage]| -> String {
        let lines = messages.iter().map(message);
        lines
            .map(|line| format!("\n              -> {line}"))
            .collect()
    };
    format!(
        "{:?} snapshot {:?} truncate {:?} entries {:?} committed {:?}{}\n    after write:{}",
        batch.hard_state,
        batch
            .snapshot
            .as_ref()
            .map(|image| (image.index, batch.keeps_log)),
        batch.truncate_from,
        batch.entries.iter().map(entry).collect::<Vec<_>>(),
        batch
            .committed
            .iter()
            .map(|entry| entry.index)
            .collect::<Vec<_>>(),
        sent(&batch.messages),
        sent(&batch.messages_after_write),
    )
}
