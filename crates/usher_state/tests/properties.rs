//! Property tests: any interleaving of commands, duplicates, clock jumps and restores keeps the
//! invariants, and each invariant is violated if its mechanism is disabled.

mod schedule;

use proptest::{strategy::Strategy as _, strategy::ValueTree as _, test_runner};
use usher_state::StateMechanism;

/// Guards against any sequence of commands that violates an invariant or a guarantee to callers.
fn check_invariants(seed: u8) {
    let mut runner = schedule::runner(seed, schedule::schedule_count(300));
    let result = runner.run(&schedule::schedule(), |steps| {
        let (violations, check_result) = schedule::run(&steps, None);
        if violations.is_empty() && check_result.is_ok() {
            return Ok(());
        }
        let text = format!("seed {seed}: {violations:?} {check_result:?}");
        Err(test_runner::TestCaseError::fail(text))
    });
    result.unwrap();
}

usher_types::cases! { check_invariants:
    invariants_hold_under_seed_1(1);
    invariants_hold_under_seed_2(2);
    invariants_hold_under_seed_3(3);
    invariants_hold_under_seed_4(4);
    invariants_hold_under_seed_5(5);
}

/// Guards against an invariant that doesn't detect the fault that its mechanism prevents.
fn check_disabled(mechanism: StateMechanism, expected: &str) {
    let mut runner = schedule::runner(7, 1);
    for _ in 0..2_000 {
        let steps = schedule::schedule()
            .new_tree(&mut runner)
            .unwrap()
            .current();
        let (violations, _) = schedule::run(&steps, Some(mechanism));
        if violations.contains(&expected) {
            return;
        }
    }
    panic!("no schedule violated {expected} without {mechanism:?}");
}

usher_types::cases! { check_disabled:
    stale_base_is_caught(StateMechanism::BaseVersion, "config.base_is_current");
    second_effect_of_a_request_is_caught(StateMechanism::ConfigResend, "config.request_once");
    other_content_is_caught(StateMechanism::ConfigContent, "config.answer_of_same_content");
    second_holder_is_caught(StateMechanism::ClaimLookup, "claim.single_holder");
    end_by_non_holder_is_caught(StateMechanism::ClaimHolderCheck, "claim.ended_by_holder");
    reopened_timed_key_is_caught(StateMechanism::ClaimKeyAge, "claim.forgotten_key_stays_closed");
    lost_closed_key_is_caught(StateMechanism::ClaimClosedKept, "claim.closed_keys_kept");
    answer_of_other_call_is_caught(StateMechanism::ClaimFingerprint, "claim.answer_of_same_call");
    second_order_is_caught(StateMechanism::OrderInFlight, "order.one_in_flight");
    late_result_is_caught(StateMechanism::OrderFence, "order.result_of_current");
    old_incarnation_order_is_caught(
        StateMechanism::OrderIncarnation,
        "order.incarnation_is_registered"
    );
    incarnation_taken_back_is_caught(
        StateMechanism::TargetIncarnation,
        "target.incarnation_not_taken_back"
    );
    cleared_leaving_is_caught(StateMechanism::TargetLeaving, "target.leaving_kept");
    time_going_back_is_caught(StateMechanism::StateTime, "state.time_goes_forward");
}
