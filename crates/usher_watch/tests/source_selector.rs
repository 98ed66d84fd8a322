//! A follower asks the nearest source first, keeps asking until it is current, and asks no source
//! too often.

use std::{collections, net, time};

use proptest::prelude::*;
use usher_watch::{SourceChoice, SourceSelector};

const MS: time::Duration = time::Duration::from_millis(1);

/// Delay before sources of another region are asked.
const FAR: time::Duration = time::Duration::from_millis(250);

fn address(number: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], number))
}

fn source_of(choice: &SourceChoice) -> Option<net::SocketAddr> {
    match choice {
        SourceChoice::Fetch { source, .. } => Some(*source),
        _ => None,
    }
}

/// Guards against traffic between regions while a registrar of the own region has the version.
#[test]
fn near_source_is_asked_first() {
    let (mut selector, now) = (SourceSelector::default(), time::Instant::now());
    selector.offer(address(1), 2, FAR, now);
    assert_eq!(selector.choose(1, None, now), SourceChoice::Wait(now + FAR));
    selector.offer(address(2), 2, time::Duration::ZERO, now + 30 * MS);
    let choice = selector.choose(1, None, now + 30 * MS);
    assert_eq!(source_of(&choice), Some(address(2)));
    selector.record_success(address(2));
    // The delay starts again with the next version.
    selector.offer(address(1), 3, FAR, now + 240 * MS);
    let choice = selector.choose(2, None, now + 240 * MS);
    assert_eq!(choice, SourceChoice::Wait(now + 490 * MS));
}

/// Guards against a start that waits although a far source has the first version.
#[test]
fn first_version_is_taken_from_any_source() {
    let (mut selector, now) = (SourceSelector::default(), time::Instant::now());
    selector.offer(address(1), 2, FAR, now);
    let choice = selector.choose(0, None, now);
    assert_eq!(source_of(&choice), Some(address(1)));
}

/// Guards against a follower that waits for one silent source while another one would answer, and
/// against one that gives up.
#[test]
fn failed_source_is_asked_again_after_the_others() {
    let (mut selector, now) = (SourceSelector::default(), time::Instant::now());
    selector.offer(address(1), 2, time::Duration::ZERO, now);
    selector.offer(address(2), 2, time::Duration::ZERO, now);
    let first = source_of(&selector.choose(1, None, now)).unwrap();
    selector.record_failure(first, now);
    let second = source_of(&selector.choose(1, None, now)).unwrap();
    assert_ne!(first, second);
    selector.record_failure(second, now);
    let SourceChoice::Wait(until) = selector.choose(1, None, now) else {
        panic!("a source is asked again without a delay");
    };
    assert!(source_of(&selector.choose(1, None, until)).is_some());
}

/// Guards against requests to a source that offers nothing newer, or is out of reach.
#[test]
fn nothing_is_asked_when_current() {
    let (mut selector, now) = (SourceSelector::default(), time::Instant::now());
    assert_eq!(selector.choose(0, None, now), SourceChoice::Current);
    selector.offer(address(1), 2, time::Duration::ZERO, now);
    assert_eq!(selector.choose(2, None, now), SourceChoice::Current);
    selector.withdraw(address(1));
    assert_eq!(selector.choose(1, None, now), SourceChoice::Current);
}

/// Guards against a long transfer that never ends because its source is changed for one that is
/// nearer but doesn't answer.
#[test]
fn source_of_an_open_transfer_goes_on() {
    let (mut selector, now) = (SourceSelector::default(), time::Instant::now());
    let (far, near) = (address(1), address(2));
    selector.offer(far, 2, FAR, now);
    selector.choose(1, None, now);
    let later = now + FAR;
    assert_eq!(source_of(&selector.choose(1, None, later)), Some(far));
    selector.offer(near, 2, time::Duration::ZERO, later);
    assert_eq!(source_of(&selector.choose(1, Some(far), later)), Some(far));
    selector.record_failure(far, later);
    assert_eq!(source_of(&selector.choose(1, Some(far), later)), Some(near));
    // A source that comes back has failed all the same.
    selector.record_failure(near, later);
    selector.withdraw(near);
    selector.offer(near, 2, time::Duration::ZERO, later);
    let choice = selector.choose(1, Some(far), later);
    assert_eq!(choice, SourceChoice::Wait(later + 100 * MS));
}

/// The behaviour of a source in a run.
#[derive(Clone, Copy, Debug)]
struct SourcePlan {
    distance_ms: u32,
    offer_ms: u32,
    /// Number of requests that it fails first.
    failures: u32,
}

proptest! {
    /// Guards against a follower that stays behind although a source would answer, and against one
    /// that repeats requests without a bound.
    #[test]
    fn follower_becomes_current_with_bounded_requests(
        plans in proptest::collection::vec(
            (prop_oneof![Just(0_u32), Just(250)], 0_u32..300, 0_u32..4), 1..6),
    ) {
        let plans: Vec<_> = plans
            .into_iter()
            .map(|(distance_ms, offer_ms, failures)| SourcePlan { distance_ms, offer_ms, failures })
            .collect();
        let start = time::Instant::now();
        let mut selector = SourceSelector::default();
        let mut now = start;
        let mut asked = collections::HashMap::<_, Vec<_>>::new();
        let mut offered = 0;
        loop {
            let mut due: Vec<_> = plans.iter().enumerate().collect();
            due.sort_by_key(|(_, plan)| plan.offer_ms);
            for (number, plan) in &due[offered..] {
                if start + plan.offer_ms * MS <= now {
                    let source = address(u16::try_from(*number).unwrap());
                    selector.offer(source, 2, plan.distance_ms * MS, now);
                    offered += 1;
                }
            }
            match selector.choose(1, None, now) {
                SourceChoice::Fetch { source, timeout } => {
                    let times = asked.entry(source).or_default();
                    let plan = plans[usize::from(source.port())];
                    times.push(now);
                    if times.len() > plan.failures as usize {
                        break;
                    }
                    now += timeout;
                    selector.record_failure(source, now);
                }
                SourceChoice::Wait(until) => {
                    prop_assert!(until > now, "a wait that doesn't wait");
                    now = until.min(now + 50 * MS);
                }
                SourceChoice::Current => now += 50 * MS,
            }
            prop_assert!(now < start + 40_000 * MS, "not current after 40 s");
        }
        for times in asked.values() {
            for pair in times.windows(2) {
                let pause = pair[1] - pair[0];
                prop_assert!(pause >= 900 * MS, "asked again after {pause:?}");
            }
        }
    }
}
