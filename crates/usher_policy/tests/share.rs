//! Tests that fair shares stay bounded in memory and current while accounts come and go.

use std::time;

use usher_policy::FairShare;
use usher_types::{FirmName, TeamName};

fn team(number: usize) -> TeamName {
    TeamName::new(format!("team-{number}"))
}

/// Guards against memory that grows with every team name that callers invent.
#[test]
fn idle_teams_are_evicted() {
    let firm = FirmName::new("firm");
    let start = time::Instant::now();
    let mut share = FairShare::new();
    for number in 0..1_000 {
        share.on_demand(&firm, &team(number), 1.0, start);
    }
    share.set_team_weight(&firm, &team(0), 2.0, start);
    for second in 0..=140 {
        let now = start + time::Duration::from_secs(second);
        share.on_demand(&firm, &team(1), 1.0, now);
        share.overuse(&firm, &team(1), now);
    }
    // The team with a configured weight and the team in use remain.
    assert_eq!(share.team_count(), 2);
}

/// Guards against a share that is computed once and kept while the usage changes.
#[test]
fn share_follows_usage_within_a_second() {
    let (one, two) = (FirmName::new("one"), FirmName::new("two"));
    let start = time::Instant::now();
    let mut share = FairShare::new();
    for firm in [&one, &two] {
        share.on_demand(firm, &team(0), 100.0, start);
        share.on_accepted(firm, &team(0), 10.0, start);
    }
    let even = share.overuse(&one, &team(0), start);
    assert!(
        (even - 1.0).abs() < 0.05,
        "overuse at equal usage is {even}"
    );
    let later = start + time::Duration::from_secs(1);
    // Of the 40 in total, each firm requested more than its half.
    share.on_accepted(&one, &team(0), 20.0, later);
    assert!(share.overuse(&one, &team(0), later) > 1.3);
    assert!(share.overuse(&two, &team(0), later) < 0.7);
}
