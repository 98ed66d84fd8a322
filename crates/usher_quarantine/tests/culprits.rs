//! Which parts are in quarantine after which crashes and answers.

use std::time::{Duration, Instant};

use usher_quarantine::{
    BrokenCall, CallPhase, EngineProcess, PartId, PartQuarantine, QuarantineChange,
};

const LIFETIME: Duration = Duration::from_secs(600);

/// Part that crashes engines.
const BAD: u64 = 0xbad;

/// Time from a send until its connection breaks.
const ELAPSED: Duration = Duration::from_millis(60);

fn parts(numbers: &[u64]) -> Vec<PartId> {
    numbers.iter().copied().map(PartId::new).collect()
}

/// A fleet whose calls break, in virtual time.
struct Fleet {
    quarantine: PartQuarantine,
    now: Instant,
    sends: u64,
    processes: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            quarantine: PartQuarantine::new(LIFETIME),
            now: Instant::now() + LIFETIME * 2,
            sends: 0,
            processes: 0,
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.quarantine.expire(self.now);
    }

    /// Crashes a new engine process that has these calls, all sent [`ELAPSED`] before.
    fn crash(&mut self, calls: &[(&[u64], CallPhase)]) {
        self.processes += 1;
        for (numbers, phase) in calls {
            self.sends += 1;
            let process = EngineProcess {
                engine: self.processes % 5,
                incarnation: self.processes,
            };
            let times = (self.now - ELAPSED, self.now);
            let parts = parts(numbers).into_iter();
            let call = BrokenCall::new(self.sends, process, parts, *phase, times);
            self.quarantine.record(call, self.now);
        }
    }

    /// The same a second later.
    fn next_crash(&mut self, calls: &[(&[u64], CallPhase)]) {
        self.wait(Duration::from_secs(1));
        self.crash(calls);
    }

    fn answer(&mut self, numbers: &[u64]) {
        self.quarantine.clear(&parts(numbers), self.now);
    }

    fn is_refused(&self, numbers: &[u64]) -> bool {
        self.quarantine.find(&parts(numbers)).is_some()
    }
}

use CallPhase::{NoEvent, Prefill, Streaming};

/// Checks how many crashes of one call in this phase put its part in quarantine.
fn check_crashes(phase: CallPhase, crashes: usize) {
    let mut fleet = Fleet::new();
    for _ in 0..crashes {
        assert!(!fleet.is_refused(&[BAD]));
        fleet.next_crash(&[(&[BAD], phase)]);
    }
    assert!(fleet.is_refused(&[BAD]));
}

usher_types::cases! { check_crashes:
    crashes_before_the_first_event(NoEvent, 3);
    crashes_after_events(Streaming, 6);
    crashes_while_the_prompt_is_read(Prefill, 6);
}

/// Guards against parts that are refused because a failure domain or all connections broke at once.
#[test]
fn simultaneous_crashes_count_once() {
    let mut fleet = Fleet::new();
    for _ in 0..20 {
        fleet.crash(&[(&[1], NoEvent)]);
        fleet.wait(Duration::from_millis(2));
    }
    assert!(!fleet.is_refused(&[1]));
}

/// Guards against parts that are refused because connections to one engine break again and again.
#[test]
fn engine_that_resets_connections_counts_once() {
    let mut fleet = Fleet::new();
    for _ in 0..20 {
        fleet.processes = 0;
        fleet.next_crash(&[(&[1], NoEvent)]);
    }
    assert!(!fleet.is_refused(&[1]));
}

/// Guards against parts that are refused although their calls are answered between crashes.
#[test]
fn answered_part_is_sound() {
    let mut fleet = Fleet::new();
    for _ in 0..20 {
        fleet.next_crash(&[(&[1], NoEvent)]);
        fleet.next_crash(&[(&[1], NoEvent)]);
        fleet.answer(&[1]);
    }
    assert!(!fleet.is_refused(&[1]));
}

/// Guards against sound calls that are refused because they share a part with those that crash
/// engines, also when some of them ran on the same engines and none was answered meanwhile.
#[test]
fn shared_part_is_not_refused() {
    let mut fleet = Fleet::new();
    for crash in 0..3 {
        let (sound, other) = ([1, 100 + crash], [1, 200 + crash]);
        fleet.next_crash(&[(&[1, BAD], NoEvent), (&sound, Streaming), (&other, NoEvent)]);
    }
    assert!(fleet.is_refused(&[1, BAD]));
    assert!(!fleet.is_refused(&[1]));
    assert!(!fleet.is_refused(&[1, 100]));
    assert!(!fleet.is_refused(&[1, 300]));
}

/// Guards against sound calls that are refused because the engines that crashed had them, time and
/// again, while no engine was left to answer them.
#[test]
fn sound_calls_of_crashed_engines_are_not_refused() {
    let mut fleet = Fleet::new();
    for crash in 0..8 {
        let crashing = [20 + crash % 5, BAD];
        let mut calls: Vec<(&[u64], CallPhase)> = vec![(&crashing, NoEvent)];
        if crash % 2 == 0 {
            calls.push((&[7, 8], NoEvent));
        }
        fleet.next_crash(&calls);
    }
    assert!(fleet.is_refused(&[1, BAD]));
    assert!(!fleet.is_refused(&[7, 8]));
}

/// Guards against calls that reach engines because the part comes with other ones than before.
#[test]
fn part_is_refused_beside_any_other_one() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.next_crash(&[(&[1, BAD], NoEvent)]);
    }
    // Sound calls show that the first part is not the cause.
    fleet.answer(&[1]);
    assert!(fleet.is_refused(&[2, BAD]));
    assert!(!fleet.is_refused(&[1, 2]));
}

/// The same where no sound call has the shared part: two further crashes decide.
#[test]
fn two_further_crashes_show_the_narrower_part() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.next_crash(&[(&[1, BAD], NoEvent)]);
    }
    for other in [2, 3] {
        assert!(!fleet.is_refused(&[other, BAD]));
        fleet.next_crash(&[(&[other, BAD], NoEvent)]);
    }
    assert!(fleet.is_refused(&[4, BAD]));
    assert!(!fleet.is_refused(&[1]));
}

/// Guards against a sound part that stays refused because it was, by chance, in each of the first
/// crashes as well.
#[test]
fn next_crash_corrects_a_wrong_suspect() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.next_crash(&[(&[BAD], NoEvent), (&[1], NoEvent)]);
    }
    fleet.next_crash(&[(&[BAD], NoEvent)]);
    assert!(fleet.is_refused(&[BAD]));
    assert!(!fleet.is_refused(&[1]));
}

/// Guards against a second part that is overlooked, or blamed for the crashes of the first one.
#[test]
fn two_parts_crash_engines() {
    let mut fleet = Fleet::new();
    for other in 0..3 {
        fleet.next_crash(&[(&[10 + other, BAD], NoEvent)]);
        fleet.next_crash(&[(&[20 + other, 0xbee], NoEvent)]);
    }
    assert!(fleet.is_refused(&[1, BAD]));
    assert!(fleet.is_refused(&[1, 0xbee]));
    assert!(!fleet.is_refused(&[10]));
}

/// Guards against a quarantine that never ends, and one that starts from nothing when it does.
#[test]
fn one_crash_is_enough_after_the_lifetime() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.next_crash(&[(&[BAD], NoEvent)]);
    }
    fleet.wait(LIFETIME - Duration::from_millis(1_500));
    assert!(!fleet.is_refused(&[BAD]));
    fleet.crash(&[(&[BAD], NoEvent)]);
    assert!(fleet.is_refused(&[BAD]));
}

/// Guards against records of other calls that push those of a quarantine out.
#[test]
fn many_broken_calls_end_no_quarantine() {
    let mut fleet = Fleet::new();
    for _ in 0..3 {
        fleet.next_crash(&[(&[BAD], NoEvent)]);
    }
    for number in 0..2_000 {
        fleet.crash(&[(&[1_000 + number], NoEvent)]);
    }
    assert!(fleet.is_refused(&[BAD]));
    assert!(fleet.quarantine.changes_since(0).count() <= 512);
}

/// Guards against a change that is reported twice, or not at all.
#[test]
fn changes_are_reported_once() {
    let mut fleet = Fleet::new();
    fleet.next_crash(&[(&[BAD], NoEvent)]);
    fleet.next_crash(&[(&[BAD], NoEvent)]);
    let call = fleet.quarantine.changes_since(0).next().unwrap().clone();
    let now = fleet.now + Duration::from_secs(1);
    let process = EngineProcess {
        engine: 9,
        incarnation: 9,
    };
    let last = BrokenCall {
        id: 99,
        process,
        sent_at: now - ELAPSED,
        broke_at: now,
        ..call
    };
    let change = fleet.quarantine.record(last.clone(), now);
    assert_eq!(change.began.len(), 1);
    assert_eq!(change.began[0].parts, parts(&[BAD]));
    assert_eq!(change.began[0].crashes, 3);
    assert_eq!(
        fleet.quarantine.merge([last], now),
        QuarantineChange::default()
    );
    let change = fleet.quarantine.clear(&parts(&[BAD]), now);
    assert_eq!(change.ended.len(), 1);
    assert_eq!(
        fleet.quarantine.clear(&parts(&[BAD]), now),
        QuarantineChange::default()
    );
}
