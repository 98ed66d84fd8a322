//! A call is sent again only when that can't run it twice and the shared budget allows it.

use std::time;

use usher_place::{AgainDecision, AgainPolicy, RepeatBudget};
use usher_route::{RepeatKind, RouteRule};

fn route(kind: RepeatKind, attempts: u32) -> RouteRule {
    RouteRule {
        name: "route".to_owned(),
        host: "desk.example".to_owned(),
        prefix: "/".to_owned(),
        kind,
        timeout: time::Duration::from_secs(4),
        objective: time::Duration::from_millis(500),
        longest_pause: None,
        priority: 0,
        services: Vec::new(),
        attempts,
    }
}

fn decide(kind: RepeatKind, attempts: u32, sends: u32, runs: u32, left_ms: u64) -> AgainDecision {
    let route = route(kind, attempts);
    let mut budget = RepeatBudget::new(0.2, 50.0);
    budget.set_gateways(1);
    let left = time::Duration::from_millis(left_ms);
    let policy = AgainPolicy {
        sends,
        reached: true,
        runs,
        left,
    };
    policy.decide(&route, &mut budget)
}

/// A crash of many engines, while 90 gateways share the budget. Guards against calls that are refused
/// for want of it although no engine has seen them.
#[test]
fn target_that_is_not_reached_costs_no_budget() {
    let mut budget = RepeatBudget::new(0.2, 10.0);
    budget.set_gateways(90);
    while budget.take() {}
    let policy = AgainPolicy {
        sends: 0,
        reached: false,
        runs: 0,
        left: time::Duration::from_secs(3),
    };
    let route = route(RepeatKind::Once, 1);
    assert_eq!(policy.decide(&route, &mut budget), AgainDecision::Again);
    let reached = AgainPolicy {
        sends: 1,
        reached: true,
        ..policy
    };
    assert_eq!(
        reached.decide(&route, &mut budget),
        AgainDecision::RefuseNotRun
    );
}

fn check(
    kind: RepeatKind,
    attempts: u32,
    sends: u32,
    runs: u32,
    left_ms: u64,
    expected: AgainDecision,
) {
    assert_eq!(decide(kind, attempts, sends, runs, left_ms), expected);
}

usher_types::cases! { check:
    /// Guards against a call that is refused although no target has seen it.
    once_not_run(RepeatKind::Once, 1, 1, 0, 3_000, AgainDecision::Again);
    /// Guards against a second run of a call that may run once.
    once_may_have_run(RepeatKind::Once, 2, 1, 1, 3_000, AgainDecision::FailUnknown);
    stream_may_have_run(RepeatKind::Stream, 2, 1, 1, 3_000, AgainDecision::FailUnknown);
    repeatable_failed(RepeatKind::Repeatable, 2, 1, 1, 3_000, AgainDecision::Again);
    resumable_broke(RepeatKind::ResumableStream, 2, 1, 1, 3_000, AgainDecision::Again);
    /// Guards against more runs than the route allows.
    attempts_used(RepeatKind::Repeatable, 2, 2, 2, 3_000, AgainDecision::FailUnknown);
    /// Guards against refusals that draw on the budget without end.
    sends_used(RepeatKind::Once, 1, 3, 0, 3_000, AgainDecision::RefuseNotRun);
    /// Guards against sends that can't bring an answer any more.
    no_time(RepeatKind::Repeatable, 2, 1, 0, 20, AgainDecision::RefuseNotRun);
}

/// Guards against a budget of one gateway that is multiplied by their number: 90 gateways share it.
#[test]
fn gateways_share_the_slack() {
    let all: usize = (0..90)
        .map(|_| {
            let mut budget = RepeatBudget::new(0.2, 220.0);
            budget.set_gateways(90);
            (0..1_000).filter(|_| budget.take()).count()
        })
        .sum();
    assert!(all <= 220, "{all}");
}

/// Guards against extra sends beyond the share of the calls once the slack is used.
#[test]
fn calls_give_back_a_share() {
    let mut budget = RepeatBudget::new(0.2, 10.0);
    budget.set_gateways(1);
    while budget.take() {}
    let extra = (0..1_000)
        .filter(|_| {
            budget.on_call();
            budget.take()
        })
        .count();
    assert!((100..=200).contains(&extra), "{extra}");
}
