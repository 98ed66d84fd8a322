//! Random schedules of commands over a small set of names, and a model that checks the outcomes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections;

use proptest::{prelude::*, test_runner};
use usher_replica::StateMachine as _;
use usher_state::{FleetState, StateMechanism};
use usher_types::LogIndex;
use usher_wire::message::{self, state_command, state_outcome};

/// The start time of all schedules: 2026-12-04 00:00:00 UTC.
pub(crate) const START_MS: u64 = 1_796_342_400_000;

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Command(Box<state_command::Kind>),
    /// Moves the wall clock of the leader, forwards or backwards.
    Clock(i64),
    /// Applies an earlier command again, as a resend after a lost reply does.
    Repeat(usize),
    /// Replaces the state with one that was restored from its own snapshot.
    Restore,
}

fn identity(entry: u8) -> Option<message::NodeIdentity> {
    Some(message::NodeIdentity {
        name: format!("entry-{}", entry / 2),
        incarnation: u64::from(entry % 2) + 1,
    })
}

/// Returns a key by number. Keys 0 to 3 have no timestamp; those of the others are 4 h apart.
fn key(number: u8) -> String {
    match number {
        0..=3 => format!("order-{number}"),
        _ => format!("20261204T{:02}0000Z-{number}", (number - 4) * 4),
    }
}

fn config_change() -> impl Strategy<Value = state_command::Kind> {
    (0_u8..3, 0_u8..4, 0_u64..6, 0_u8..2).prop_map(|(operator, request, base, sheet)| {
        state_command::Kind::ConfigChange(message::ConfigChange {
            operator: format!("op-{operator}"),
            request_id: format!("r{request}"),
            base_version: base,
            sheet: format!("sheet-{sheet}"),
        })
    })
}

fn claim_call() -> impl Strategy<Value = state_command::Kind> {
    (0_u8..8, 0_u8..2, 0_u8..4, 0_u8..3).prop_map(|(number, body, entry, request)| {
        state_command::Kind::ClaimCall(message::ClaimCall {
            key: key(number),
            fingerprint: vec![body],
            entry: identity(entry),
            request_id: format!("q{request}"),
        })
    })
}

fn finish_claim() -> impl Strategy<Value = state_command::Kind> {
    (0_u8..8, 0_u8..4, 0_u8..3, 1_i32..4).prop_map(|(number, entry, request, kind)| {
        state_command::Kind::FinishClaim(message::FinishClaim {
            key: key(number),
            entry: identity(entry),
            request_id: format!("q{request}"),
            kind,
            answer: Some(message::RecordedAnswer::default()),
        })
    })
}

fn expire() -> impl Strategy<Value = state_command::Kind> {
    prop::collection::vec(0_u8..4, 0..2).prop_map(|gone| {
        state_command::Kind::ExpireClaims(message::ExpireClaims {
            gone: gone.into_iter().filter_map(identity).collect(),
        })
    })
}

fn intent() -> impl Strategy<Value = state_command::Kind> {
    (0_u8..3, 1_u64..4, 1_i32..4).prop_map(|(engine, incarnation, kind)| {
        state_command::Kind::OrderIntent(message::OrderIntent {
            engine: format!("engine-{engine}"),
            incarnation,
            kind,
            shape: None,
            reason: "test".to_owned(),
        })
    })
}

fn result() -> impl Strategy<Value = state_command::Kind> {
    (0_u8..3, 1_u64..80, any::<bool>()).prop_map(|(engine, fence, succeeded)| {
        state_command::Kind::OrderResult(message::OrderResult {
            engine: format!("engine-{engine}"),
            fence,
            succeeded,
            detail: String::new(),
        })
    })
}

fn announce() -> impl Strategy<Value = state_command::Kind> {
    (0_u8..3, 1_u64..4, any::<bool>()).prop_map(|(engine, incarnation, leaving)| {
        state_command::Kind::AnnounceTarget(message::TargetRecord {
            name: format!("engine-{engine}"),
            incarnation,
            kind: "engine".to_owned(),
            leaving,
            ..message::TargetRecord::default()
        })
    })
}

fn mark() -> impl Strategy<Value = state_command::Kind> {
    (0_u8..3, 0_u64..4, any::<bool>()).prop_map(|(engine, incarnation, gone)| {
        state_command::Kind::MarkTarget(message::TargetMark {
            name: format!("engine-{engine}"),
            incarnation,
            leaving: !gone,
            gone,
            operator: "op".to_owned(),
        })
    })
}

fn command(kind: state_command::Kind) -> Step {
    Step::Command(Box::new(kind))
}

fn step() -> impl Strategy<Value = Step> {
    let hour = 3_600_000_i64;
    prop_oneof![
        3 => config_change().prop_map(command),
        6 => claim_call().prop_map(command),
        4 => finish_claim().prop_map(command),
        2 => expire().prop_map(command),
        3 => intent().prop_map(command),
        3 => result().prop_map(command),
        3 => announce().prop_map(command),
        2 => mark().prop_map(command),
        3 => prop_oneof![Just(-hour), Just(1_000), Just(hour), Just(9 * hour)].prop_map(Step::Clock),
        3 => (0_usize..64).prop_map(Step::Repeat),
        1 => Just(Step::Restore),
    ]
}

/// Generates any interleaving of commands, duplicates, clock jumps and restores.
pub(crate) fn schedule() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

/// Returns the number of schedules to run: `USHER_SCHEDULES` from the environment, or the default.
pub(crate) fn schedule_count(default: u32) -> u32 {
    std::env::var("USHER_SCHEDULES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Creates a test runner whose schedules depend only on the seed.
pub(crate) fn runner(seed: u8, cases: u32) -> test_runner::TestRunner {
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::from_seed(test_runner::RngAlgorithm::ChaCha, &[seed; 32]);
    test_runner::TestRunner::new_with_rng(config, rng)
}

/// A model of the guarantees to callers. It is independent of the state machine and never expires
/// anything.
#[derive(Default)]
struct OutcomeModel {
    claim_holders: collections::BTreeMap<String, String>,
    ended_keys: collections::BTreeSet<String>,
    first_answers: collections::BTreeMap<(String, String), (message::ConfigChange, bool, u64)>,
    version: u64,
    in_flight: collections::BTreeMap<String, u64>,
    leaving: collections::BTreeSet<(String, u64)>,
}

impl OutcomeModel {
    fn check_outcome(
        &mut self,
        index: u64,
        command: &state_command::Kind,
        outcome: &state_outcome::Kind,
    ) -> Result<(), String> {
        match (command, outcome) {
            (state_command::Kind::ConfigChange(change), state_outcome::Kind::Config(outcome)) => {
                self.check_config(change, outcome)
            }
            (state_command::Kind::ClaimCall(call), state_outcome::Kind::Claim(reply)) => {
                self.check_claim(call, reply)
            }
            (state_command::Kind::FinishClaim(finish), state_outcome::Kind::Done(_)) => {
                self.check_finish(finish)
            }
            (state_command::Kind::OrderIntent(intent), state_outcome::Kind::Order(outcome))
                if outcome.accepted =>
            {
                ensure(
                    outcome.fence == index,
                    "the fencing number of an order differs from its log index",
                )?;
                let other = self.in_flight.insert(intent.engine.clone(), outcome.fence);
                ensure(other.is_none(), "an engine has two orders in flight")
            }
            (state_command::Kind::OrderResult(result), state_outcome::Kind::Done(_)) => {
                if self.in_flight.get(&result.engine) == Some(&result.fence) {
                    self.in_flight.remove(&result.engine);
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn check_config(
        &mut self,
        change: &message::ConfigChange,
        outcome: &message::ConfigOutcome,
    ) -> Result<(), String> {
        let id = (change.operator.clone(), change.request_id.clone());
        if let Some((first, accepted, version)) = self.first_answers.get(&id) {
            if first == change {
                let same = (*accepted, *version) == (outcome.accepted, outcome.version);
                return ensure(
                    same && outcome.repeated,
                    "a resent request got a different answer",
                );
            }
            return ensure(
                !outcome.accepted,
                "a request id was accepted again with different content",
            );
        }
        let first = (change.clone(), outcome.accepted, outcome.version);
        self.first_answers.insert(id, first);
        if outcome.accepted {
            let next = outcome.version == self.version + 1;
            self.version = outcome.version;
            return ensure(next, "versions are not consecutive");
        }
        ensure(
            outcome.version == self.version,
            "a conflict does not name the current version",
        )
    }

    fn check_claim(
        &mut self,
        call: &message::ClaimCall,
        reply: &message::ClaimReply,
    ) -> Result<(), String> {
        if reply.state() != message::ClaimState::Claimed {
            return Ok(());
        }
        let holder = format!("{:?} {}", call.entry, call.request_id);
        ensure(
            !self.ended_keys.contains(&call.key),
            "a key was claimed again after its claim ended",
        )?;
        let before = self.claim_holders.insert(call.key.clone(), holder.clone());
        ensure(
            before.is_none_or(|before| before == holder),
            "a key has two holders",
        )
    }

    fn check_finish(&mut self, finish: &message::FinishClaim) -> Result<(), String> {
        let holder = format!("{:?} {}", finish.entry, finish.request_id);
        let held = self.claim_holders.get(&finish.key) == Some(&holder);
        if finish.kind() == message::FinishKind::Released {
            // A repeated release is accepted even after another attempt has claimed the key.
            if held {
                self.claim_holders.remove(&finish.key);
            }
            return Ok(());
        }
        self.ended_keys.insert(finish.key.clone());
        ensure(
            held,
            "a claim was ended by an attempt that does not hold it",
        )
    }

    fn check_state(&mut self, state: &FleetState) -> Result<(), String> {
        for target in state.targets().iter() {
            let incarnation = (target.record.name.clone(), target.record.incarnation);
            if target.record.leaving {
                self.leaving.insert(incarnation);
            } else {
                ensure(
                    !self.leaving.contains(&incarnation),
                    "the leaving mark of a target was cleared",
                )?;
            }
        }
        let fences: Vec<_> = state
            .orders()
            .in_flight()
            .map(|order| order.fence)
            .collect();
        let expected: Vec<_> = self.in_flight.values().copied().collect();
        ensure(fences == expected, "orders in flight differ from the model")?;
        ensure(
            state.config().version() == self.version,
            "configuration version differs from the model",
        )
    }
}

fn ensure(held: bool, text: &str) -> Result<(), String> {
    held.then_some(()).ok_or_else(|| text.to_owned())
}

/// Runs a schedule and returns the violated invariants and the result of the model's checks.
pub(crate) fn run(
    steps: &[Step],
    disabled: Option<StateMechanism>,
) -> (Vec<&'static str>, Result<(), String>) {
    let fresh = || disabled.map_or_else(FleetState::new, FleetState::without);
    let mut state = fresh();
    let mut model = OutcomeModel::default();
    let mut check_result = Ok(());
    let (mut index, mut wall_ms, mut applied) = (0, START_MS, Vec::new());
    for step in steps {
        let kind = match step {
            Step::Clock(move_ms) => {
                wall_ms = wall_ms.saturating_add_signed(*move_ms);
                continue;
            }
            Step::Restore => {
                let bytes = state.snapshot();
                let mut copy = fresh();
                copy.restore(&bytes)
                    .expect("state restores its own snapshot");
                assert_eq!(
                    copy.snapshot(),
                    bytes,
                    "restored state has a different snapshot"
                );
                state
                    .restore(&bytes)
                    .expect("state restores its own snapshot");
                continue;
            }
            Step::Repeat(position) if applied.is_empty() => {
                let _ = position;
                continue;
            }
            Step::Repeat(position) => {
                let kind: &state_command::Kind = &applied[position % applied.len()];
                kind.clone()
            }
            Step::Command(kind) => state_command::Kind::clone(kind),
        };
        index += 1;
        let command = message::StateCommand {
            at_ms: wall_ms,
            kind: Some(kind.clone()),
        };
        let outcome = state.apply_command(LogIndex::new(index), command);
        let outcome = outcome.kind.expect("outcome has a kind");
        let checked = model
            .check_outcome(index, &kind, &outcome)
            .and_then(|()| model.check_state(&state));
        check_result =
            check_result.and(checked.map_err(|text| format!("{text} at {index}: {kind:?}")));
        applied.push(kind);
    }
    (state.violations(), check_result)
}
