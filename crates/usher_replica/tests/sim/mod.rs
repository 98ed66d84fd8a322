//! Deterministic simulation of a group of nodes in virtual time, with injected faults and checks
//! after each step. The cores, the log and the repair policy are those of the daemons.

#![allow(dead_code, unreachable_pub)]

mod checks;
mod drive;
mod faults;
mod inject;
mod node;
mod trace;
mod world;

pub use faults::FaultProfile;
pub use world::World;

/// Counts of events and faults, over all schedules of a run.
#[derive(Clone, Debug, Default)]
pub struct RunCounts {
    pub schedules: u64,
    pub leader_changes: u64,
    pub crashes: u64,
    pub torn_writes: u64,
    pub fsync_failures: u64,
    pub wipes: u64,
    pub freezes: u64,
    pub cuts: u64,
    pub one_way_cuts: u64,
    pub repairs: u64,
    pub second_losses: u64,
    pub snapshots_installed: u64,
    pub commands: u64,
    pub reads: u64,
    pub checks: u64,
    pub messages: u64,
    pub lost_messages: u64,
}

impl RunCounts {
    pub fn add(&mut self, other: &Self) {
        self.schedules += other.schedules;
        self.leader_changes += other.leader_changes;
        self.crashes += other.crashes;
        self.torn_writes += other.torn_writes;
        self.fsync_failures += other.fsync_failures;
        self.wipes += other.wipes;
        self.freezes += other.freezes;
        self.cuts += other.cuts;
        self.one_way_cuts += other.one_way_cuts;
        self.repairs += other.repairs;
        self.second_losses += other.second_losses;
        self.snapshots_installed += other.snapshots_installed;
        self.commands += other.commands;
        self.reads += other.reads;
        self.checks += other.checks;
        self.messages += other.messages;
        self.lost_messages += other.lost_messages;
    }
}

/// Runs one schedule; returns the counts and the first violation.
pub fn run_schedule(seed: u64, profile: &FaultProfile) -> (RunCounts, Option<String>) {
    let mut world = World::new(seed, profile.clone());
    world.run();
    let mut counts = world.counts.clone();
    counts.checks = world.checks.count;
    let violation = world.checks.violation.take();
    (counts, violation.map(|text| format!("seed {seed}: {text}")))
}

/// Runs schedules on several threads; returns the counts and the violations by seed.
pub fn run_schedules(
    first_seed: u64,
    schedules: u64,
    profile: &FaultProfile,
    stop_at_first: bool,
) -> (RunCounts, Vec<String>) {
    use std::sync::{atomic, Mutex};
    let next = atomic::AtomicU64::new(0);
    let result = Mutex::new((RunCounts::default(), Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, atomic::Ordering::Relaxed);
                let stop = stop_at_first && !result.lock().unwrap().1.is_empty();
                if number >= schedules || stop {
                    return;
                }
                let (counts, violation) = run_schedule(first_seed + number, profile);
                let mut result = result.lock().unwrap();
                result.0.add(&counts);
                result.1.extend(violation);
            });
        }
    });
    result.into_inner().unwrap()
}
