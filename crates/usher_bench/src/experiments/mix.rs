//! Experiment: the mix of long and short work shifts every minute. Not for: overload.

use crate::{
    error, experiments::common, fleet, metrics, options, report, router::PolicyName, sim, workload,
};

/// Seconds per phase, and the number of phases.
const PHASE_SECONDS: f64 = 60.0;
const PHASES: usize = 4;
/// Load in each phase as a share of the capacity.
const LOAD: f64 = 0.9;
/// Share of long calls in phases of mostly questions, and of mostly summaries.
const QUESTION_SHARE: f64 = 0.01;
const SUMMARY_SHARE: f64 = 0.35;
/// Share of long calls in the scenario with noise but without shifts.
const STEADY_SHARE: f64 = 0.05;
/// Role changes allowed per actual shift.
const CHANGES_PER_SHIFT: f64 = 2.0;

pub(crate) fn run(
    options: &options::BenchOptions,
) -> Result<report::ExperimentReport, error::BenchError> {
    let setup = common::ExperimentSetup::new("mix", options);
    let mut report = report::ExperimentReport::default();
    let shifting = match &options.workload {
        Some(path) => file_plan(&setup, path)?,
        None => generated_plan(&setup),
    };
    let noisy = common::phase(
        &setup.fleet,
        PHASE_SECONDS * 2.0 * setup.scale,
        LOAD,
        STEADY_SHARE,
    );
    let mut noise = setup.plan(vec![noisy]);
    noise.roles = true;
    let mut usher = None;
    let mut others: Vec<(PolicyName, f64)> = Vec::new();
    for &policy in &setup.policies {
        let result = setup.run(&mut report, "shifts", &shifting, policy);
        let goodput = result.count(metrics::CallRecord::is_good) as f64;
        if policy == PolicyName::Usher {
            let steady = setup.run(&mut report, "noise", &noise, policy);
            usher = Some((goodput, result, steady));
        } else {
            others.push((policy, goodput));
        }
    }
    if let Some((goodput, result, steady)) = usher {
        check_goals(&setup, &mut report, goodput, &others, (&result, &steady));
    }
    Ok(report)
}

fn generated_plan(setup: &common::ExperimentSetup) -> sim::RunPlan {
    let phases = (0..PHASES).map(|at| {
        let share = if at.is_multiple_of(2) {
            QUESTION_SHARE
        } else {
            SUMMARY_SHARE
        };
        common::phase(&setup.fleet, PHASE_SECONDS * setup.scale, LOAD, share)
    });
    let mut plan = setup.plan(phases.collect());
    plan.roles = true;
    plan
}

fn file_plan(
    setup: &common::ExperimentSetup,
    path: &std::path::Path,
) -> Result<sim::RunPlan, error::BenchError> {
    let fleet: &fleet::FleetSpec = &setup.fleet;
    let items = workload::read_workload(path, fleet)?;
    let last = items.last().map_or(0, |item| item.at);
    let mut plan = setup.plan(Vec::new());
    // At least one second, so that an empty file gives rates of zero.
    plan.seconds = crate::sim_time::to_seconds(last).max(1.0);
    plan.items = items;
    plan.roles = true;
    Ok(plan)
}

fn check_goals(
    setup: &common::ExperimentSetup,
    report: &mut report::ExperimentReport,
    goodput: f64,
    others: &[(PolicyName, f64)],
    (shifts, noise): (&metrics::RunResult, &metrics::RunResult),
) {
    let context = setup.context();
    for (policy, other) in others {
        let share = goodput / other.max(1.0);
        if *policy == PolicyName::Oracle {
            report.at_least(&context, "goodput relative to the oracle", 0.95, share);
        } else {
            let goal = format!("goodput relative to {policy}");
            report.at_least(&context, &goal, 1.0, share);
        }
    }
    let changes = shifts.totals.role_changes as f64;
    let each = changes / (PHASES - 1) as f64;
    report.at_most(&context, "role changes per shift", CHANGES_PER_SHIFT, each);
    let noise_changes = noise.totals.role_changes as f64;
    report.at_most(&context, "role changes under noise", 0.0, noise_changes);
}
