//! Tests that routing never sends work to a target that must not get it.

use std::time;

use usher_policy::{CallRequest, EntryPolicy, NoRoute, RegistryChange, RouteSettings, TargetInfo};
use usher_types::{TargetName, TokenCount};

fn policy(infos: Vec<TargetInfo>) -> EntryPolicy {
    let mut policy = EntryPolicy::new(RouteSettings::new("south-a"));
    for info in infos {
        policy.on_registry(RegistryChange::Put(info));
    }
    policy
}

fn engine(name: &str) -> TargetInfo {
    TargetInfo::engine(name, "assist", "south-a")
        .with_model("m")
        .with_pieces(64)
}

fn request(now: time::Instant) -> CallRequest {
    CallRequest::new("r", "assist", now)
        .with_model("m")
        .with_tokens(TokenCount::new(200), TokenCount::new(64))
}

/// Guards against new work on a target that is leaving.
#[test]
fn leaving_target_gets_no_work() {
    let now = time::Instant::now();
    let mut policy = policy(vec![engine("a"), engine("b").with_leaving(true)]);
    for _ in 0..200 {
        let decision = policy.choose(&request(now), now);
        let name = policy.table().name(decision.target.unwrap()).cloned();
        assert_eq!(name, Some(TargetName::new("a")));
    }
}

/// Guards against a late announcement that clears a leaving mark.
#[test]
fn late_announcement_keeps_leaving() {
    let now = time::Instant::now();
    let mut policy = policy(vec![engine("a")]);
    policy.on_registry(RegistryChange::Leaving(TargetName::new("a")));
    policy.on_registry(RegistryChange::Put(engine("a")));
    let decision = policy.choose(&request(now), now);
    assert_eq!(decision.target, Err(NoRoute::NoneAvailable));
}

/// Guards against sending a call that is larger than the memory of any engine.
#[test]
fn call_larger_than_memory_is_refused() {
    let now = time::Instant::now();
    let mut policy = policy(vec![engine("a")]);
    let large = request(now).with_tokens(TokenCount::new(65 * 1_024), TokenCount::new(1));
    let decision = policy.choose(&large, now);
    assert_eq!(decision.target, Err(NoRoute::NoneFits));
}
