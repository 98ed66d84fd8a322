//! Tests that the experiments reach goals of section 15 of the design, and that results are
//! reproducible for a seed.

use usher_bench::{run, BenchOptions, ExperimentName, ExperimentReport, FleetName, PolicyName};

fn options(experiment: ExperimentName, fleet: FleetName, seed: u64) -> BenchOptions {
    BenchOptions::new(experiment)
        .with_fleet(fleet)
        .with_seed(seed)
        .with_policy(PolicyName::Usher)
}

fn quick(experiment: ExperimentName, fleet: FleetName, seed: u64) -> ExperimentReport {
    run(&options(experiment, fleet, seed).with_quick()).unwrap()
}

fn check_goal(experiment: ExperimentName, fleet: FleetName, goal: &str) {
    check_report(&quick(experiment, fleet, 1), goal);
}

/// Runs an experiment at full length, because short phases do not show whether its goals are
/// reached.
fn check_full_goal(experiment: ExperimentName, fleet: FleetName, goal: &str) {
    check_report(&run(&options(experiment, fleet, 1)).unwrap(), goal);
}

fn check_report(report: &ExperimentReport, goal: &str) {
    let goals = report
        .goals
        .iter()
        .filter(|check| check.goal.contains(goal));
    let goals: Vec<_> = goals.collect();
    assert!(!goals.is_empty(), "the report has no goal {goal:?}");
    for check in goals {
        assert!(check.holds, "{check:?}");
    }
}

// Guards against a policy change that misses a goal which was reached before.
usher_types::cases! { check_goal:
    long_work_keeps_its_throughput(ExperimentName::Blocking, FleetName::LooRound, "throughput of long");
    slowdown_keeps_the_tail(ExperimentName::Slowdown, FleetName::LooRound, "p99 TTFT relative");
    slowdown_keeps_the_first_token(ExperimentName::Slowdown, FleetName::ContasTercos, "p95 TTFT");
    slowdown_keeps_streams_smooth(ExperimentName::Slowdown, FleetName::LooRound, "inter-token");
    crest_accepts_little_that_is_late(ExperimentName::Crest, FleetName::LooRound, "accepted and late");
    drain_sends_nothing_to_leaving_engines(ExperimentName::Drain, FleetName::LooRound, "leaving");
    drain_cuts_nothing_short(ExperimentName::Drain, FleetName::ContasTercos, "cut short");
    failing_third_stays_within_the_budget(ExperimentName::Drain, FleetName::LooRound, "failing");
    lost_region_stays_within_the_budget(ExperimentName::Region, FleetName::LooRound, "region lost");
    noise_changes_no_roles(ExperimentName::Mix, FleetName::LooRound, "under noise");
    shift_changes_at_most_two_roles(ExperimentName::Mix, FleetName::ContasTercos, "per shift");
}

// These goals are missed at present; KNOWN-RED.txt lists the three tests.
usher_types::cases! { check_full_goal:
    crest_reaches_capacity(ExperimentName::Crest, FleetName::LooRound, "goodput");
    crest_gives_firms_their_shares(ExperimentName::Crest, FleetName::LooRound, "least share");
    blocking_keeps_short_work_quick(ExperimentName::Blocking, FleetName::LooRound, "p99 TTFT of short");
}

fn check_repeats(experiment: ExperimentName, seed: u64) {
    let first = quick(experiment, FleetName::LooRound, seed);
    let second = quick(experiment, FleetName::LooRound, seed);
    assert_eq!(first.to_json().unwrap(), second.to_json().unwrap());
}

// Guards against results that depend on the order of a hash map or on the clock.
usher_types::cases! { check_repeats:
    slowdown_repeats(ExperimentName::Slowdown, 3);
    crest_repeats(ExperimentName::Crest, 3);
    mix_repeats(ExperimentName::Mix, 3);
    limits_repeat(ExperimentName::Limits, 3);
}

/// Guards against a seed that has no effect.
#[test]
fn seeds_differ() {
    let first = quick(ExperimentName::Drain, FleetName::LooRound, 1);
    let second = quick(ExperimentName::Drain, FleetName::LooRound, 2);
    assert_ne!(first.rows, second.rows);
}

/// Guards against capacity leases that accept more than the limit.
#[test]
fn leases_never_overshoot() {
    let report = quick(ExperimentName::Limits, FleetName::LooRound, 1);
    let leases = report.limits.iter().filter(|row| row.method == "lease");
    for row in leases {
        assert!(row.overshoot < 0.01, "{row:?}");
    }
}

fn check_option(text: &str, valid: bool) {
    assert_eq!(text.parse::<ExperimentName>().is_ok(), valid);
}

// Guards against an unknown experiment name that runs another experiment.
usher_types::cases! { check_option:
    known_experiment("crest", true);
    all_experiments("all", true);
    unknown_experiment("crests", false);
    empty_experiment("", false);
}
