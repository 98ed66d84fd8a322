//! Tests of the decision logic of the control daemon, with the time passed as an argument.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use usher_config::FleetSheet;
use usher_control::plan;
use usher_state::{OrderRecord, TargetRegistration};
use usher_wire::message::{self, OrderKind};

const HEADER: &str = "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n";

fn sheet(rows: &str) -> FleetSheet {
    FleetSheet::parse(&format!("{HEADER}{rows}")).unwrap()
}

fn engine(name: &str, model: &str, role: &str) -> message::TargetRecord {
    message::TargetRecord {
        name: name.to_owned(),
        incarnation: 1,
        kind: "engine".to_owned(),
        service: "assist".to_owned(),
        region: "south-a".to_owned(),
        shape: Some(message::EngineShape {
            model: model.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            role: role.to_owned(),
        }),
        ..message::TargetRecord::default()
    }
}

fn plan_once(
    sheet: &FleetSheet,
    targets: &[message::TargetRecord],
    per_service: usize,
) -> Vec<plan::PlannedOrder> {
    let (busy, backing_off) = (BTreeSet::new(), BTreeSet::new());
    let view = plan::FleetView {
        sheet,
        targets,
        busy: &busy,
        backing_off: &backing_off,
    };
    plan::plan_fleet(view, plan::PlanRules::new(per_service))
}

/// Applies planned orders one by one until none is left, and returns their number.
fn apply_all_orders(sheet: &FleetSheet, targets: &mut [message::TargetRecord]) -> usize {
    for count in 0..100 {
        let planned = plan_once(sheet, targets, 1);
        let Some(order) = planned.first() else {
            return count;
        };
        let wanted = order.intent.shape.clone().unwrap();
        let target = targets
            .iter_mut()
            .find(|one| one.name == order.intent.engine);
        let shape = target.unwrap().shape.as_mut().unwrap();
        match order.intent.kind() {
            OrderKind::Role => shape.role = wanted.role,
            _ => {
                shape.model = wanted.model;
                shape.version = wanted.version;
                for adapter in wanted.adapters {
                    shape.adapters.push(adapter);
                }
            }
        }
    }
    panic!("the plan still has orders after 100 of them");
}

/// Guards against more orders than the difference requires, and against a plan that oscillates.
fn check_order_count(rows: &str, engines: &[(&str, &str)], expected: usize) {
    let sheet = sheet(rows);
    let mut targets: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(number, (model, role))| engine(&format!("e{number}"), model, role))
        .collect();
    assert_eq!(apply_all_orders(&sheet, &mut targets), expected);
}

usher_types::cases! { check_order_count:
    nothing_to_do("assist,engine,south-a,gum,1,,0,0,2,1\n", &[("gum", "mixed"), ("gum", "mixed")], 0);
    one_load_per_wrong_engine(
        "assist,engine,south-a,gum,1,,0,0,3,1\n",
        &[("gum", "mixed"), ("old", "mixed"), ("", "mixed")],
        2
    );
    one_load_per_adapter("assist,engine,south-a,gum,1,a b,0,0,2,1\n", &[("gum", "mixed"); 2], 4);
    two_role_changes(
        "assist,engine,south-a,gum,1,,1,1,2,1\n",
        &[("gum", "mixed"); 4],
        2
    );
    surplus_role_moves_once(
        "assist,engine,south-a,gum,1,,1,0,1..3,1\n",
        &[("gum", "prefill"), ("gum", "prefill"), ("gum", "mixed")],
        1
    );
    too_few_engines_are_left_alone("assist,engine,south-a,gum,1,,0,0,4,1\n", &[("gum", "mixed")], 0);
    floor_stops_the_change("assist,engine,south-a,gum,1,,0,0,2,2\n", &[("old", "mixed"); 2], 0);
}

/// Guards against a plan that takes several engines of a service out of service at once.
#[test]
fn one_engine_per_service_at_a_time() {
    let sheet = sheet("assist,engine,south-a,gum,1,,0,0,4,1\n");
    let targets: Vec<_> = (0..4)
        .map(|number| engine(&format!("e{number}"), "old", "mixed"))
        .collect();
    assert_eq!(plan_once(&sheet, &targets, 1).len(), 1);
    // Three of four, because the floor is one engine.
    assert_eq!(plan_once(&sheet, &targets, 9).len(), 3);
    let busy = BTreeSet::from(["e2".to_owned()]);
    let backing_off = BTreeSet::new();
    let view = plan::FleetView {
        sheet: &sheet,
        targets: &targets,
        busy: &busy,
        backing_off: &backing_off,
    };
    assert!(plan::plan_fleet(view, plan::PlanRules::default()).is_empty());
}

/// Guards against a plan that counts a leaving engine as serving.
#[test]
fn leaving_engines_do_not_hold_the_floor() {
    let sheet = sheet("assist,engine,south-a,gum,1,,0,0,2,1\n");
    let mut targets = vec![engine("e0", "old", "mixed"), engine("e1", "old", "mixed")];
    targets[1].leaving = true;
    assert!(plan_once(&sheet, &targets, 1).is_empty());
}

fn order(kind: OrderKind, role: &str) -> OrderRecord {
    OrderRecord {
        fence: 7,
        intent: Some(message::OrderIntent {
            engine: "e0".to_owned(),
            incarnation: 1,
            kind: kind.into(),
            shape: engine("e0", "gum", role).shape,
            reason: String::new(),
        }),
        at_ms: 0,
    }
}

fn registration(incarnation: u64, gone: bool) -> TargetRegistration {
    TargetRegistration {
        record: message::TargetRecord {
            incarnation,
            ..engine("e0", "gum", "mixed")
        },
        gone,
        leaving_by: String::new(),
        changed_at: 1,
        retired: Vec::new(),
    }
}

fn reading(fence: u64, role: &str) -> plan::EngineReading {
    plan::EngineReading {
        fence,
        shape: engine("e0", "gum", role).shape.unwrap(),
        changing: false,
        draining: false,
        running: 0,
    }
}

/// Guards against an order that is sent twice, dropped or assumed to be done after an interruption.
fn check_step(
    target: TargetRegistration,
    reading: Option<plan::EngineReading>,
    sent: plan::SendState,
    expected: plan::OrderAction,
) {
    let order = order(OrderKind::Role, "decode");
    let step = plan::next_step(&order, Some(&target), reading.as_ref(), sent);
    assert_eq!(step.action, expected, "{}", step.detail);
}

usher_types::cases! { check_step:
    intent_without_send_is_sent(
        registration(1, false), Some(reading(3, "mixed")),
        plan::SendState::NotSent, plan::OrderAction::Send
    );
    sent_by_an_earlier_leader_is_completed(
        registration(1, false), Some(reading(7, "decode")),
        plan::SendState::NotSent, plan::OrderAction::Succeed
    );
    engine_without_fences_is_completed_by_its_state(
        registration(1, false), Some(reading(0, "decode")),
        plan::SendState::NotSent, plan::OrderAction::Succeed
    );
    changing_engine_is_waited_for(
        registration(1, false), Some(plan::EngineReading { changing: true, ..reading(7, "mixed") }),
        plan::SendState::NotSent, plan::OrderAction::Wait
    );
    unreachable_engine_is_waited_for(
        registration(1, false), None, plan::SendState::Sent, plan::OrderAction::Wait
    );
    sent_without_effect_fails(
        registration(1, false), Some(reading(7, "mixed")),
        plan::SendState::Sent, plan::OrderAction::Fail
    );
    higher_number_fails(
        registration(1, false), Some(reading(9, "mixed")),
        plan::SendState::NotSent, plan::OrderAction::Fail
    );
    refused_order_fails(
        registration(1, false), Some(reading(3, "mixed")),
        plan::SendState::Refused, plan::OrderAction::Fail
    );
    restarted_engine_fails(
        registration(2, false), Some(reading(0, "mixed")),
        plan::SendState::Sent, plan::OrderAction::Fail
    );
    gone_engine_fails(registration(1, true), None, plan::SendState::Sent, plan::OrderAction::Fail);
}

/// Guards against a drain that succeeds while a straggler is still running.
#[test]
fn drain_waits_for_stragglers() {
    let order = order(OrderKind::Drain, "mixed");
    let mut state = plan::EngineReading {
        draining: true,
        running: 1,
        ..reading(7, "mixed")
    };
    let target = registration(1, false);
    let step = plan::next_step(&order, Some(&target), Some(&state), plan::SendState::Sent);
    assert_eq!(step.action, plan::OrderAction::Wait);
    state.running = 0;
    let step = plan::next_step(&order, Some(&target), Some(&state), plan::SendState::Sent);
    assert_eq!(step.action, plan::OrderAction::Succeed);
}

/// Guards against the effect of a late order from a paused sender that persists on an engine
/// without fencing, and against corrections of engines that have restarted.
#[test]
fn differing_engine_is_corrected() {
    let last = order(OrderKind::Role, "decode").intent.unwrap();
    let found = plan::correction(
        &registration(1, false).record,
        &last,
        &reading(3, "prefill"),
    );
    assert_eq!(found.unwrap().shape.unwrap().role, "decode");
    assert!(
        plan::correction(&registration(1, false).record, &last, &reading(3, "decode")).is_none()
    );
    assert!(plan::correction(
        &registration(2, false).record,
        &last,
        &reading(3, "prefill")
    )
    .is_none());
}

fn identity(name: &str) -> message::NodeIdentity {
    message::NodeIdentity {
        name: name.to_owned(),
        incarnation: 1,
    }
}

fn presence(name: &str) -> message::EntryPresence {
    message::EntryPresence {
        entry: Some(identity(name)),
        ..message::EntryPresence::default()
    }
}

/// Guards against claims that become unknown while their entry may still send the call.
#[test]
fn entry_is_gone_only_when_its_right_has_expired() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut tracker = plan::EntryTracker::new();
    assert!(!tracker.is_gone("e", 1, at(60_000)), "not leading");
    tracker.reset(start);
    assert!(
        !tracker.is_gone("e", 1, at(4_500)),
        "a right from the previous leader may be valid"
    );
    assert!(tracker.is_gone("e", 1, at(4_600)));
    tracker.record_report(&identity("n1"), &[presence("e")], at(5_000));
    assert!(!tracker.is_gone("e", 1, at(9_500)));
    assert!(tracker.is_gone("e", 1, at(9_600)));
    assert!(!tracker.is_gone("e", 2, at(4_500)), "another incarnation");
    // A silent node may have renewed the right for 1 s after its last report.
    tracker.record_report(&identity("n2"), &[], at(8_000));
    assert!(!tracker.is_gone("e", 1, at(10_000)));
    assert!(tracker.is_gone("e", 1, at(12_600)));
    tracker.record_report(&identity("n2"), &[], at(12_900));
    assert!(tracker.is_gone("e", 1, at(13_000)), "n2 reports without e");
}

/// Guards against a configuration that is reported in force while an entry may still use an older
/// one.
#[test]
fn configuration_is_in_force_once_no_entry_can_be_behind() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let acting_on = |name: &str, version| message::EntryPresence {
        config_version: version,
        ..presence(name)
    };
    let node = identity("n1");
    let mut tracker = plan::EntryTracker::new();
    assert_eq!(tracker.rollout(at(0)), None, "not leading");
    tracker.reset(start);
    tracker.record_config(2, at(0));
    tracker.record_report(&node, &[acting_on("a", 2)], at(1_000));
    let rollout = |tracker: &plan::EntryTracker, ms| tracker.rollout(at(ms)).unwrap();
    assert!(
        !rollout(&tracker, 4_000).everywhere,
        "rights from the previous leader"
    );
    tracker.record_report(&node, &[acting_on("a", 2)], at(5_000));
    assert!(rollout(&tracker, 5_100).everywhere);

    tracker.record_config(3, at(6_000));
    let both = [acting_on("a", 3), acting_on("b", 2)];
    tracker.record_report(&node, &both, at(8_000));
    assert_eq!(rollout(&tracker, 8_000).waiting_for, ["b"]);
    // The disconnected entry no longer counts after its right has certainly expired.
    tracker.record_report(&node, &[acting_on("a", 3)], at(12_500));
    assert!(!rollout(&tracker, 12_500).everywhere);
    assert!(rollout(&tracker, 12_600).everywhere);
}

/// Guards against rights from a node that has lost contact with the leader or lags behind it.
#[test]
fn right_needs_a_fresh_confirmation_that_is_applied() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut issuer = plan::RightIssuer::new();
    assert!(issuer.right(start, u64::MAX).is_zero());
    issuer.confirm(start, 10);
    issuer.confirm(at(500), 20);
    assert!(!issuer.right(at(900), 10).is_zero(), "the older one counts");
    assert!(issuer.right(at(900), 9).is_zero());
    assert!(issuer.right(at(1_100), 10).is_zero());
    assert!(!issuer.right(at(1_100), 20).is_zero());
    assert!(issuer.right(at(1_500), 20).is_zero());
}

/// Guards against shares that add up to more than the capacity, in particular right after a leader
/// change.
#[test]
fn shares_follow_demand_and_never_exceed_the_capacity() {
    let start = Instant::now();
    let id = |number: u64| ("e".to_owned(), number);
    let mut table = plan::ShareTable::new();
    table.reset(start);
    let mut demands = plan::ServiceDemands::default();
    (0..8).for_each(|number| demands.set(id(number), 10.0));
    assert!(table.grant("assist", &id(0), &demands, start).abs() < 1e-9);
    let mut last = BTreeMap::new();
    for step in 0..60_u64 {
        let now = start + plan::SHARE_DURATION + Duration::from_millis(500 * step);
        if step == 20 {
            demands.set(id(3), 1_000.0);
        }
        for number in 0..8 {
            // Every third heartbeat of an entry is lost.
            if (step + number) % 3 != 0 {
                last.insert(number, table.grant("assist", &id(number), &demands, now));
            }
        }
        assert!(table.reserved("assist", now) <= 1.0 + 1e-6);
        if step == 19 {
            assert!(
                last.values().all(|share| (share - 0.125).abs() < 0.01),
                "{last:?}"
            );
        }
    }
    assert!(last[&3] > 0.75, "{last:?}");
    assert!(last[&0] > 0.01, "{last:?}");
}

/// Guards against a table that grows with every service name that an entry ever reported.
#[test]
fn service_that_nobody_shares_is_forgotten() {
    let start = Instant::now();
    let id = ("e1".to_owned(), 1);
    let mut table = plan::ShareTable::new();
    let mut demands = plan::ServiceDemands::default();
    demands.set(id.clone(), 10.0);
    table.reset(start);
    let granted_at = start + plan::SHARE_DURATION;
    for number in 0..1_000 {
        table.grant(&format!("random-{number}"), &id, &demands, granted_at);
    }
    table.remove_idle(granted_at);
    assert_eq!(table.services(), 1_000);
    let now = granted_at + plan::SHARE_DURATION;
    table.grant("assist", &id, &demands, now);
    table.remove_idle(now);
    assert_eq!(table.services(), 1);
    assert!((table.reserved("assist", now) - 1.0).abs() < 1e-9);
}

/// Guards against load reports that exceed the budget of 2 KB/s per entry with 760 engines.
#[test]
fn large_fleet_is_relayed_as_a_subset() {
    let region = |number: u64| ["a", "b", "c"][number as usize % 3];
    let now = Instant::now();
    let mut table = plan::LoadTable::new();
    for number in 0..760_u64 {
        let report = message::LoadReport {
            target: format!("engine-{number:03}"),
            incarnation: u64::MAX - number,
            running: 20,
            prefill_tokens_waiting: 90_000,
            kv_pieces_used: 900,
            ..message::LoadReport::default()
        };
        table.insert(report, region(number), now);
    }
    let mut covered = BTreeSet::new();
    for entry in 0..340 {
        let name = format!("entry-{entry}");
        let region = region(entry);
        let mut subset = plan::LoadSubset::default();
        let loads = table.for_entry(&name, region, &mut subset, 0, now);
        assert!(loads.len() >= 16, "{}", loads.len());
        covered.extend(subset.names().iter().cloned());
        let reply = message::SyncReply {
            loads,
            ..message::SyncReply::default()
        };
        assert!(prost::Message::encoded_len(&reply) <= plan::SUBSET_BYTES + 20);
    }
    assert_eq!(covered.len(), 760, "every target is seen by some entry");
    let mut subset = plan::LoadSubset::default();
    let newer = table.for_entry("entry-0", "a", &mut subset, table.last_sequence(), now);
    assert!(newer.is_empty());
}

/// Guards against a target that is marked as gone right after a leader change.
#[test]
fn target_is_gone_after_10_s_of_this_leadership() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut tracker = plan::TargetTracker::new();
    assert!(!tracker.is_gone("t", 1, at(99)));
    tracker.reset(at(100));
    assert!(!tracker.is_gone("t", 1, at(109)));
    tracker.record_report("t", 1, at(109));
    assert!(!tracker.is_gone("t", 1, at(118)));
    assert!(tracker.is_gone("t", 1, at(119)));
    assert!(tracker.is_gone("t", 2, at(111)), "another incarnation");
}
