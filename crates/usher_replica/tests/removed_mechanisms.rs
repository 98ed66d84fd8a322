//! With a safety mechanism of the core disabled, the schedules find the violation that it prevents.

mod sim;

use sim::{run_schedules, FaultProfile};
use usher_consensus::CoreFaults;

/// Maximum number of schedules until one shows the violation.
const SCHEDULES: u64 = 6_000;

/// Runs schedules until one fails, and requires a violation that contains `expected`.
///
/// `first_seed` is slightly below a seed that shows the violation, to keep the test fast; any other
/// seed works as well.
fn expect_violation(profile: &FaultProfile, first_seed: u64, expected: &str) {
    let (counts, violations) = run_schedules(first_seed, SCHEDULES, profile, true);
    println!(
        "{} schedules, first violations: {violations:#?}",
        counts.schedules
    );
    let found = violations
        .iter()
        .any(|violation| violation.contains(expected));
    assert!(found, "no {expected:?} in {} schedules", counts.schedules);
}

/// Returns a profile with many crashes and few other faults.
fn crashes(core: CoreFaults) -> FaultProfile {
    FaultProfile {
        weights: [12, 0, 1, 2, 1, 0, 4],
        fault_every_ms: 400,
        spares: 0,
        repair: false,
        core,
        ..FaultProfile::default()
    }
}

/// Guards against an ineffective election check: vote replies are sent before they are durable.
#[test]
fn vote_before_write_elects_two_leaders() {
    let core = CoreFaults {
        vote_before_write: true,
        ..CoreFaults::default()
    };
    expect_violation(&crashes(core), 1180, "election safety");
}

/// Guards against an ineffective durability check: entries are acknowledged before they are
/// durable.
#[test]
fn acknowledge_before_write_loses_accepted_commands() {
    let core = CoreFaults {
        acknowledge_before_write: true,
        ..CoreFaults::default()
    };
    expect_violation(&crashes(core), 1, "leader completeness");
}

/// Guards against an ineffective promotion check: learners are promoted before they catch up.
#[test]
fn promotion_of_a_learner_that_is_behind_is_found() {
    let core = CoreFaults {
        promote_behind: true,
        ..CoreFaults::default()
    };
    let profile = FaultProfile {
        core,
        ..FaultProfile::default()
    };
    expect_violation(&profile, 1410, "promotion");
}

/// Guards against an ineffective lease check: the lease ignores clock drift.
#[test]
fn lease_without_drift_bound_overlaps() {
    let core = CoreFaults {
        lease_without_drift: true,
        ..CoreFaults::default()
    };
    let profile = FaultProfile {
        weights: [1, 0, 2, 8, 4, 0, 0],
        spares: 0,
        repair: false,
        core,
        ..FaultProfile::default()
    };
    expect_violation(&profile, 1_380, "lease exclusivity");
}

/// Guards against an ineffective lease check: votes are granted despite recent contact with a
/// leader.
#[test]
fn vote_under_a_lease_overlaps() {
    let core = CoreFaults {
        vote_under_lease: true,
        ..CoreFaults::default()
    };
    let profile = FaultProfile {
        weights: [1, 0, 1, 4, 8, 0, 0],
        spares: 0,
        repair: false,
        core,
        ..FaultProfile::default()
    };
    expect_violation(&profile, 400, "lease exclusivity");
}

/// Guards against an ineffective identity check: a wiped node votes under its old name.
#[test]
fn identity_by_name_only_loses_accepted_commands() {
    let core = CoreFaults {
        name_only: true,
        ..CoreFaults::default()
    };
    let profile = FaultProfile {
        weights: [4, 8, 1, 3, 2, 0, 0],
        fault_every_ms: 500,
        spares: 0,
        repair: false,
        core,
        ..FaultProfile::default()
    };
    expect_violation(&profile, 1, "leader completeness");
}
