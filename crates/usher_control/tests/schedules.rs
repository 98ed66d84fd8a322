//! Tests with random schedules in virtual time: the staleness limit of routing rights, and the
//! floor of a plan.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use usher_control::plan;
use usher_wire::message;

/// Returns the number of schedules to run: `USHER_SCHEDULES` from the environment, or by default a
/// number that suits CI.
fn schedule_count() -> u64 {
    let text = std::env::var("USHER_SCHEDULES").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(200)
}

/// SplitMix64 generator, so that a seed gives the same schedule on every platform.
struct SeededRng(u64);

impl SeededRng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

/// A relaying node: its lag, its connection to the leader, and the answers in flight.
struct Relay {
    issuer: plan::RightIssuer,
    applied: u64,
    lag_ms: u64,
    connected: bool,
    answers: Vec<(u64, u64, u64)>,
}

#[derive(Clone, Copy, Default)]
struct Entry {
    version: u64,
    right_until: u64,
}

/// Simulates 30 s in steps of 50 ms. Returns the longest time in milliseconds after a change during
/// which an entry held a right without knowing the change.
fn worst_age(seed: u64, make_issuer: fn() -> plan::RightIssuer) -> u64 {
    let mut rng = SeededRng(seed);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    // Index n is committed at changes[n - 1].
    let mut changes: Vec<u64> = Vec::new();
    let mut relays: Vec<_> = (0..3)
        .map(|_| Relay {
            issuer: make_issuer(),
            applied: 0,
            lag_ms: 0,
            connected: true,
            answers: Vec::new(),
        })
        .collect();
    let mut entries = [Entry::default(); 4];
    let mut worst = 0;
    for now in (0..30_000).step_by(50) {
        if rng.below(20) == 0 {
            changes.push(now);
        }
        let commit = changes.len() as u64;
        for relay in &mut relays {
            if rng.below(100) == 0 {
                relay.lag_ms = [0, 150, 2_000, 8_000][rng.below(4) as usize];
            }
            if rng.below(60) == 0 {
                relay.connected = !relay.connected;
            }
            let known = changes
                .iter()
                .filter(|change| **change + relay.lag_ms <= now);
            relay.applied = relay.applied.max(known.count() as u64);
            if relay.connected && rng.below(5) == 0 {
                // The leader reads its commit index when the request arrives.
                relay.answers.push((now + rng.below(10) * 50, now, commit));
            }
            let arrived = relay.answers.extract_if(.., |(due, _, _)| *due <= now);
            for (_, sent, commit) in arrived {
                relay.issuer.confirm(at(sent), commit);
            }
        }
        for entry in &mut entries {
            if rng.below(10) == 0 {
                let relay = &relays[rng.below(3) as usize];
                let sent = now.saturating_sub(rng.below(6) * 50);
                let right = relay.issuer.right(at(now), relay.applied);
                if relay.applied >= entry.version {
                    entry.version = relay.applied;
                    let until = sent + right.as_millis() as u64;
                    entry.right_until = entry.right_until.max(until);
                }
            }
            if let Some(missed) = changes.get(entry.version as usize) {
                if entry.right_until > now {
                    worst = worst.max(now - missed);
                }
            }
        }
    }
    worst
}

/// Guards against an entry that starts new calls without knowing a change that was accepted more
/// than 4 s ago (1 s for the confirmation and 3 s for the right), whatever lags or is disconnected.
#[test]
fn rights_without_a_change_end_in_time() {
    let limit = (plan::MAX_CONFIRMATION_AGE + plan::RIGHT_DURATION).as_millis() as u64;
    for seed in 0..schedule_count() {
        let worst = worst_age(seed, plan::RightIssuer::new);
        assert!(worst <= limit, "seed {seed}: {worst} ms");
    }
}

/// Verifies that the test above detects the fault: without the comparison with the leader's commit
/// index, a lagging node renews rights with an old state.
#[test]
fn lagging_node_without_the_commit_check_is_caught() {
    let limit = (plan::MAX_CONFIRMATION_AGE + plan::RIGHT_DURATION).as_millis() as u64;
    let caught = |seed| worst_age(seed, plan::RightIssuer::without_commit_check) > limit;
    assert!((0..20).any(caught));
}

/// Plans orders for a random fleet until none is left; returns whether a row fell below its floor.
fn falls_below_floor(seed: u64, keep_floor: bool) -> bool {
    let mut rng = SeededRng(seed);
    let floor = rng.below(4);
    let sheet = format!(
        "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n\
         assist,engine,south-a,gum,2,,{},0..2,1..6,{floor}\n",
        rng.below(3)
    );
    let Ok(sheet) = usher_config::FleetSheet::parse(&sheet) else {
        return false;
    };
    let mut targets: Vec<_> = (0..rng.below(8))
        .map(|number| message::TargetRecord {
            name: format!("e{number}"),
            incarnation: 1,
            kind: "engine".to_owned(),
            service: "assist".to_owned(),
            region: "south-a".to_owned(),
            leaving: rng.below(8) == 0,
            shape: Some(message::EngineShape {
                model: ["", "gum", "gum", "old"][rng.below(4) as usize].to_owned(),
                version: (1 + rng.below(2)).to_string(),
                adapters: Vec::new(),
                role: ["mixed", "prefill", "decode"][rng.below(3) as usize].to_owned(),
            }),
            ..message::TargetRecord::default()
        })
        .collect();
    let rules = plan::PlanRules {
        keep_floor,
        ..plan::PlanRules::new(1 + rng.below(3) as usize)
    };
    let serves = |target: &&message::TargetRecord| {
        !target.leaving
            && target
                .shape
                .as_ref()
                .is_some_and(|shape| !shape.model.is_empty())
    };
    let mut busy = BTreeSet::new();
    for _ in 0..60 {
        let view = plan::FleetView {
            sheet: &sheet,
            targets: &targets,
            busy: &busy,
            backing_off: &BTreeSet::new(),
        };
        let serving = |busy: &BTreeSet<String>| {
            let free = targets.iter().filter(|one| !busy.contains(&one.name));
            free.filter(serves).count() as u64
        };
        let before = serving(&busy);
        let planned = plan::plan_fleet(view, rules);
        busy.extend(planned.iter().map(|order| order.intent.engine.clone()));
        let after = serving(&busy);
        if after < before && after < floor {
            return true;
        }
        // One of the orders ends; sometimes the engine restarts without a model instead.
        let Some(name) = busy.pop_first() else {
            return false;
        };
        let order = planned.iter().find(|order| order.intent.engine == name);
        let target = targets.iter_mut().find(|one| one.name == name);
        if let (Some(order), Some(target)) = (order, target) {
            target.shape = order.intent.shape.clone();
            if rng.below(10) == 0 {
                target.shape = None;
            }
        }
    }
    false
}

/// Guards against orders that take more engines out of service than the floor allows.
#[test]
fn plans_never_fall_below_the_floor() {
    for seed in 0..schedule_count() {
        assert!(!falls_below_floor(seed, true), "seed {seed}");
    }
    assert_eq!(usher_types::violation_count(), 0);
}

/// Verifies that the invariant detects a plan that ignores the floor.
#[test]
fn plan_without_the_floor_is_caught() {
    assert!((0..100).any(|seed| falls_below_floor(seed, false)));
    assert!(usher_types::violation_count() > 0);
}
