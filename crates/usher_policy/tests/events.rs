//! Tests how the policies handle late, missing and repeated events.

use std::time;

use usher_policy::{
    CacheEvent, CacheEventKind, CallRequest, CapacityLease, EntryPolicy, FailureKind, LoadReport,
    PromptPrefix, RegistryChange, RetryBudget, RetryDecision, RetryPolicy, RouteSettings,
    ShareGrant, TargetInfo,
};
use usher_types::{PieceCount, TargetName, TokenCount};

const STEP: time::Duration = time::Duration::from_millis(100);

fn policy(engines: usize) -> EntryPolicy {
    let mut policy = EntryPolicy::new(RouteSettings::new("south-a"));
    for at in 0..engines {
        let info = TargetInfo::engine(&format!("e-{at}"), "assist", "south-a").with_pieces(384);
        policy.on_registry(RegistryChange::Put(info));
    }
    policy
}

fn short(now: time::Instant) -> CallRequest {
    CallRequest::new("r", "assist", now).with_tokens(TokenCount::new(300), TokenCount::new(100))
}

fn event(seq: u64, kind: CacheEventKind, hash: u64) -> CacheEvent {
    CacheEvent { seq, kind, hash }
}

/// Guards against counting own work twice because a late report contains it as well.
#[test]
fn late_report_does_not_count_own_work_twice() {
    let now = time::Instant::now();
    let mut policy = policy(1);
    let slot = policy.table().slot_of(&TargetName::new("e-0")).unwrap();
    for _ in 0..5 {
        policy.on_sent(&short(now), slot, now);
    }
    let report = LoadReport {
        taken_at: now + STEP,
        running: 5,
        waiting: 0,
        prefill_waiting: TokenCount::new(1_500),
        pieces_used: PieceCount::new(5),
    };
    policy.on_report(&TargetName::new("e-0"), &report);
    let load = policy.table().load(slot);
    assert!((load.calls - 5.0).abs() < 1e-9, "{load:?}");
    assert!((load.prefill() - 1_500.0).abs() < 1e-9, "{load:?}");
}

/// Guards against an older report that replaces a newer one.
#[test]
fn older_report_is_ignored() {
    let now = time::Instant::now();
    let mut policy = policy(1);
    let name = TargetName::new("e-0");
    let report = |taken_at, running| LoadReport {
        taken_at,
        running,
        waiting: 0,
        prefill_waiting: TokenCount::new(0),
        pieces_used: PieceCount::new(0),
    };
    policy.on_report(&name, &report(now + STEP, 7));
    policy.on_report(&name, &report(now, 50));
    let slot = policy.table().slot_of(&name).unwrap();
    assert!((policy.table().load(slot).calls - 7.0).abs() < 1e-9);
}

/// Guards against an unnoticed gap in the cache events, and against a gap that remains after a
/// complete listing.
#[test]
fn gap_in_cache_events_asks_for_a_listing() {
    let mut policy = policy(1);
    let name = TargetName::new("e-0");
    assert!(policy.on_cache_events(&name, &[event(1, CacheEventKind::Add, 9)], 2));
    assert!(!policy.on_cache_events(&name, &[event(4, CacheEventKind::Add, 8)], 5));
    policy.on_cache_listing(&name, &[8], 5);
    assert!(policy.on_cache_events(&name, &[event(5, CacheEventKind::Evict, 8)], 6));
}

/// Guards against lost events at the end of a delivery, which no later number reveals.
#[test]
fn empty_delivery_with_a_higher_number_is_a_gap() {
    let mut policy = policy(1);
    let name = TargetName::new("e-0");
    assert!(policy.on_cache_events(&name, &[event(1, CacheEventKind::Add, 9)], 2));
    assert!(!policy.on_cache_events(&name, &[], 4));
}

/// Guards against a redelivered event that undoes a newer one.
#[test]
fn repeated_event_changes_nothing() {
    let now = time::Instant::now();
    let mut policy = policy(2);
    let name = TargetName::new("e-0");
    let add = event(1, CacheEventKind::Add, 9);
    policy.on_cache_events(&name, &[add, event(2, CacheEventKind::Evict, 9)], 3);
    policy.on_cache_events(&name, &[add], 3);
    let prefix = PromptPrefix {
        hash: 9,
        tokens: TokenCount::new(200),
    };
    let decision = policy.choose(&short(now).with_prefixes(vec![prefix]), now);
    assert!(decision.candidates.iter().all(|c| c.hit_tokens == 0.0));
}

/// Guards against prefilling a prompt again although an idle engine has its prefix cached.
#[test]
fn idle_holder_of_a_long_prefix_is_chosen() {
    let now = time::Instant::now();
    let mut policy = policy(8);
    let name = TargetName::new("e-5");
    policy.on_cache_events(&name, &[event(1, CacheEventKind::Add, 77)], 2);
    let prefix = PromptPrefix {
        hash: 77,
        tokens: TokenCount::new(6_000),
    };
    let request = CallRequest::new("r", "assist", now)
        .with_tokens(TokenCount::new(6_400), TokenCount::new(100))
        .with_prefixes(vec![prefix]);
    for _ in 0..20 {
        let decision = policy.choose(&request, now);
        assert_eq!(policy.table().name(decision.target.unwrap()), Some(&name));
    }
}

/// Guards against a slow target that keeps its work, and against one that never regains any.
#[test]
fn slow_target_loses_work_and_recovers_by_probes() {
    let mut now = time::Instant::now();
    let mut policy = policy(6);
    let slots: Vec<_> = (0..6)
        .map(|at| {
            policy
                .table()
                .slot_of(&TargetName::new(format!("e-{at}")))
                .unwrap()
        })
        .collect();
    let attempts: Vec<_> = slots
        .iter()
        .map(|slot| policy.on_sent(&short(now), *slot, now))
        .collect();
    for id in &attempts {
        policy.on_first_token(*id, now);
    }
    // The first engine takes 100 ms for a token, the others 15 ms.
    for step in 1..=200_u64 {
        now += time::Duration::from_millis(15);
        for (at, id) in attempts.iter().enumerate() {
            if at > 0 {
                policy.on_progress(*id, step + 1, now);
            } else if step.is_multiple_of(7) {
                policy.on_progress(*id, step / 7 + 1, now);
            }
        }
    }
    let mut probed = false;
    for _ in 0..100 {
        now += STEP;
        let request = short(now);
        let decision = policy.choose(&request, now);
        policy.admit(&request, &decision, now);
        assert_ne!(decision.target, Ok(slots[0]));
        probed |= decision.probe == Some(slots[0]);
    }
    assert!(policy.table().detector().is_slow(slots[0]));
    assert!(probed, "the slow target got no probe within 10 s");
}

fn check_retry(idempotent: bool, kind: FailureKind, delivered: u64, expected: RetryDecision) {
    let now = time::Instant::now();
    let mut budget = RetryBudget::new();
    for _ in 0..50 {
        budget.on_call();
    }
    let mut request = short(now);
    request.idempotent = idempotent;
    request.delivered = TokenCount::new(delivered);
    let decision = RetryPolicy.decide(&request, kind, 1, &mut budget, now);
    assert_eq!(decision, expected);
}

// Guards against running a call twice, and against reporting it as not run although it may have
// run.
usher_types::cases! { check_retry:
    unsent_call_is_retried(false, FailureKind::NotSent, 0, RetryDecision::Retry);
    refused_call_is_retried(false, FailureKind::Refused, 0, RetryDecision::Retry);
    broken_call_that_is_not_idempotent_is_unknown(false, FailureKind::Broken, 0, RetryDecision::FailUnknown);
    broken_idempotent_call_is_retried(true, FailureKind::Broken, 0, RetryDecision::Retry);
    broken_stream_is_resumed(true, FailureKind::Broken, 12, RetryDecision::Resume);
}

/// Guards against a lease that continues in full after contact with the control node is lost, and
/// against one that then stops all work.
#[test]
fn expired_lease_keeps_a_reduced_rate() {
    let start = time::Instant::now();
    let mut lease = CapacityLease::new();
    let until = start + time::Duration::from_secs(3);
    lease.on_grant(ShareGrant { rate: 100.0, until }, start);
    let count = |lease: &mut CapacityLease, from: u64| {
        let steps = (0..2_000).map(|step| start + time::Duration::from_millis(from + step));
        steps.filter(|now| lease.try_take(1.0, *now)).count()
    };
    assert!((190..=260).contains(&count(&mut lease, 0)));
    let after = count(&mut lease, 10_000);
    assert!(
        (15..=30).contains(&after),
        "the expired lease accepted {after} calls in 2 s"
    );
}
