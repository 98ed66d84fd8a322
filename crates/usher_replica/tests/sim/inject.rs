//! Injection of faults. Not for: their rates, which the fault profile defines.

use rand::Rng as _;
use usher_consensus::MemberTable;
use usher_log::{CrashLoss, MemoryFolder};

use super::world::{Cut, Event, World, MS};

impl World {
    pub(super) fn inject(&mut self) {
        let weights = self.profile.weights;
        let mut pick = self.random.random_range(0..weights.iter().sum());
        let mut kind = 0;
        while pick >= weights[kind] {
            pick -= weights[kind];
            kind += 1;
        }
        let node_index = self.random.random_range(0..self.nodes.len());
        let duration = self.random.random_range(100..6_000) * MS;
        match kind {
            0 => self.crash(node_index, duration),
            1 => self.wipe(node_index, duration),
            2 => {
                self.counts.freezes += 1;
                self.nodes[node_index].frozen_until = self.now + duration;
            }
            3 => self.cut(node_index, duration, false),
            4 => self.cut(node_index, duration, true),
            5 => {
                let syncs = self.random.random_range(0..4);
                self.nodes[node_index].folder.fail_syncs_after(Some(syncs));
            }
            _ => self.nodes[node_index].slow_disk_until = self.now + duration,
        }
    }

    pub(super) fn crash(&mut self, node_index: usize, down: u64) {
        self.counts.crashes += 1;
        let torn = self.random.random_range(0..3) == 0;
        let loss = match self.random.random_range(0..3) {
            0 => CrashLoss::Nothing,
            1 => CrashLoss::Unsynced,
            _ => CrashLoss::KeepBytes(self.random.random_range(0..300)),
        };
        self.counts.torn_writes += u64::from(torn);
        let syncs = self.random.random_range(0..4);
        self.nodes[node_index].crash(loss, torn, syncs);
        self.trace_event(|| format!("n{node_index} crashes, {loss:?}, torn {torn}"));
        self.schedule(self.now + down, node_index, Event::Start);
    }

    /// Replaces a node by one of the same name with an empty disk, if the guarantees cover that
    /// loss; crashes it otherwise.
    pub(super) fn wipe(&mut self, node_index: usize, down: u64) {
        if !self.may_wipe(node_index) {
            self.crash(node_index, down);
            return;
        }
        self.counts.wipes += 1;
        self.trace_event(|| format!("n{node_index} is wiped"));
        self.counts.second_losses += u64::from(self.second_loss);
        self.nodes[node_index].crash(CrashLoss::Unsynced, false, 0);
        self.next_incarnation += 1;
        let node = &mut self.nodes[node_index];
        node.incarnation = self.next_incarnation;
        node.folder = MemoryFolder::default();
        node.durable = 0;
        node.members = MemberTable::default();
        self.schedule(self.now + down, node_index, Event::Start);
    }

    /// Returns whether a quorum of disks remains in each membership that some node may use.
    ///
    /// A learner is not wiped while a voter's disk is lost: the learner may be about to be
    /// promoted, so that this would be a second loss before the first one is repaired.
    pub(super) fn may_wipe(&self, node_index: usize) -> bool {
        let bootstrapped = !self.checks.accepted.is_empty();
        let lost = self.nodes[node_index].id();
        bootstrapped
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

    pub(super) fn cut(&mut self, node_index: usize, length: u64, one_way: bool) {
        self.counts.cuts += 1;
        self.counts.one_way_cuts += u64::from(one_way);
        let all_peers = self.random.random_range(0..2) == 0;
        let single_peer = self.random.random_range(0..self.nodes.len());
        let until = self.now + length;
        self.cuts.retain(|cut| cut.until > self.now);
        for other in (0..self.nodes.len()).filter(|other| *other != node_index) {
            if !all_peers && other != single_peer {
                continue;
            }
            self.cuts.push(Cut {
                from: node_index,
                to: other,
                until,
            });
            if !one_way {
                self.cuts.push(Cut {
                    from: other,
                    to: node_index,
                    until,
                });
            }
        }
    }
}
