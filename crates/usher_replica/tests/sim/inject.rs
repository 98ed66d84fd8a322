//! Injects faults. Not for: how often, which the profile says.

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

    pub(super) fn crash(&mut self, place: usize, down: u64) {
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
    pub(super) fn wipe(&mut self, place: usize, down: u64) {
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
    pub(super) fn may_wipe(&self, place: usize) -> bool {
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

    pub(super) fn cut(&mut self, place: usize, length: u64, one_way: bool) {
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
