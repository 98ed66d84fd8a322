//! Simulates a fleet of engines and entries in virtual time. Not for: interpreting the results.

use std::{cmp, collections, time};

use usher_policy::{CacheEvent, FailureKind, LoadReport, RegistryChange};

use crate::{engine, fleet, metrics, router, sim_call, sim_time, workload};

/// Interval of the load reports of an engine, and the delay of a report.
pub(crate) const REPORT_INTERVAL: u64 = sim_time::from_millis(1_000);
pub(crate) const REPORT_LAG: u64 = sim_time::from_millis(700);
/// Delay of cache events.
pub(crate) const CACHE_LAG: u64 = sim_time::from_millis(1_500);
/// Interval at which the control node evaluates the demand.
pub(crate) const CONTROL_INTERVAL: u64 = sim_time::from_millis(1_000);
/// Delay until a registry change has reached the entries.
pub(crate) const SYNC_LAG: u64 = sim_time::from_millis(600);
/// Time without announcements after which a target is suspect.
pub(crate) const SUSPECT_AFTER: u64 = sim_time::from_millis(3_000);
/// Time after the end of the load in which running calls may complete.
const COMPLETION_TIME: u64 = sim_time::from_millis(120_000);

/// Fault or operator action during a run.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    /// The steps of an engine take this many times longer; 1 ends the slowdown.
    Slow(usize, f64),
    /// An operator drains an engine.
    Drain(usize),
    /// A drained engine comes back under a new incarnation.
    Return(usize),
    /// An engine crashes.
    Crash(usize),
    /// Attempts on an engine fail with this probability; 0 ends the fault.
    Failing(usize, f64),
}

/// Inputs of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunPlan {
    pub(crate) fleet: fleet::FleetSpec,
    pub(crate) policy: router::PolicyName,
    pub(crate) split: router::StaticSplit,
    pub(crate) seed: u64,
    pub(crate) items: Vec<workload::WorkItem>,
    /// Duration of the load in seconds.
    pub(crate) seconds: f64,
    /// Faults with their times in seconds from the start.
    pub(crate) faults: Vec<(f64, Fault)>,
    /// Whether the control node changes roles.
    pub(crate) roles: bool,
}

/// Event at a point in virtual time.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Arrive(usize),
    Receive(usize, Box<engine::Job>),
    /// End of a step of an engine, in the epoch in which the step began.
    StepEnd(usize, u64),
    Deliver(usize, Vec<engine::JobProgress>),
    Cancel(usize, usize),
    Fail(usize, FailureKind),
    Hedge(usize),
    Report(usize),
    ReportArrives(usize, LoadReport),
    CacheArrives(usize, Vec<CacheEvent>, u64),
    ListingArrives(usize, usize, Vec<u64>, u64),
    /// Registry change, with an engine and its new availability in the views of the entries.
    Registry(RegistryChange, Option<(usize, bool)>),
    Fault(usize),
    Control,
    RoleDone(usize),
}

struct ScheduledEvent {
    at: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        // The heap returns the largest element, so the order is reversed to get the earliest
        // event.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Queue of events, ordered by time and then by order of insertion.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: collections::BinaryHeap<ScheduledEvent>,
    next_sequence: u64,
}

impl EventQueue {
    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.next_sequence += 1;
        self.heap.push(ScheduledEvent {
            at,
            sequence: self.next_sequence,
            event,
        });
    }

    fn pop(&mut self) -> Option<(u64, Event)> {
        self.heap
            .pop()
            .map(|scheduled| (scheduled.at, scheduled.event))
    }
}

/// One entry daemon.
pub(crate) struct Entry {
    pub(crate) region: usize,
    pub(crate) router: router::Router,
    pub(crate) views: Vec<router::EngineView>,
}

/// State of an engine that the simulation tracks outside the engine.
pub(crate) struct Host {
    pub(crate) region: usize,
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    /// Time after which every entry must know that the engine is leaving.
    pub(crate) leaving_known_at: u64,
    /// Probability with which an attempt fails.
    pub(crate) failing: f64,
    /// Number of crashes and returns; the end of a step from an earlier epoch is ignored.
    pub(crate) epoch: u64,
    pub(crate) incarnation: u64,
    /// Role that the engine takes when it has become idle.
    pub(crate) next_role: Option<usher_types::EngineRole>,
}

/// State of a simulation run.
pub(crate) struct World {
    pub(crate) plan: RunPlan,
    pub(crate) base: time::Instant,
    pub(crate) now: u64,
    pub(crate) queue: EventQueue,
    pub(crate) engines: Vec<engine::FakeEngine>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) calls: Vec<sim_call::CallState>,
    pub(crate) attempts: Vec<sim_call::AttemptState>,
    pub(crate) totals: metrics::RunTotals,
    pub(crate) short_gaps: hdrhistogram::Histogram<u64>,
    pub(crate) long_gaps: hdrhistogram::Histogram<u64>,
    pub(crate) random: rand_chacha::ChaCha8Rng,
    pub(crate) control: crate::sim_control::ControlState,
    pub(crate) refused: collections::BTreeMap<usher_policy::RefusalReason, u64>,
    end: u64,
}

/// Runs a plan to completion.
pub(crate) fn run(plan: RunPlan) -> metrics::RunResult {
    let mut world = World::new(plan);
    world.schedule();
    while let Some((at, event)) = world.queue.pop() {
        if at > world.end {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.result()
}

impl World {
    fn new(plan: RunPlan) -> Self {
        use rand::SeedableRng as _;
        let fleet = &plan.fleet;
        let roles = match plan.policy {
            router::PolicyName::Oracle => router::split_roles(plan.split, fleet.engines.len()),
            _ => fleet.roles.clone(),
        };
        let make = |role: &usher_types::EngineRole| engine::FakeEngine::new(fleet.rates, *role);
        let engines: Vec<engine::FakeEngine> = roles.iter().map(make).collect();
        let hosts = fleet.engines.iter().map(|region| Host::new(*region));
        let entries = (0..fleet.entries.len()).map(|at| Entry::new(&plan, at, &roles));
        let end = sim_time::from_seconds(plan.seconds) + COMPLETION_TIME;
        Self {
            base: time::Instant::now(),
            now: 0,
            queue: EventQueue::default(),
            hosts: hosts.collect(),
            entries: entries.collect(),
            calls: plan.items.iter().map(sim_call::CallState::new).collect(),
            attempts: Vec::new(),
            totals: metrics::RunTotals::default(),
            short_gaps: metrics::gap_histogram(),
            long_gaps: metrics::gap_histogram(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed ^ 0x5EED),
            control: crate::sim_control::ControlState::new(fleet),
            refused: collections::BTreeMap::new(),
            engines,
            plan,
            end,
        }
    }

    fn schedule(&mut self) {
        for at in 0..self.plan.items.len() {
            self.queue.push(self.plan.items[at].at, Event::Arrive(at));
        }
        let count = self.engines.len() as u64;
        for at in 0..self.engines.len() {
            self.announce(at);
            // The first reports are staggered, so that the engines do not report simultaneously.
            let first = REPORT_INTERVAL * at as u64 / count;
            self.queue.push(first, Event::Report(at));
        }
        for at in 0..self.plan.faults.len() {
            let time = sim_time::from_seconds(self.plan.faults[at].0);
            self.queue.push(time, Event::Fault(at));
        }
        self.queue.push(CONTROL_INTERVAL, Event::Control);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Receive(engine, job) => self.receive(engine, *job),
            Event::StepEnd(engine, epoch) => self.end_step(engine, epoch),
            Event::Deliver(entry, batch) => self.deliver(entry, &batch),
            Event::Cancel(engine, attempt) => self.engines[engine].cancel(attempt),
            Event::Fail(attempt, kind) => self.attempt_failed(attempt, kind),
            Event::Hedge(attempt) => self.hedge_due(attempt),
            Event::Report(engine) => self.send_report(engine),
            Event::ReportArrives(engine, report) => self.report_arrives(engine, &report),
            Event::CacheArrives(engine, events, next_sequence) => {
                self.cache_arrives(engine, &events, next_sequence);
            }
            Event::ListingArrives(entry, engine, hashes, next_sequence) => {
                self.listing_arrives(entry, engine, &hashes, next_sequence);
            }
            Event::Registry(change, view) => self.registry_arrives(&change, view),
            Event::Fault(at) => self.apply_fault(at),
            Event::Control => self.control_tick(),
            Event::RoleDone(engine) => self.role_done(engine),
        }
    }

    pub(crate) fn instant(&self) -> time::Instant {
        router::to_instant(self.base, self.now)
    }

    /// Starts the next step of an engine that is alive and not in a step.
    pub(crate) fn wake(&mut self, engine: usize) {
        let host = &self.hosts[engine];
        if !host.alive || self.engines[engine].stepping {
            return;
        }
        if let Some(duration) = self.engines[engine].start_step(self.now) {
            let epoch = host.epoch;
            let at = self.now + duration;
            self.queue.push(at, Event::StepEnd(engine, epoch));
        } else {
            self.engine_idle(engine);
        }
    }

    fn end_step(&mut self, engine: usize, epoch: u64) {
        if self.hosts[engine].epoch != epoch {
            return;
        }
        let mut progress = Vec::new();
        self.engines[engine].end_step(&mut progress);
        self.engines[engine].stepping = false;
        self.after_step(engine, &progress);
        self.wake(engine);
    }

    fn result(self) -> metrics::RunResult {
        let mut totals = self.totals;
        for engine in &self.engines {
            totals.prompt_seen += engine.prompt_seen;
            totals.prompt_hit += engine.prompt_hit;
        }
        let refused = self.refused.iter();
        totals.refused = refused.map(|(why, n)| (format!("{why:?}"), *n)).collect();
        let firms = &self.plan.fleet.firms;
        let rates = &self.plan.fleet.rates;
        let calls = self.calls.iter().zip(&self.plan.items);
        metrics::RunResult {
            records: calls
                .map(|(call, item)| call.record(item, firms, rates))
                .collect(),
            short_gaps: self.short_gaps,
            long_gaps: self.long_gaps,
            totals,
            seconds: self.plan.seconds,
        }
    }
}

impl Host {
    fn new(region: usize) -> Self {
        Self {
            region,
            alive: true,
            leaving: false,
            leaving_known_at: u64::MAX,
            failing: 0.0,
            epoch: 0,
            incarnation: 1,
            next_role: None,
        }
    }
}

impl Entry {
    fn new(plan: &RunPlan, at: usize, roles: &[usher_types::EngineRole]) -> Self {
        let views = roles.iter().map(|role| router::EngineView {
            available: true,
            role: *role,
            report: None,
            own_calls: 0,
        });
        Self {
            region: plan.fleet.entries[at],
            router: router::Router::new(plan.policy, plan.split, &plan.fleet, at, plan.seed),
            views: views.collect(),
        }
    }
}
