//! Single cases at the edges of the state: key times, formats, resends and unknown ends.

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

/// Guards against a wrong time of a key, which would refuse or reopen it at the wrong hour.
fn check_key_time(key: &str, expected: Option<u64>) {
    assert_eq!(ClaimKey::parse(key).time_ms, expected);
}

usher_types::cases! { check_key_time:
    reads_a_time("20261204T061500Z-a", Some(NOW_MS));
    reads_a_leap_day("20240229T000000Z-", Some(1_709_164_800_000));
    reads_the_day_after_a_leap_year("20250301T000000Z-", Some(1_740_787_200_000));
    wrong_leap_day_is_no_time("20250229T000000Z-a", None);
    wrong_month_is_no_time("20261304T061500Z-a", None);
    missing_mark_is_no_time("20261204T061500Z_a", None);
    short_key_is_no_time("20261204T061500Z", None);
    sign_is_no_digit("+0261204T061500Z-a", None);
    other_characters_are_no_time("äöü61204T061500Z-a", None);
}

/// Guards against a key that is accepted so early or late that its record is forgotten before it.
fn check_window(key: &str, expected: Option<ClaimState>) {
    assert_eq!(StateHarness::new().claim(key, "q1"), expected);
}

usher_types::cases! { check_window:
    day_old_key_is_claimed("20261203T061500Z-a", Some(ClaimState::Claimed));
    older_key_is_expired("20261203T061459Z-a", Some(ClaimState::Expired));
    key_5_minutes_ahead_is_claimed("20261204T062000Z-a", Some(ClaimState::Claimed));
    key_further_ahead_is_refused("20261204T062001Z-a", None);
}

/// Guards against a caller that resends an untimed key after days and runs its call again.
#[test]
fn untimed_key_stays_closed_after_its_record_is_forgotten() {
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

/// Guards against an entry that can't use its claim because the answer to it was lost.
#[test]
fn same_attempt_gets_its_claim_again() {
    let mut harness = StateHarness::new();
    assert_eq!(harness.claim("k", "q1"), Some(ClaimState::Claimed));
    assert_eq!(harness.claim("k", "q1"), Some(ClaimState::Claimed));
    assert_eq!(harness.claim("k", "q2"), Some(ClaimState::Running));
}

/// Guards against a delayed copy of a claim that takes a key which nobody would ever end.
#[test]
fn delayed_copy_does_not_take_a_released_key() {
    let mut harness = StateHarness::new();
    assert_eq!(harness.claim("k", "q1"), Some(ClaimState::Claimed));
    assert!(harness.finish("k", "q1", message::FinishKind::Released));
    assert_eq!(harness.claim("k", "q1"), None);
    assert_eq!(harness.claim("k", "q2"), Some(ClaimState::Claimed));
}

/// Guards against a claim that its release overtook, which nobody would ever end.
#[test]
fn claim_that_comes_after_its_release_is_refused() {
    let mut harness = StateHarness::new();
    assert!(harness.finish("k", "q1", message::FinishKind::Released));
    assert!(!harness.finish("m", "q1", message::FinishKind::Answered));
    assert_eq!(harness.claim("k", "q1"), None);
    assert_eq!(harness.claim("k", "q2"), Some(ClaimState::Claimed));
    assert_eq!(harness.claim("m", "q1"), Some(ClaimState::Claimed));
}

/// Guards against an unknown call that is released and run again, and against a lost answer.
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

/// Guards against a snapshot of another format that is taken for a state.
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

/// Guards against memory that grows with the bodies of all recorded answers.
#[test]
fn oldest_answers_lose_their_body_beyond_the_limit() {
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
