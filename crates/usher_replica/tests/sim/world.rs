//! Event loop in virtual time: ticks, messages, writes, operations of callers and faults.

use std::{cmp, collections, time};

use rand::{Rng as _, SeedableRng as _};
use usher_consensus::{CoreRole, MemberTable, NodeId};
use usher_log::{CrashLoss, MemoryFolder};
use usher_wire::message::ConsensusMessage;

use super::checks::Checks;
use super::faults::FaultProfile;
use super::node::{PendingCommand, SimNode};
use super::RunCounts;

/// One millisecond of virtual time, which is counted in microseconds.
pub(super) const MS: u64 = 1_000;
pub(super) const TICK_INTERVAL: u64 = 50 * MS;
/// Time without faults at the end, within which the group must work again.
const HEAL_TIMEOUT: u64 = 40_000 * MS;

/// Limit on pending events; far more than a group has in flight without a message storm.
const EVENT_LIMIT: usize = 20_000;

pub(super) enum Event {
    Tick(u64),
    Deliver(Box<ConsensusMessage>),
    Written(u64),
    Start,
    Command { known: u64 },
    Read { known: u64 },
}

pub(super) struct Scheduled {
    at: u64,
    order: u64,
    node_index: usize,
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
        // The heap returns the greatest element first.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// One direction of a connection that is cut until the given time.
pub(super) struct Cut {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) until: u64,
}

pub struct World {
    pub(super) seed: u64,
    pub(super) random: rand_chacha::ChaCha8Rng,
    pub(super) profile: FaultProfile,
    pub(super) base: time::Instant,
    /// Virtual time since the start, in microseconds.
    pub(super) now: u64,
    pub(super) order: u64,
    pub(super) events: collections::BinaryHeap<Scheduled>,
    pub(super) nodes: Vec<SimNode>,
    pub(super) cuts: Vec<Cut>,
    pub(super) loss_percent: u32,
    pub(super) duplicate_percent: u32,
    pub(super) late_percent: u32,
    pub(super) next_incarnation: u64,
    pub(super) next_command: u64,
    pub checks: Checks,
    pub counts: RunCounts,
    pub(super) violations_before: u64,
    /// Highest durable index of each identity at its last write.
    pub(super) held: collections::BTreeMap<NodeId, u64>,
    /// A second loss is due because a repair was decided.
    pub(super) second_loss: bool,
    pub(super) trace: bool,
}

impl World {
    pub fn new(seed: u64, profile: FaultProfile) -> Self {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let count = profile.voters + profile.spares;
        let drift = profile.drift_ppm;
        let nodes = (0..count)
            .map(|node_index| SimNode {
                node_index,
                name: format!("n{node_index}"),
                incarnation: node_index as u64 + 1,
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
        let fault_level = random.random_range(0..3);
        Self {
            seed,
            loss_percent: [0, 2, 10][fault_level],
            duplicate_percent: [0, 2, 5][fault_level],
            late_percent: [1, 3, 10][fault_level],
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

    /// Runs the phase with faults, then heals all faults and requires that the group works again.
    pub fn run(&mut self) {
        for node_index in 0..self.nodes.len() {
            let at = self.random.random_range(0..200 * MS);
            self.schedule(at, node_index, Event::Start);
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
                self.start_operation();
                next_operation += self.random_interval(self.profile.operation_every_ms);
            } else {
                self.now = next_fault;
                self.inject();
                next_fault += self.random_interval(self.profile.fault_every_ms);
                if std::mem::take(&mut self.second_loss) {
                    next_fault = self.now + self.random.random_range(MS..200 * MS);
                }
            }
        }
        self.heal();
    }

    pub(super) fn random_interval(&mut self, mean_ms: u64) -> u64 {
        self.random.random_range(1..=mean_ms * 2 * MS)
    }

    fn heal(&mut self) {
        self.cuts.clear();
        (self.loss_percent, self.late_percent) = (0, 0);
        for node_index in 0..self.nodes.len() {
            let node = &mut self.nodes[node_index];
            (node.frozen_until, node.slow_disk_until) = (0, 0);
            node.folder.fail_syncs_after(None);
            if node.process.is_none() {
                self.schedule(self.now, node_index, Event::Start);
            }
        }
        let deadline = self.now + HEAL_TIMEOUT;
        let mut next_operation = self.now;
        let accepted = self.checks.accepted.len();
        let target = accepted + 3;
        while self.checks.violation.is_none()
            && (self.checks.accepted.len() < target || !self.has_converged())
        {
            if self.now > deadline {
                let state = self.state();
                self.checks.require(false, || {
                    format!(
                        "liveness: group does not work 40 s after all faults were healed:{state}"
                    )
                });
            } else if self
                .events
                .peek()
                .is_some_and(|event| event.at <= next_operation)
            {
                self.step();
            } else {
                self.now = next_operation;
                self.start_operation();
                next_operation += 50 * MS;
            }
        }
        if self.checks.violation.is_none() {
            self.check_accepted();
        }
        let violations = usher_types::violation_count() - self.violations_before;
        // Schedules on other threads of this process may have caused them; the log names the
        // invariant.
        self.checks.require(violations == 0, || {
            format!("{violations} invariants of the core were violated")
        });
    }

    /// Returns whether all nodes that are voters in some node's membership have applied all
    /// committed entries.
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

    /// Checks that no accepted command is lost.
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
                format!("accepted command {id} is no longer at position {position}")
            });
        }
    }

    pub(super) fn schedule(&mut self, at: u64, node_index: usize, event: Event) {
        self.order += 1;
        self.events.push(Scheduled {
            at,
            order: self.order,
            node_index,
            event,
        });
    }

    fn step(&mut self) {
        let Some(next) = self.events.pop() else {
            return;
        };
        self.now = self.now.max(next.at);
        let (node_index, event) = (next.node_index, next.event);
        let frozen = self.nodes[node_index].frozen_until;
        if frozen > self.now && !matches!(event, Event::Start) {
            self.schedule(frozen, node_index, event);
            return;
        }
        let local = self.nodes[node_index].local(self.base, self.now);
        match event {
            Event::Start => self.start(node_index),
            Event::Tick(epoch) if epoch == self.nodes[node_index].epoch => {
                self.tick(node_index, local)
            }
            Event::Written(epoch) if epoch == self.nodes[node_index].epoch => {
                self.on_written(node_index, local)
            }
            Event::Tick(_) | Event::Written(_) => return,
            Event::Deliver(message) => {
                if let Some(process) = &mut self.nodes[node_index].process {
                    process.core.receive(local, *message);
                }
            }
            Event::Command { known } => self.propose(node_index, known),
            Event::Read { known } => self.read(node_index, local, known),
        }
        self.process_outputs(node_index);
        self.check_leases();
        // Guards against replies that each cause more than one message.
        let waiting = self.events.len();
        self.checks.require(waiting < EVENT_LIMIT, || {
            format!("{waiting} events are pending, expected fewer than {EVENT_LIMIT}")
        });
    }

    /// Prints an event if tracing is enabled by `USHER_TRACE`, to debug a single schedule.
    pub(super) fn trace_event(&self, text: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:>9} {}", self.now, text());
        }
    }

    pub(super) fn start(&mut self, node_index: usize) {
        if self.nodes[node_index].process.is_some() {
            return;
        }
        let seed = self.random.random();
        let local = self.nodes[node_index].local(self.base, self.now);
        let faults = self.profile.core.clone();
        let node = &mut self.nodes[node_index];
        node.start(self.now, local, seed, faults, &mut self.checks);
        if node.process.is_none() {
            self.counts.fsync_failures += 1;
            self.nodes[node_index].folder.fail_syncs_after(None);
            self.nodes[node_index].crash(CrashLoss::Unsynced, false, 0);
            let at = self.now + self.random.random_range(0..3_000 * MS);
            self.schedule(at, node_index, Event::Start);
            return;
        }
        let epoch = node.epoch;
        self.trace_event(|| format!("n{node_index} starts:{}", self.state()));
        let at = self.now + self.random.random_range(0..TICK_INTERVAL);
        self.schedule(at, node_index, Event::Tick(epoch));
    }

    pub(super) fn start_operation(&mut self) {
        let leads = |node: &SimNode| {
            let process = node.process.as_ref();
            process.is_some_and(|process| process.core.role() == CoreRole::Leader)
        };
        let leaders: Vec<_> = (0..self.nodes.len())
            .filter(|node_index| leads(&self.nodes[*node_index]))
            .collect();
        if leaders.is_empty() {
            return;
        }
        let node_index = leaders[self.random.random_range(0..leaders.len())];
        let known = self.checks.watermark;
        let event = if self.random.random_range(0..3) == 0 {
            Event::Command { known }
        } else {
            Event::Read { known }
        };
        self.schedule(self.now, node_index, event);
    }

    pub(super) fn propose(&mut self, node_index: usize, known: u64) {
        let padding = self.random.random_range(0..80);
        let Some(process) = &mut self.nodes[node_index].process else {
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

    pub(super) fn read(&mut self, node_index: usize, local: time::Instant, known: u64) {
        let Some(process) = &mut self.nodes[node_index].process else {
            return;
        };
        process.next_read += 1;
        if process.core.read(local, process.next_read).is_ok() {
            process.reads.insert(process.next_read, known);
        }
    }

    pub(super) fn send(&mut self, node_index: usize, message: ConsensusMessage) {
        let to = NodeId::from_message(message.to.as_ref());
        let target = self
            .nodes
            .iter()
            .position(|node| node.name == to.name.as_str());
        if let Some(target) = target {
            self.transmit(node_index, target, message);
        }
    }

    pub(super) fn transmit(&mut self, from: usize, to: usize, message: ConsensusMessage) {
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

    fn check_leases(&mut self) {
        let mut leaders = Vec::new();
        for node in &self.nodes {
            let Some(process) = &node.process else {
                continue;
            };
            if process.core.role() == CoreRole::Leader {
                let (id, term) = (process.core.id().clone(), process.core.term());
                leaders.push((node.node_index, (id, CoreRole::Leader, term)));
            }
        }
        if leaders.len() < 2 {
            return;
        }
        let all: Vec<_> = leaders.iter().map(|(_, leader)| leader.clone()).collect();
        for (node_index, _) in &leaders {
            let node = &self.nodes[*node_index];
            let Some(process) = &node.process else {
                continue;
            };
            // A paused process still considers its lease valid by its own clock.
            if process.core.holds_lease(node.local(self.base, self.now)) {
                self.checks.check_lease(&process.core, &all);
            }
        }
    }
}
