//! Property tests of invariants that the policies keep under any sequence of events.

use std::time;

use proptest::prelude::{any, prop, proptest, Strategy};
use proptest::{prop_assert, prop_assert_eq};
use usher_policy::{
    divide_capacity, max_min_shares, CacheEvent, CacheEventKind, CallRequest, FailureKind,
    LoadReport, PrefixMap, RegistryChange, RetryBudget, RoleCounts, RoleLimits, RolePolicy,
    RoleRates, RoutePolicy, RouteSettings, SlowDetector, TargetInfo, TargetSlot, TargetTable,
};
use usher_types::{EngineRole, PieceCount, TargetName, TokenCount};

/// Event that may happen to a target between decisions.
#[derive(Clone, Debug)]
enum Step {
    Leave(usize),
    Suspect(usize),
    Return(usize),
    Report(usize, u32, u64),
    Call(u64, u64),
    Fail(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let target = 0..6_usize;
    proptest::prop_oneof![
        target.clone().prop_map(Step::Leave),
        target.clone().prop_map(Step::Suspect),
        target.clone().prop_map(Step::Return),
        (target.clone(), 0..90_u32, 0..500_u64)
            .prop_map(|(at, run, used)| Step::Report(at, run, used)),
        (1..70_000_u64, 1..3_000_u64).prop_map(|(prompt, output)| Step::Call(prompt, output)),
        target.prop_map(Step::Fail),
    ]
}

fn name(at: usize) -> TargetName {
    TargetName::new(format!("e-{at}"))
}

fn info(at: usize, incarnation: u64) -> TargetInfo {
    let region = if at.is_multiple_of(2) {
        "south-a"
    } else {
        "north-a"
    };
    // The memory sizes differ, so that some calls fit only on some targets.
    let mut info = TargetInfo::engine(name(at).as_str(), "assist", region)
        .with_model(if at == 5 { "other" } else { "m" })
        .with_pieces(8 + 8 * at as u64);
    info.incarnation = usher_types::IncarnationId::new(incarnation);
    info
}

proptest! {
    /// Guards against work on a target that is leaving, suspect, has another model or too little
    /// memory.
    #[test]
    fn chosen_target_is_always_fit(steps in prop::collection::vec(step(), 1..60), seed in any::<u64>()) {
        let mut now = time::Instant::now();
        let mut table = TargetTable::new(RouteSettings::new("south-a"));
        let mut policy = RoutePolicy::new(seed);
        let mut available = [true; 6];
        let mut incarnations = [1_u64; 6];
        let mut attempts = Vec::new();
        for at in 0..6 {
            table.on_registry(RegistryChange::Put(info(at, 1)));
        }
        for step in steps {
            now += time::Duration::from_millis(50);
            match step {
                Step::Leave(at) => {
                    available[at] = false;
                    table.on_registry(RegistryChange::Leaving(name(at)));
                }
                Step::Suspect(at) => {
                    available[at] = false;
                    table.on_registry(RegistryChange::Suspect(name(at)));
                }
                Step::Return(at) => {
                    available[at] = true;
                    incarnations[at] += 1;
                    table.on_registry(RegistryChange::Put(info(at, incarnations[at])));
                }
                Step::Report(at, running, used) => {
                    let report = LoadReport {
                        taken_at: now,
                        running,
                        waiting: running / 4,
                        prefill_waiting: TokenCount::new(used * 10),
                        pieces_used: PieceCount::new(used),
                    };
                    table.on_report(&name(at), &report);
                }
                Step::Fail(at) => {
                    if let Some(id) = attempts.get(at) {
                        table.on_failed(*id, FailureKind::Broken, now);
                    }
                }
                Step::Call(prompt, output) => {
                    let request = CallRequest::new("r", "assist", now)
                        .with_model("m")
                        .with_tokens(TokenCount::new(prompt), TokenCount::new(output));
                    let decision = policy.choose(&request, &mut table, now);
                    let Ok(slot) = decision.target else { continue };
                    let chosen = table.info(slot).unwrap();
                    let at: usize = chosen.name.as_str()[2..].parse().unwrap();
                    prop_assert!(available[at], "{} must not get work", chosen.name);
                    prop_assert!(request.pieces() <= chosen.pieces);
                    prop_assert_eq!(chosen.model.as_ref(), request.model.as_ref());
                    attempts.push(table.on_sent(&request, slot, now));
                }
            }
        }
    }

    /// Guards against capacity that is assigned twice, or withheld while there is demand for it.
    #[test]
    fn fair_parts_sum_up(capacity in 0.0..1e6_f64, demands in prop::collection::vec((0.0..1e5_f64, 0.1..10.0_f64), 1..40)) {
        let parts = max_min_shares(capacity, &demands);
        let asked: f64 = demands.iter().map(|(demand, _)| demand).sum();
        let given: f64 = parts.iter().sum();
        prop_assert!((given - capacity.min(asked)).abs() <= 1e-6 * capacity.max(1.0));
        for (part, (demand, _)) in parts.iter().zip(&demands) {
            prop_assert!(*part <= *demand);
        }
    }

    /// Guards against an account that gets less per weight than another although it has more
    /// demand.
    #[test]
    fn fair_parts_are_envy_free(capacity in 1.0..1e4_f64, demands in prop::collection::vec((0.0..1e4_f64, 0.1..10.0_f64), 2..20)) {
        let parts = max_min_shares(capacity, &demands);
        for (mine, (demand, weight)) in parts.iter().zip(&demands) {
            let satisfied = *mine >= demand - 1e-6;
            for (other, (_, other_weight)) in parts.iter().zip(&demands) {
                prop_assert!(satisfied || mine / weight >= other / other_weight - 1e-6);
            }
        }
    }

    /// Guards against entry shares that exceed the capacity in sum.
    #[test]
    fn divided_capacity_sums_up(capacity in 0.0..1e6_f64, demands in prop::collection::vec(0.0..1e5_f64, 1..400)) {
        let rates = divide_capacity(capacity, &demands);
        let given: f64 = rates.iter().sum();
        prop_assert!((given - capacity).abs() <= 1e-6 * capacity.max(1.0));
        prop_assert!(rates.iter().all(|rate| *rate >= 0.0));
    }

    /// Guards against retries and hedges above a tenth of the calls, in any order of events.
    #[test]
    fn budget_is_never_exceeded(takes in prop::collection::vec(0..6_u32, 1..400)) {
        let mut budget = RetryBudget::new();
        let (mut calls, mut extra) = (0_u32, 0_u32);
        for wanted in takes {
            budget.on_call();
            calls += 1;
            for _ in 0..wanted {
                extra += u32::from(budget.try_take());
            }
            prop_assert!(f64::from(extra) <= 0.1 * f64::from(calls));
        }
    }

    /// Guards against excluding a region in which all targets are slow.
    #[test]
    fn slow_detector_removes_at_most_a_third(
        ratios in prop::collection::vec(prop::collection::vec(0.1..50.0_f64, 1..12), 1..4),
    ) {
        let mut now = time::Instant::now();
        let mut table = TargetTable::new(RouteSettings::new("r0"));
        let mut groups: Vec<Vec<TargetSlot>> = Vec::new();
        for (region, targets) in ratios.iter().enumerate() {
            let mut group = Vec::new();
            for at in 0..targets.len() {
                let text = format!("t-{region}-{at}");
                let info = TargetInfo::engine(&text, "assist", &format!("r{region}"));
                table.on_registry(RegistryChange::Put(info));
                group.push(table.slot_of(&TargetName::new(text)).unwrap());
            }
            groups.push(group);
        }
        let mut detector = SlowDetector::new();
        for _ in 0..40 {
            now += time::Duration::from_millis(100);
            for (group, targets) in groups.iter().zip(&ratios) {
                for (slot, ratio) in group.iter().zip(targets) {
                    detector.observe(*slot, *ratio, true, now);
                }
            }
            for (weights, group) in detector.weights(&groups, now).iter().zip(&groups) {
                let taken = weights.iter().map(|weight| 1.0 - weight).sum::<f64>();
                prop_assert!(taken <= group.len() as f64 / 3.0 + 1e-9);
                prop_assert!(weights.iter().all(|weight| *weight > 0.0));
            }
        }
    }

    /// Guards against a map that keeps evicted prefixes or loses cached ones when no event is
    /// missing.
    #[test]
    fn prefix_map_follows_complete_events(kinds in prop::collection::vec((any::<bool>(), 0..8_u64), 0..80)) {
        let mut table = TargetTable::new(RouteSettings::new("r"));
        table.on_registry(RegistryChange::Put(TargetInfo::engine("e", "s", "r")));
        let slot = table.slot_of(&TargetName::new("e")).unwrap();
        let mut map = PrefixMap::default();
        let mut cached = std::collections::BTreeSet::new();
        for (at, (add, hash)) in kinds.iter().enumerate() {
            let kind = if *add { CacheEventKind::Add } else { CacheEventKind::Evict };
            let seq = at as u64 + 1;
            let event = CacheEvent { seq, kind, hash: *hash };
            prop_assert!(map.apply(slot, &[event], seq + 1));
            if *add { cached.insert(*hash); } else { cached.remove(hash); }
        }
        for hash in 0..8 {
            let prefix = usher_policy::PromptPrefix { hash, tokens: TokenCount::new(64) };
            let found = map.hit_tokens(slot, &[prefix]) > 0.0;
            prop_assert_eq!(found, cached.contains(&hash));
        }
    }

    /// Guards against role changes outside the limits of the sheet, under any demand.
    #[test]
    fn roles_stay_within_the_sheet(demands in prop::collection::vec((0.0..2e5_f64, 0.0..4e4_f64), 1..120)) {
        let min = RoleCounts { prefill: 0, decode: 0, mixed: 3 };
        let max = RoleCounts { prefill: 4, decode: 4, mixed: 12 };
        let rates = RoleRates {
            prefill_alone: 11_000.0,
            prefill_mixed: 10_000.0,
            decode: 2_290.0,
            token_time: 0.028,
            token_goal: 0.079,
            change_seconds: 4.0,
        };
        let mut policy = RolePolicy::new(RoleLimits { min, max }, rates);
        let mut roles = [EngineRole::Mixed; 12];
        let mut now = time::Instant::now();
        let mut changes = Vec::new();
        for (prompt, output) in demands {
            now += time::Duration::from_secs(1);
            policy.observe(prompt, output, now);
            let counts = RoleCounts::of(roles.iter().copied());
            let Some(change) = policy.decide(now, counts) else { continue };
            let at = roles.iter().position(|role| *role == change.from);
            prop_assert!(at.is_some());
            roles[at.unwrap()] = change.to;
            changes.push(now);
            let after = RoleCounts::of(roles.iter().copied());
            prop_assert!(after.mixed >= min.mixed && after.prefill <= max.prefill);
            prop_assert!(after.decode <= max.decode);
            let recent = changes.iter().filter(|at| now - **at < time::Duration::from_secs(45));
            prop_assert!(recent.count() <= 2);
        }
    }
}
