//! Experiment: the delay of short work beside long work. Not for: shifts of the mix.

use usher_types::WorkClass;

use crate::{experiments::common, metrics, options, report, router::PolicyName, workload};

/// Duration of the load in seconds.
const SECONDS: f64 = 120.0;
/// Load of each class alone, as a share of the capacity.
const SHORT_LOAD: f64 = 0.35;
const LONG_LOAD: f64 = 0.40;

pub(crate) fn run(options: &options::BenchOptions) -> report::ExperimentReport {
    let setup = common::ExperimentSetup::new("blocking", options);
    let mut report = report::ExperimentReport::default();
    let seconds = SECONDS * setup.scale;
    let short = common::rates(&setup.fleet, SHORT_LOAD, 0.0).0;
    let long = common::rates(&setup.fleet, LONG_LOAD, 1.0).1;
    let phase = |short_rate, long_rate| workload::LoadPhase {
        seconds,
        short_rate,
        long_rate,
    };
    for &policy in &setup.policies {
        let mut run_scenario = |scenario, phase| {
            let plan = setup.plan(vec![phase]);
            setup.run(&mut report, scenario, &plan, policy)
        };
        let alone = run_scenario("short-alone", phase(short, 0.0));
        let long_alone = run_scenario("long-alone", phase(0.0, long));
        let both = run_scenario("both", phase(short, long));
        if policy == PolicyName::Usher {
            check_goals(&setup, &mut report, &alone, &long_alone, &both);
        }
    }
    report
}

fn check_goals(
    setup: &common::ExperimentSetup,
    report: &mut report::ExperimentReport,
    alone: &metrics::RunResult,
    long_alone: &metrics::RunResult,
    both: &metrics::RunResult,
) {
    let context = setup.context();
    let before = alone.first_tokens(WorkClass::Short).p99;
    let after = both.first_tokens(WorkClass::Short).p99;
    report.at_most(
        &context,
        "p99 TTFT of short work relative to alone",
        1.2,
        after / before.max(1e-9),
    );
    let throughput = long_tokens(both) / long_tokens(long_alone).max(1e-9);
    report.at_least(&context, "throughput of long work kept", 0.9, throughput);
}

/// Returns the output tokens of long calls that were completed in time.
fn long_tokens(result: &metrics::RunResult) -> f64 {
    let long = result
        .records
        .iter()
        .filter(|call| call.class == WorkClass::Long && call.is_good());
    long.map(|call| call.output as f64).sum()
}
