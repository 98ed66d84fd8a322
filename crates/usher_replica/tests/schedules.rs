//! Randomised schedules of a group of replicas in virtual time; prints counts of what happened.
//!
//! `USHER_SCHEDULES=10000 USHER_SEED=1 cargo test --release -p usher_replica --test schedules -- --nocapture`
//! runs more of them. A failing schedule prints its seed.

mod sim;

use sim::{run_schedules, FaultProfile};

fn number(name: &str, fallback: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(fallback, |text| text.parse().expect("an integer"))
}

/// Runs schedules with a profile and requires that no check fails. Each of the three tests runs
/// `1 / share` of the schedules.
fn check(profile: &FaultProfile, share: u64, seed: u64) {
    let schedules = number("USHER_SCHEDULES", 300).div_ceil(share);
    let first = number("USHER_SEED", seed);
    let (counts, violations) = run_schedules(first, schedules, profile, false);
    println!("{counts:#?}");
    let shown: Vec<_> = violations.iter().take(5).collect();
    assert!(
        violations.is_empty(),
        "{} violations: {shown:#?}",
        violations.len()
    );
    assert!(counts.commands > 0 && counts.reads > 0 && counts.leader_changes > 0);
}

/// Guards against violated guarantees under all faults, with three voters and two spares.
#[test]
fn three_voters_with_spares() {
    check(&FaultProfile::default(), 2, 1);
}

/// Guards against violated guarantees under all faults, with five voters and one spare.
#[test]
fn five_voters_with_a_spare() {
    let profile = FaultProfile {
        voters: 5,
        spares: 1,
        ..FaultProfile::default()
    };
    check(&profile, 3, 1_000_001);
}

/// Guards against violated guarantees when the membership never changes.
#[test]
fn three_voters_without_repair() {
    let profile = FaultProfile {
        spares: 0,
        repair: false,
        ..FaultProfile::default()
    };
    check(&profile, 6, 2_000_001);
}
