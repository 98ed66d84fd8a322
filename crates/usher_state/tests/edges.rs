//! Edge cases of the state machine: timestamps of keys, snapshot formats, resent requests and
//! claims with an unknown result.

use usher_replica::StateMachine as _;
use usher_state::{ClaimKey, ClaimStatus, FleetState};
use usher_types::LogIndex;
use usher_wire::message::{self, state_command, state_outcome, ClaimState};

/// 2026-12-04 06:15:00 UTC.
const NOW_MS: u64 = 1_796_364_900_000;
const HOUR_MS: u64 = 3_600_000;

struct StateHarness {
    state: FleetState,
    index: u64,
    now_ms: u64,
}

impl StateHarness {
    fn new() -> Self {
        Self {
            state: FleetState::new(),
            index: 0,
            now_ms: NOW_MS,
        }
    }

    fn apply(&mut self, kind: state_command::Kind) -> state_outcome::Kind {
        self.index += 1;
        let command = message::StateCommand {
            at_ms: self.now_ms,
            kind: Some(kind),
        };
        let outcome = self.state.apply_command(LogIndex::new(self.index), command);
        outcome.kind.unwrap()
    }

    fn claim(&mut self, key: &str, request: &str) -> Option<ClaimState> {
        let call = message::ClaimCall {
            key: key.to_owned(),
            fingerprint: vec![1],
            entry: entry(),
            request_id: request.to_owned(),
        };
        match self.apply(state_command::Kind::ClaimCall(call)) {
            state_outcome::Kind::Claim(reply) => Some(reply.state()),
            _ => None,
        }
    }

    fn finish(&mut self, key: &str, request: &str, kind: message::FinishKind) -> bool {
        let finish = message::FinishClaim {
            key: key.to_owned(),
            entry: entry(),
            request_id: request.to_owned(),
            kind: kind.into(),
            answer: None,
        };
        let outcome = self.apply(state_command::Kind::FinishClaim(finish));
        matches!(outcome, state_outcome::Kind::Done(_))
    }

    fn expire(&mut self, gone: Vec<message::NodeIdentity>) {
        let expire = message::ExpireClaims { gone };
        self.apply(state_command::Kind::ExpireClaims(expire));
    }
}

fn entry() -> Option<message::NodeIdentity> {
    Some(message::NodeIdentity {
        name: "entry-1".to_owned(),
        incarnation: 9,
    })
}

/// Guards against a wrongly parsed timestamp, with which a key would expire at the wrong time.
fn check_key_time(key: &str, expected: Option<u64>) {
    assert_eq!(ClaimKey::parse(key).time_ms, expected);
}

usher_types::cases! { check_key_time:
    parses_a_timestamp("20261204T061500Z-a", Some(NOW_MS));
    parses_a_leap_day("20240229T000000Z-", Some(1_709_164_800_000));
    parses_a_day_after_a_leap_year("20250301T000000Z-", Some(1_740_787_200_000));
    invalid_leap_day_is_not_a_timestamp("20250229T000000Z-a", None);
    invalid_month_is_not_a_timestamp("20261304T061500Z-a", None);
    missing_separator_is_not_a_timestamp("20261204T061500Z_a", None);
    short_key_is_not_a_timestamp("20261204T061500Z", None);
    sign_is_not_a_digit("+0261204T061500Z-a", None);
    non_ascii_text_is_not_a_timestamp("äöü61204T061500Z-a", None);
}

/// Guards against a key that is accepted so early or so late that its record expires before the
/// key does, so that the call could run twice.
fn check_acceptance_window(key: &str, expected: Option<ClaimState>) {
    assert_eq!(StateHarness::new().claim(key, "q1"), expected);
}

usher_types::cases! { check_acceptance_window:
    day_old_key_is_claimed("20261203T061500Z-a", Some(ClaimState::Claimed));
    older_key_is_expired("20261203T061459Z-a", Some(ClaimState::Expired));
    key_5_minutes_ahead_is_claimed("20261204T062000Z-a", Some(ClaimState::Claimed));
    key_further_ahead_is_refused("20261204T062001Z-a", None);
}

/// Guards against a call that runs again when a caller resends a key without a timestamp after its
/// record has expired.
#[test]
fn key_without_timestamp_stays_closed_after_its_record_expires() {
    let mut harness = StateHarness::new();
    assert_eq!(harness.claim("k", "q1"), Some(ClaimState::Claimed));
    assert!(harness.finish("k", "q1", message::FinishKind::Answered));
    harness.now_ms += 25 * HOUR_MS;
    harness.expire(Vec::new());
    assert_eq!(harness.state.claims().len(), 0);
    let copy = harness.state.snapshot();
    harness.state.restore(&copy).unwrap();
    assert_eq!(harness.claim("k", "q2"), Some(ClaimState::Expired));
}

/// Guards against an entry that can't use its claim because the reply was lost.
#[test]
fn same_attempt_gets_its_claim_again() {
    let mut harness = StateHarness::new();
    assert_eq!(harness.claim("k", "q1"), Some(ClaimState::Claimed));
    assert_eq!(harness.claim("k", "q1"), Some(ClaimState::Claimed));
    assert_eq!(harness.claim("k", "q2"), Some(ClaimState::Running));
}

/// Guards against a delayed duplicate of a claim request that claims a released key. No attempt
/// would ever end that claim.
#[test]
fn delayed_duplicate_does_not_claim_a_released_key() {
    let mut harness = StateHarness::new();
    assert_eq!(harness.claim("k", "q1"), Some(ClaimState::Claimed));
    assert!(harness.finish("k", "q1", message::FinishKind::Released));
    assert_eq!(harness.claim("k", "q1"), None);
    assert_eq!(harness.claim("k", "q2"), Some(ClaimState::Claimed));
}

/// Guards against a claim that arrives after its own release and is granted. No attempt would ever
/// end that claim.
#[test]
fn claim_that_comes_after_its_release_is_refused() {
    let mut harness = StateHarness::new();
    assert!(harness.finish("k", "q1", message::FinishKind::Released));
    assert!(!harness.finish("m", "q1", message::FinishKind::Answered));
    assert_eq!(harness.claim("k", "q1"), None);
    assert_eq!(harness.claim("k", "q2"), Some(ClaimState::Claimed));
    assert_eq!(harness.claim("m", "q1"), Some(ClaimState::Claimed));
}

/// Guards against a call with an unknown result that is released and runs again, and against
/// losing its answer if that arrives late.
#[test]
fn unknown_call_may_be_answered_but_not_released() {
    let mut harness = StateHarness::new();
    assert_eq!(harness.claim("k", "q1"), Some(ClaimState::Claimed));
    harness.expire(entry().into_iter().collect());
    assert_eq!(
        harness.state.claims().status("k"),
        Some(ClaimStatus::Unknown)
    );
    assert!(!harness.finish("k", "q1", message::FinishKind::Released));
    assert_eq!(harness.claim("k", "q2"), Some(ClaimState::Unknown));
    assert!(harness.finish("k", "q1", message::FinishKind::Answered));
    assert_eq!(harness.claim("k", "q3"), Some(ClaimState::Finished));
}

/// Guards against a truncated or foreign snapshot, or one of another version, that replaces the
/// state.
#[test]
fn foreign_snapshots_leave_the_state_unchanged() {
    let mut harness = StateHarness::new();
    harness.claim("k", "q1");
    let good = harness.state.snapshot();
    let mut newer = good.clone();
    newer[7] = 2;
    let mut other = good.clone();
    other[0] = b'X';
    for bytes in [
        &b""[..],
        &good[..6],
        &newer,
        &other,
        &good[..good.len() - 3],
    ] {
        assert!(harness.state.restore(bytes).is_err());
        assert_eq!(harness.state.snapshot(), good);
    }
}

/// Guards against unbounded memory use by the bodies of recorded answers.
#[test]
fn oldest_answer_bodies_are_dropped_above_the_limit() {
    let mut harness = StateHarness::new();
    let count = usher_state::MAX_KEPT_ANSWER_BYTES / usher_state::MAX_ANSWER_BYTES + 1;
    for number in 0..count {
        let (key, request) = (format!("k{number}"), format!("q{number}"));
        harness.claim(&key, &request);
        let finish = message::FinishClaim {
            key,
            entry: entry(),
            request_id: request,
            kind: message::FinishKind::Answered.into(),
            answer: Some(message::RecordedAnswer {
                body: vec![0; usher_state::MAX_ANSWER_BYTES],
                ..message::RecordedAnswer::default()
            }),
        };
        harness.apply(state_command::Kind::FinishClaim(finish));
    }
    let bytes = harness.state.snapshot().len();
    assert!(bytes < usher_state::MAX_KEPT_ANSWER_BYTES + 1_024 * 1_024);
    assert_eq!(harness.claim("k0", "again"), Some(ClaimState::Finished));
}
