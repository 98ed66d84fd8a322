//! Experiment: planned drains and failing targets at moderate load. Not for: lost regions.

use crate::{experiments::common, metrics, options, report, router::PolicyName, sim};

/// Duration of the load, and when engines are drained and return, in seconds.
const SECONDS: f64 = 120.0;
const DRAIN_AT: f64 = 30.0;
const RETURN_AT: f64 = 90.0;
/// Load as a share of the capacity, and the share of long calls.
const LOAD: f64 = 0.65;
const LONG_SHARE: f64 = 0.03;
/// One in this many engines is drained, or fails.
const DRAINED_ONE_IN: usize = 6;
const FAILING_ONE_IN: usize = 3;
/// Share of the attempts on a failing engine that fail.
const FAILURE_SHARE: f64 = 0.5;

pub(crate) fn run(options: &options::BenchOptions) -> report::ExperimentReport {
    let setup = common::ExperimentSetup::new("drain", options);
    let mut report = report::ExperimentReport::default();
    let phase = common::phase(&setup.fleet, SECONDS * setup.scale, LOAD, LONG_SHARE);
    let calm = setup.plan(vec![phase]);
    let mut drained = calm.clone();
    let mut failing = calm.clone();
    let begin = DRAIN_AT * setup.scale;
    let end = RETURN_AT * setup.scale;
    for engine in chosen(&setup, DRAINED_ONE_IN) {
        drained.faults.push((begin, sim::Fault::Drain(engine)));
        drained.faults.push((end, sim::Fault::Return(engine)));
    }
    for engine in chosen(&setup, FAILING_ONE_IN) {
        failing
            .faults
            .push((begin, sim::Fault::Failing(engine, FAILURE_SHARE)));
        failing.faults.push((end, sim::Fault::Failing(engine, 0.0)));
    }
    for &policy in &setup.policies {
        let result = setup.run(&mut report, "drained", &drained, policy);
        let failed = setup.run(&mut report, "failing", &failing, policy);
        if policy == PolicyName::Usher {
            check_goals(&setup, &mut report, &result, &failed);
        }
    }
    report
}

/// Returns one in `one_in` engines; the choice depends on the seed.
fn chosen(setup: &common::ExperimentSetup, one_in: usize) -> Vec<usize> {
    let count = setup.fleet.engines.len();
    let first = setup.seed as usize;
    let steps = 0..count / one_in;
    steps.map(|step| (first + step * one_in) % count).collect()
}

fn check_goals(
    setup: &common::ExperimentSetup,
    report: &mut report::ExperimentReport,
    drained: &metrics::RunResult,
    failing: &metrics::RunResult,
) {
    let context = setup.context();
    let totals = &drained.totals;
    let to_leaving = totals.sent_to_leaving as f64;
    report.at_most(
        &context,
        "new work on leaving engines after 4 s",
        0.0,
        to_leaving,
    );
    let cut = totals.cut_short as f64;
    report.at_most(&context, "requests cut short by the drain", 0.0, cut);
    let extra = |result: &metrics::RunResult| {
        let refused = result.count(|call| call.end == metrics::CallEnd::Refused);
        let accepted = (result.records.len() as u64 - refused).max(1);
        (result.totals.retries + result.totals.hedges) as f64 / accepted as f64
    };
    let goal = "retries and hedges, a third of the targets failing";
    report.at_most(&context, goal, 0.1, extra(failing));
}
