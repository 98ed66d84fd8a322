//! Records reach the same decision on each way, in each order and however often they are sent.

use std::time::{Duration, Instant};

use proptest::prelude::{any, prop, proptest, Strategy};
use usher_quarantine::{BrokenCall, CallPhase, EngineProcess, PartId, PartQuarantine};

const LIFETIME: Duration = Duration::from_secs(600);

/// A crash of an engine with one call, or a complete answer.
#[derive(Clone, Debug)]
enum Event {
    Crash {
        engine: u64,
        parts: Vec<u64>,
        gateway: usize,
    },
    Answer {
        parts: Vec<u64>,
        gateway: usize,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let parts = prop::collection::vec(0_u64..6, 1..4);
    (any::<bool>(), 0_u64..8, parts, 0_usize..3).prop_map(|(crashes, engine, parts, gateway)| {
        if crashes {
            Event::Crash {
                engine,
                parts,
                gateway,
            }
        } else {
            Event::Answer { parts, gateway }
        }
    })
}

fn part_ids(numbers: &[u64]) -> Vec<PartId> {
    numbers.iter().copied().map(PartId::new).collect()
}

fn refused(quarantine: &PartQuarantine) -> Vec<bool> {
    let sets = 1_u64..64;
    sets.map(|set| {
        let parts = (0..6).filter(|part| set & (1 << part) != 0);
        quarantine
            .find(&parts.map(PartId::new).collect::<Vec<_>>())
            .is_some()
    })
    .collect()
}

/// Plays events at three gateways that don't hear of each other.
fn play(events: &[Event], start: Instant) -> (Vec<PartQuarantine>, Instant) {
    let mut gateways = vec![PartQuarantine::new(LIFETIME); 3];
    let mut now = start;
    for (number, event) in events.iter().enumerate() {
        now += Duration::from_secs(1);
        match event {
            Event::Crash {
                engine,
                parts,
                gateway,
            } => {
                let process = EngineProcess {
                    engine: *engine,
                    incarnation: 0,
                };
                let parts = part_ids(parts).into_iter();
                let times = (now - Duration::from_millis(50), now);
                let id = number as u64;
                let call = BrokenCall::new(id, process, parts, CallPhase::NoEvent, times);
                gateways[*gateway].record(call, now);
            }
            Event::Answer { parts, gateway } => {
                gateways[*gateway].clear(&part_ids(parts), now);
            }
        }
    }
    (gateways, now)
}

proptest! {
    /// Guards against gateways that decide differently when all records have arrived.
    #[test]
    fn order_of_merges_does_not_matter(
        events in prop::collection::vec(event(), 1..40),
        order in prop::collection::vec(0_usize..3, 3..12),
    ) {
        let (gateways, now) = play(&events, Instant::now());
        let mut one = PartQuarantine::new(LIFETIME);
        for gateway in &gateways {
            one.merge(gateway.own_changes_since(0).cloned(), now);
        }
        let mut other = PartQuarantine::new(LIFETIME);
        for number in order.into_iter().chain(0..3) {
            let calls = gateways[number].own_changes_since(0);
            let calls = calls.map(|call| BrokenCall::from_message(&call.to_message(now), now));
            other.merge(calls.collect::<Vec<_>>(), now);
        }
        proptest::prop_assert_eq!(refused(&one), refused(&other));
    }

    /// Guards against a change that is left out between two positions.
    #[test]
    fn changes_in_steps_are_all_changes(events in prop::collection::vec(event(), 1..40)) {
        let (mut gateways, now) = play(&events, Instant::now());
        let mut follower = PartQuarantine::new(LIFETIME);
        let mut position = 0;
        let first = gateways.remove(0);
        let mut registrar = first;
        for gateway in gateways {
            follower.merge(registrar.changes_since(position).cloned().collect::<Vec<_>>(), now);
            position = registrar.last_change();
            registrar.merge(gateway.own_changes_since(0).cloned().collect::<Vec<_>>(), now);
        }
        follower.merge(registrar.changes_since(position).cloned().collect::<Vec<_>>(), now);
        proptest::prop_assert_eq!(refused(&registrar), refused(&follower));
    }

    /// Guards against calls that stay refused although all their parts were answered, at the gateway
    /// that answered them, since their last crash.
    #[test]
    fn answered_parts_are_not_refused(
        events in prop::collection::vec(event(), 1..40),
        parts in prop::collection::vec(0_u64..6, 1..4),
    ) {
        let (gateways, now) = play(&events, Instant::now());
        for mut gateway in gateways {
            gateway.clear(&part_ids(&parts), now);
            proptest::prop_assert!(gateway.find(&part_ids(&parts)).is_none());
        }
    }
}
