//! Code that the experiments share: loads, policies to run, the search of the oracle. Not for:
//! goals.

use crate::{fleet, metrics, options, report, router, sim, workload};

/// Mean prompt and output tokens of a class, including stragglers and with perfect prefix caches.
///
/// Assuming perfect caches gives the highest capacity, and therefore the strictest goals.
const SHORT_MEANS: (f64, f64) = (222.0, 153.0);
const LONG_MEANS: (f64, f64) = (4_989.0, 342.0);

/// Returns the rates of short and long calls that use `share` of the capacity of a fleet when
/// `long_share` of the calls are long.
pub(crate) fn rates(fleet: &fleet::FleetSpec, share: f64, long_share: f64) -> (f64, f64) {
    let mean = |short: f64, long: f64| short * (1.0 - long_share) + long * long_share;
    let prompt = mean(SHORT_MEANS.0, LONG_MEANS.0);
    let output = mean(SHORT_MEANS.1, LONG_MEANS.1);
    let calls = fleet.capacity(prompt, output) * share;
    (calls * (1.0 - long_share), calls * long_share)
}

/// Creates a phase that uses `share` of the capacity of a fleet.
pub(crate) fn phase(
    fleet: &fleet::FleetSpec,
    seconds: f64,
    share: f64,
    long_share: f64,
) -> workload::LoadPhase {
    let (short_rate, long_rate) = rates(fleet, share, long_share);
    workload::LoadPhase {
        seconds,
        short_rate,
        long_rate,
    }
}

/// Setup that all runs of an experiment share.
pub(crate) struct ExperimentSetup {
    pub(crate) experiment: &'static str,
    pub(crate) fleet: fleet::FleetSpec,
    pub(crate) seed: u64,
    pub(crate) policies: Vec<router::PolicyName>,
    /// Factor on the duration of phases.
    pub(crate) scale: f64,
}

impl ExperimentSetup {
    pub(crate) fn new(experiment: &'static str, options: &options::BenchOptions) -> Self {
        let all = router::PolicyName::ALL.to_vec();
        Self {
            experiment,
            fleet: fleet::FleetSpec::new(options.fleet),
            seed: options.seed,
            policies: options.policy.map_or(all, |policy| vec![policy]),
            scale: if options.quick { 0.25 } else { 1.0 },
        }
    }

    pub(crate) fn context(&self) -> report::GoalContext<'_> {
        report::GoalContext {
            experiment: self.experiment,
            fleet: self.fleet.name,
            seed: self.seed,
        }
    }

    /// Creates a plan for a workload without faults.
    pub(crate) fn plan(&self, phases: Vec<workload::LoadPhase>) -> sim::RunPlan {
        self.plan_with(phases, |_| ())
    }

    /// Creates a plan for a workload that `change` modifies.
    pub(crate) fn plan_with<F>(&self, phases: Vec<workload::LoadPhase>, change: F) -> sim::RunPlan
    where
        F: FnOnce(&mut workload::WorkloadPlan),
    {
        let seconds = phases.iter().map(|phase| phase.seconds).sum();
        let mut workload = workload::WorkloadPlan::new(&self.fleet, phases);
        change(&mut workload);
        let items = workload.generate(&self.fleet, self.seed);
        sim::RunPlan {
            fleet: self.fleet.clone(),
            policy: router::PolicyName::Usher,
            split: router::StaticSplit::default(),
            seed: self.seed,
            items,
            seconds,
            faults: Vec::new(),
            roles: false,
        }
    }

    /// Runs a plan with a policy and records its result row. For the oracle, it searches the best
    /// split first.
    pub(crate) fn run(
        &self,
        report: &mut report::ExperimentReport,
        scenario: &str,
        plan: &sim::RunPlan,
        policy: router::PolicyName,
    ) -> metrics::RunResult {
        let mut plan = plan.clone();
        plan.policy = policy;
        let result = if policy == router::PolicyName::Oracle {
            let (split, result) = search_split(&plan);
            report.notes.push(format!(
                "{} {scenario}: oracle's split: {} prefill, {} decode, {} for short work only",
                self.experiment, split.prefill, split.decode, split.short_only
            ));
            result
        } else {
            sim::run(plan)
        };
        if !result.totals.refused.is_empty() {
            let reasons = result.totals.refused.iter();
            let reasons: Vec<String> = reasons.map(|(why, n)| format!("{why} {n}")).collect();
            let reasons = reasons.join(", ");
            let experiment = self.experiment;
            report.notes.push(format!(
                "{experiment} {scenario}: {policy} refused: {reasons}"
            ));
        }
        let name = (self.experiment, scenario);
        report
            .rows
            .push(result.row(name, self.fleet.name, policy, self.seed));
        result
    }
}

/// Finds the static split with the best goodput, and among equals the best tail latency of short
/// work, by hill climbing from the split without any separation.
fn search_split(plan: &sim::RunPlan) -> (router::StaticSplit, metrics::RunResult) {
    let mut best = (
        router::StaticSplit::default(),
        try_split(plan, router::StaticSplit::default()),
    );
    let mut step = 2_i64;
    while step > 0 {
        let mut improved = false;
        for split in neighbours(best.0, step, plan.fleet.engines.len()) {
            let result = try_split(plan, split);
            if split_value(&result) > split_value(&best.1) {
                best = (split, result);
                improved = true;
            }
        }
        if !improved {
            step -= 1;
        }
    }
    best
}

fn try_split(plan: &sim::RunPlan, split: router::StaticSplit) -> metrics::RunResult {
    let mut plan = plan.clone();
    plan.split = split;
    sim::run(plan)
}

fn split_value(result: &metrics::RunResult) -> f64 {
    let good = result.count(metrics::CallRecord::is_good) as f64;
    let tail = result.first_tokens(usher_types::WorkClass::Short).p99;
    // A second of tail latency costs as much as one call in a hundred; smaller differences only
    // break ties.
    good * (1.0 - 0.01 * tail.min(10.0))
}

fn neighbours(from: router::StaticSplit, step: i64, engines: usize) -> Vec<router::StaticSplit> {
    let moves = [
        (1, 0, 0),
        (0, 1, 0),
        (0, 0, 1),
        (1, 1, 0),
        (-1, 0, 0),
        (0, -1, 0),
        (0, 0, -1),
    ];
    let add = |value: usize, change: i64| usize::try_from(value as i64 + change * step).ok();
    let splits = moves.iter().filter_map(|(prefill, decode, short)| {
        Some(router::StaticSplit {
            prefill: add(from.prefill, *prefill)?,
            decode: add(from.decode, *decode)?,
            short_only: add(from.short_only, *short)?,
        })
    });
    let valid = |split: &router::StaticSplit| {
        let paired = (split.prefill > 0) == (split.decode > 0);
        paired && split.prefill + split.decode + split.short_only < engines
    };
    splits.filter(valid).collect()
}
