//! Experiment: demand rises to twice the capacity within a second. Not for: the choice of engines.

use usher_policy::max_min_shares;

use crate::{experiments::common, metrics, options, report, router::PolicyName, sim_time};

/// Seconds before, during and after the crest.
const SECONDS_BEFORE: f64 = 20.0;
const CREST_SECONDS: f64 = 60.0;
const SECONDS_AFTER: f64 = 20.0;
/// Load as a share of the capacity before and after the crest, and during it.
const CALM_LOAD: f64 = 0.6;
const CREST_LOAD: f64 = 2.0;
/// Share of long calls.
const LONG_SHARE: f64 = 0.03;
/// Seconds after the rise in which the batches fill up; they are not measured.
const FILL_SECONDS: f64 = 5.0;
/// Relative demand of the firms: one far above its fair share, one below.
const FIRM_WEIGHTS: [f64; 4] = [4.0, 2.0, 1.0, 0.5];

pub(crate) fn run(options: &options::BenchOptions) -> report::ExperimentReport {
    let setup = common::ExperimentSetup::new("crest", options);
    let mut report = report::ExperimentReport::default();
    let phase =
        |seconds, load| common::phase(&setup.fleet, seconds * setup.scale, load, LONG_SHARE);
    let phases = vec![
        phase(SECONDS_BEFORE, CALM_LOAD),
        phase(CREST_SECONDS, CREST_LOAD),
        phase(SECONDS_AFTER, CALM_LOAD),
    ];
    let firms = setup.fleet.firms.len();
    let weights = FIRM_WEIGHTS.into_iter().take(firms).collect();
    let plan = setup.plan_with(phases, |plan| plan.firm_weights = weights);
    for &policy in &setup.policies {
        let result = setup.run(&mut report, "2x", &plan, policy);
        if policy == PolicyName::Usher {
            check_goals(&setup, &mut report, &result);
        }
    }
    report
}

fn check_goals(
    setup: &common::ExperimentSetup,
    report: &mut report::ExperimentReport,
    result: &metrics::RunResult,
) {
    let context = setup.context();
    let from = sim_time::from_seconds((SECONDS_BEFORE + FILL_SECONDS) * setup.scale);
    let to = sim_time::from_seconds((SECONDS_BEFORE + CREST_SECONDS) * setup.scale);
    let seconds = sim_time::to_seconds(to - from);
    let good = |call: &&metrics::CallRecord| {
        let finished = call.finished.is_some_and(|at| (from..to).contains(&at));
        finished && call.is_good()
    };
    let calls = result.records.iter().filter(good).count();
    let rates = common::rates(&setup.fleet, 1.0, LONG_SHARE);
    let reached = calls as f64 / seconds / (rates.0 + rates.1);
    report.at_least(&context, "goodput as a share of capacity", 0.95, reached);

    let completed = result.count(|call| call.end == metrics::CallEnd::Complete);
    let late = completed - result.count(metrics::CallRecord::is_good);
    let refused = result.count(|call| call.end == metrics::CallEnd::Refused);
    let accepted = (result.records.len() as u64 - refused).max(1);
    let share = late as f64 / accepted as f64;
    report.at_most(&context, "accepted and late", 0.01, share);

    let shares = fair_shares(setup, result, from, to);
    let texts: Vec<String> = shares.iter().map(|share| format!("{share:.2}")).collect();
    let texts = texts.join(" ");
    report.notes.push(format!(
        "crest 2x: usher's firms got {texts} of their fair shares"
    ));
    let worst = shares.into_iter().fold(f64::INFINITY, f64::min);
    report.at_least(&context, "least share of a firm's fair share", 0.9, worst);
}

/// Returns the work done for each firm in the window, relative to its fair share.
fn fair_shares(
    setup: &common::ExperimentSetup,
    result: &metrics::RunResult,
    from: u64,
    to: u64,
) -> Vec<f64> {
    let firms = setup.fleet.firms.len();
    let mut demanded = vec![0.0; firms];
    let mut done = vec![0.0; firms];
    for call in &result.records {
        if (from..to).contains(&call.arrived) {
            demanded[call.firm] += call.work;
        }
        if call.is_good() && call.finished.is_some_and(|at| (from..to).contains(&at)) {
            done[call.firm] += call.work;
        }
    }
    let demands: Vec<(f64, f64)> = demanded.iter().map(|work| (*work, 1.0)).collect();
    let fair = max_min_shares(done.iter().sum(), &demands);
    let parts = done.iter().zip(&fair);
    parts.map(|(done, fair)| done / fair.max(1e-9)).collect()
}
