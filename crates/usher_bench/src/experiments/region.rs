//! Experiment: one region has most of the demand, and then the engines of one region are lost. Not
//! for: partitions of the control nodes.

use crate::{experiments::common, options, report, router::PolicyName, sim};

/// Duration of the load, and when the engines of a region are lost and return, in seconds.
const SECONDS: f64 = 100.0;
const LOST_AT: f64 = 30.0;
const RETURN_AT: f64 = 70.0;
/// Load as a share of the capacity, and the share of long calls. Two regions of three must carry
/// the load of a lost one.
const SURGE_LOAD: f64 = 0.75;
const LOST_LOAD: f64 = 0.5;
const LONG_SHARE: f64 = 0.03;
/// Demand of the first region relative to each other region in a surge.
const SURGE_WEIGHT: f64 = 4.0;

pub(crate) fn run(options: &options::BenchOptions) -> report::ExperimentReport {
    let setup = common::ExperimentSetup::new("region", options);
    let mut report = report::ExperimentReport::default();
    let phase = |load| common::phase(&setup.fleet, SECONDS * setup.scale, load, LONG_SHARE);
    let surge = setup.plan_with(vec![phase(SURGE_LOAD)], |plan| {
        plan.region_weights[0] = SURGE_WEIGHT;
    });
    let mut lost = setup.plan(vec![phase(LOST_LOAD)]);
    let region = setup.seed as usize % setup.fleet.regions.len();
    for (engine, engine_region) in setup.fleet.engines.iter().enumerate() {
        if *engine_region == region {
            let begin = LOST_AT * setup.scale;
            let end = RETURN_AT * setup.scale;
            lost.faults.push((begin, sim::Fault::Crash(engine)));
            lost.faults.push((end, sim::Fault::Return(engine)));
        }
    }
    for &policy in &setup.policies {
        setup.run(&mut report, "surge", &surge, policy);
        setup.run(&mut report, "lost", &lost, policy);
        if policy == PolicyName::Usher {
            check_goals(&setup, &mut report);
        }
    }
    report
}

fn check_goals(setup: &common::ExperimentSetup, report: &mut report::ExperimentReport) {
    let context = setup.context();
    let row = |report: &report::ExperimentReport, scenario| {
        let row = report.row(scenario, PolicyName::Usher);
        row.map_or((1.0, f64::INFINITY), |row| {
            (row.extra_share, row.ttft_short.p95)
        })
    };
    let lost = row(report, "lost").0;
    let goal = "retries and hedges, a region lost";
    report.at_most(&context, goal, 0.1, lost);
    let surge = row(report, "surge").1;
    let goal = "p95 TTFT of short work in a surge of one region, s";
    report.at_most(&context, goal, 0.51, surge);
}
