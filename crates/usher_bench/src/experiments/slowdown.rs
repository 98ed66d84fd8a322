//! Experiment: one in six targets is temporarily slowed by a factor of five. Not for: targets that
//! fail.

use usher_types::WorkClass;

use crate::{experiments::common, metrics, options, report, router::PolicyName, sim};

/// Duration of the load, and when the slowdown begins and ends, in seconds.
const SECONDS: f64 = 120.0;
const BEGIN: f64 = 30.0;
const END: f64 = 80.0;
/// Load as a share of the capacity, and the share of long calls.
const LOAD: f64 = 0.8;
const LONG_SHARE: f64 = 0.03;
/// Factor on the duration of steps; one in this many engines is slowed.
const SLOW_FACTOR: f64 = 5.0;
const SLOWED_ONE_IN: usize = 6;

pub(crate) fn run(options: &options::BenchOptions) -> report::ExperimentReport {
    let setup = common::ExperimentSetup::new("slowdown", options);
    let mut report = report::ExperimentReport::default();
    let phase = common::phase(&setup.fleet, SECONDS * setup.scale, LOAD, LONG_SHARE);
    let calm = setup.plan(vec![phase]);
    let mut slowed = calm.clone();
    let count = setup.fleet.engines.len();
    // The choice of engines depends on the seed and is spread over the regions.
    let first = setup.seed as usize;
    for step in 0..count / SLOWED_ONE_IN {
        let engine = (first + step * SLOWED_ONE_IN) % count;
        let begin = (BEGIN * setup.scale, sim::Fault::Slow(engine, SLOW_FACTOR));
        let end = (END * setup.scale, sim::Fault::Slow(engine, 1.0));
        slowed.faults.extend([begin, end]);
    }
    for &policy in &setup.policies {
        let before = setup.run(&mut report, "calm", &calm, policy);
        let after = setup.run(&mut report, "slowed", &slowed, policy);
        if policy == PolicyName::Usher {
            check_goals(&setup, &mut report, &before, &after);
        }
    }
    report
}

fn check_goals(
    setup: &common::ExperimentSetup,
    report: &mut report::ExperimentReport,
    before: &metrics::RunResult,
    after: &metrics::RunResult,
) {
    let context = setup.context();
    let (calm, slowed) = (before.all_first_tokens(), after.all_first_tokens());
    let ratio = slowed.p99 / calm.p99.max(1e-9);
    report.at_most(&context, "p99 TTFT relative to no slowdown", 1.3, ratio);
    let short = |result: &metrics::RunResult| result.first_tokens(WorkClass::Short).p99;
    let short_ratio = short(after) / short(before).max(1e-9);
    let goal = "p99 TTFT of short work relative to no slowdown";
    report.at_most(&context, goal, 1.3, short_ratio);
    report.at_most(&context, "p95 TTFT at 80% load, s", 0.51, slowed.p95);
    let gaps = after.all_gaps().p95;
    report.at_most(&context, "p95 inter-token time at 80% load, s", 0.079, gaps);
    let row = report.row("slowed", PolicyName::Usher);
    let extra = row.map_or(1.0, |row| row.extra_share);
    report.at_most(
        &context,
        "retries and hedges as a share of calls",
        0.1,
        extra,
    );
}
