//! The decisions of the memory account.

use std::time;

use proptest::prelude::*;
use usher_memory::{
    ChargeDecision, HolderId, HolderPhase, MemoryAccount, MemoryBudget, OpenDecision, PhaseCost,
};

const BUDGET: MemoryBudget = MemoryBudget {
    bytes: 1_000_000,
    connections: 20,
};

fn open(account: &mut MemoryAccount, now: time::Instant) -> HolderId {
    match account.open(now) {
        OpenDecision::Opened(id, _) => id,
        OpenDecision::Refused => panic!("refused"),
    }
}

/// Opens a connection whose body holds so many bytes.
fn open_body(account: &mut MemoryAccount, bytes: usize, now: time::Instant) -> HolderId {
    let id = open(account, now);
    account.enter(id, HolderPhase::Body, now);
    let charged = account.charge_body(id, bytes, now);
    assert_eq!(charged, ChargeDecision::Granted);
    account.receive(id, bytes, now);
    id
}

/// Guards against a crowd of bodies that stop short and keep others out: those without progress end
/// for a body that comes later, the one that holds most for the longest time first.
#[test]
fn stalled_bodies_end_for_a_later_one() {
    let mut account = MemoryAccount::new(BUDGET);
    let start = time::Instant::now();
    let small = open_body(&mut account, 100_000, start);
    let large = open_body(&mut account, 600_000, start);
    let later = start + time::Duration::from_secs(2);
    let id = open(&mut account, later);
    account.enter(id, HolderPhase::Body, later);
    let decision = account.charge_body(id, 300_000, later);
    assert_eq!(decision, ChargeDecision::Wait(vec![large]));
    account.close(large);
    let decision = account.charge_body(id, 300_000, later);
    assert_eq!(decision, ChargeDecision::Granted);
    account.close(small);
    account.close(id);
    assert_eq!(account.used(), 0);
}

/// Guards against bodies that move and end for a later one, so that none would complete in a peak.
#[test]
fn moving_body_keeps_its_room() {
    let mut account = MemoryAccount::new(BUDGET);
    let now = time::Instant::now();
    let first = open_body(&mut account, 600_000, now);
    let second = open(&mut account, now + time::Duration::from_millis(10));
    let later = now + time::Duration::from_millis(20);
    account.enter(second, HolderPhase::Body, later);
    let decision = account.charge_body(second, 300_000, later);
    assert_eq!(decision, ChargeDecision::Refused);
    // A small body still finds room behind the large one.
    let decision = account.charge_body(second, 50_000, later);
    assert_eq!(decision, ChargeDecision::Granted);
    // The first one grows at the cost of the second one.
    let decision = account.charge_body(first, 740_000, later);
    assert_eq!(decision, ChargeDecision::Wait(vec![second]));
}

/// Guards against accepted calls that end for later ones.
#[test]
fn accepted_call_never_ends_for_another() {
    let mut account = MemoryAccount::new(BUDGET);
    let start = time::Instant::now();
    let call = open_body(&mut account, 700_000, start);
    account.enter(call, HolderPhase::Call, start);
    let later = start + time::Duration::from_secs(30);
    let id = open(&mut account, later);
    account.enter(id, HolderPhase::Body, later);
    let decision = account.charge_body(id, 300_000, later);
    assert_eq!(decision, ChargeDecision::Refused);
}

/// Opens a call that holds so many bytes for its run and its answer.
fn open_call(account: &mut MemoryAccount, bytes: usize, now: time::Instant) -> HolderId {
    let id = open(account, now);
    account.enter(id, HolderPhase::Call, now);
    let charged = account.charge_answer(id, bytes, now);
    assert_eq!(charged, ChargeDecision::Granted);
    id
}

/// Guards against callers that don't read their answers and keep others out, and against calls that
/// end although their callers read.
#[test]
fn unread_answers_end_for_others() {
    let mut account = MemoryAccount::new(BUDGET);
    let start = time::Instant::now();
    let unread = open_call(&mut account, 400_000, start);
    let read = open_call(&mut account, 300_000, start);
    account.set_unwritten(unread, true, start);
    account.set_unwritten(read, true, start);
    account.set_unwritten(read, false, start);
    let soon = start + time::Duration::from_millis(900);
    let id = open(&mut account, soon);
    account.enter(id, HolderPhase::Body, soon);
    let decision = account.charge_body(id, 300_000, soon);
    assert_eq!(decision, ChargeDecision::Refused);
    let later = start + time::Duration::from_millis(1_100);
    let decision = account.charge_body(id, 300_000, later);
    assert_eq!(decision, ChargeDecision::Wait(vec![unread]));
}

/// Guards against accepted calls that are refused for bodies that still arrive.
#[test]
fn latest_body_ends_for_an_accepted_call() {
    let mut account = MemoryAccount::new(BUDGET);
    let start = time::Instant::now();
    let later = start + time::Duration::from_millis(10);
    open_body(&mut account, 300_000, start);
    let latest = open_body(&mut account, 400_000, later);
    let call = open(&mut account, later);
    account.enter(call, HolderPhase::Call, later);
    let decision = account.charge_answer(call, 250_000, later);
    assert_eq!(decision, ChargeDecision::Wait(vec![latest]));
}

/// Guards against connections that are closed without an answer while bodies still arrive and fill
/// the budget with their own connections.
#[test]
fn latest_body_ends_for_an_ordinary_head() {
    let mut account = MemoryAccount::new(BUDGET);
    let now = time::Instant::now();
    open_body(&mut account, 300_000, now);
    let later = now + time::Duration::from_millis(10);
    let latest = open_body(&mut account, 400_000, later);
    let decision = loop {
        let id = open(&mut account, later);
        account.enter(id, HolderPhase::Head, later);
        let decision = account.charge_base(id, PhaseCost::idle(), later);
        if decision != ChargeDecision::Granted {
            break decision;
        }
    };
    assert_eq!(decision, ChargeDecision::Wait(vec![latest]));
}

/// Guards against new connections that end for others before they could send their first byte.
#[test]
fn new_connection_has_time_for_its_first_byte() {
    let mut account = MemoryAccount::new(BUDGET);
    let start = time::Instant::now();
    let silent = open(&mut account, start);
    let body = open_body(&mut account, 740_000, start);
    let wanted = 750_000 - PhaseCost::silent();
    let soon = start + time::Duration::from_millis(200);
    let decision = account.charge_body(body, wanted, soon);
    assert_eq!(decision, ChargeDecision::Refused);
    let later = start + time::Duration::from_millis(400);
    let decision = account.charge_body(body, wanted, later);
    assert_eq!(decision, ChargeDecision::Wait(vec![silent]));
}

/// Guards against a crowd of incomplete heads that keeps ordinary callers out until its deadlines.
#[test]
fn incomplete_heads_end_for_others() {
    let mut account = MemoryAccount::new(BUDGET);
    let start = time::Instant::now();
    let head = open(&mut account, start);
    account.enter(head, HolderPhase::Head, start);
    let charged = account.charge_base(head, 800_000, start);
    assert_eq!(charged, ChargeDecision::Granted);
    // A byte now and then is no progress for long.
    let mut now = start;
    for _ in 0..10 {
        now += time::Duration::from_millis(250);
        account.receive(head, 1, now);
    }
    let id = open(&mut account, now);
    account.enter(id, HolderPhase::Head, now);
    let decision = account.charge_base(id, 300_000, now);
    assert_eq!(decision, ChargeDecision::Wait(vec![head]));
}

/// Guards against long heads that leave no room for connections with ordinary ones.
#[test]
fn ordinary_head_finds_room_behind_long_ones() {
    let mut account = MemoryAccount::new(BUDGET);
    let now = time::Instant::now();
    for _ in 0..8 {
        let long = open(&mut account, now);
        account.enter(long, HolderPhase::Head, now);
        let _ = account.charge_base(long, 120_000, now);
    }
    let id = open(&mut account, now);
    account.enter(id, HolderPhase::Head, now);
    let decision = account.charge_base(id, PhaseCost::idle(), now);
    assert_eq!(decision, ChargeDecision::Granted);
}

/// Guards against a call whose charge stays when its answer is written.
#[test]
fn ended_call_gives_everything_back() {
    let mut account = MemoryAccount::new(BUDGET);
    let now = time::Instant::now();
    let id = open_body(&mut account, 100_000, now);
    account.enter(id, HolderPhase::Call, now);
    let _ = account.charge_answer(id, 200_000, now);
    account.end_call(id, PhaseCost::idle(), now);
    assert_eq!(account.used(), PhaseCost::idle());
}

/// Guards against time in which the process itself doesn't read, counted as lack of progress.
#[test]
fn body_that_waits_for_room_is_not_stalled() {
    let mut account = MemoryAccount::new(BUDGET);
    let start = time::Instant::now();
    let stalled = open_body(&mut account, 300_000, start);
    let waiting = open_body(&mut account, 400_000, start);
    let later = start + time::Duration::from_millis(1_500);
    account.receive(waiting, 1, later);
    let decision = account.charge_body(waiting, 700_000, later);
    assert_eq!(decision, ChargeDecision::Wait(vec![stalled]));
    let much_later = later + time::Duration::from_secs(20);
    let id = open(&mut account, much_later);
    account.enter(id, HolderPhase::Body, much_later);
    let decision = account.charge_body(id, 400_000, much_later);
    assert_eq!(decision, ChargeDecision::Refused);
}

/// Guards against open connections that keep new ones out: the one that has waited longest for a head
/// ends first, then the longest idle one, and none with a call.
#[test]
fn silent_connections_end_before_idle_ones() {
    let connections = 3;
    let mut account = MemoryAccount::new(MemoryBudget {
        connections,
        ..BUDGET
    });
    let start = time::Instant::now();
    let at = |ms| start + time::Duration::from_millis(ms);
    let idle = open(&mut account, at(0));
    account.enter(idle, HolderPhase::Idle, at(1));
    let call = open(&mut account, at(2));
    account.enter(call, HolderPhase::Call, at(3));
    let silent = open(&mut account, at(4));
    for ended in [silent, idle] {
        let OpenDecision::Opened(id, end) = account.open(at(5)) else {
            panic!("refused");
        };
        assert_eq!(end, Some(ended));
        account.close(ended);
        account.enter(id, HolderPhase::Call, at(6));
    }
    assert_eq!(account.open(at(7)), OpenDecision::Refused);
}

/// A step of a caller: its connection, what happens, an amount of bytes, and the ms until the next.
type Step = (usize, u8, usize, u64);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec((0..8_usize, 0..12_u8, 0..600_000_usize, 0..700_u64), 1..120)
}

proptest! {
    /// Guards against charges above the budget, and against charges that stay when connections have
    /// ended in any order.
    #[test]
    fn account_stays_within_its_budget(steps in steps()) {
        let mut account = MemoryAccount::new(MemoryBudget { connections: 6, ..BUDGET });
        let mut now = time::Instant::now();
        let mut open = Vec::new();
        for (number, action, bytes, pause) in steps {
            let chosen: Option<HolderId> = open.get(number).copied();
            match (action, chosen) {
                (0 | 1, _) => {
                    if let OpenDecision::Opened(id, _) = account.open(now) {
                        open.push(id);
                    }
                }
                (2, Some(id)) => {
                    account.close(id);
                    open.retain(|other| *other != id);
                }
                (3, Some(id)) => account.receive(id, bytes, now),
                (4, Some(id)) => {
                    account.charge_base(id, bytes / 10, now);
                }
                (5 | 6, Some(id)) => {
                    account.enter(id, HolderPhase::Body, now);
                    account.charge_body(id, bytes, now);
                }
                (7, Some(id)) => account.enter(id, HolderPhase::Call, now),
                (9, Some(id)) => {
                    account.charge_answer(id, bytes / 2, now);
                }
                (8, Some(id)) => account.enter(id, HolderPhase::Idle, now),
                (10, Some(id)) => account.set_unwritten(id, bytes % 2 == 0, now),
                (11, Some(id)) => account.end_call(id, bytes / 20, now),
                _ => {}
            }
            prop_assert!(account.used() <= BUDGET.bytes);
            let held: usize = account.by_phase().values().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(held, account.used());
            now += time::Duration::from_millis(pause);
        }
        for id in open {
            account.close(id);
        }
        prop_assert_eq!(account.used(), 0);
    }
}
