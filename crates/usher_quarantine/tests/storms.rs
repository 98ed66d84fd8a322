//! Random fleets in virtual time: calls that crash engines among sound ones, and crashes without a
//! cause.

use std::time::{Duration, Instant};

use rand::{Rng as _, SeedableRng as _};
use usher_quarantine::{BrokenCall, CallPhase, EngineProcess, PartId, PartQuarantine};

/// Part that crashes engines.
const BAD: u64 = 0xbad;

/// Number of crashes from which the bounds are counted, as the platform's rules state it.
const FREE_CRASHES: usize = 5;

/// Time after those crashes from which calls with the part are counted, as the sheets state it.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Maximum number of calls with the part that reach engines after that, as the rules state it.
const MAX_ARRIVALS: usize = 3;

/// Time until an engine that crashed is back.
const RESTART_TIME: Duration = Duration::from_millis(3_500);

/// Time until a gateway knows what another one has seen.
const NEWS_TIME: Duration = Duration::from_millis(400);

const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(40);

/// A fleet of a certain size and load.
#[derive(Clone, Copy, Debug)]
struct Storm {
    engines: usize,
    gateways: usize,
    /// Sound calls in a second.
    sound: f64,
    /// Calls with the part in a second.
    crashing: f64,
    /// Engines that crash without a cause, in a second.
    failing: f64,
    /// Number of first parts, each of which comes with some second ones.
    first_parts: u64,
    /// Whether the part comes with one first part only.
    same_first: bool,
}

#[derive(Clone, Debug)]
struct RunningCall {
    id: u64,
    gateway: usize,
    parts: Vec<PartId>,
    sent_at: Instant,
    crashes: bool,
    ends_at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    process: u64,
    back_at: Option<Instant>,
    running: Vec<RunningCall>,
}

/// What happened in a storm.
#[derive(Debug, Default)]
struct Outcome {
    crashes: Vec<Instant>,
    /// Times at which calls with the part reached engines.
    arrivals: Vec<Instant>,
    /// Sound calls that were refused, with their time.
    refused: Vec<Instant>,
    /// Sound calls.
    sound: Vec<Instant>,
}

fn play(storm: Storm, seed: u64, start: Instant) -> Outcome {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut engines = vec![Engine::default(); storm.engines];
    let mut gateways = vec![PartQuarantine::new(Duration::from_secs(1_800)); storm.gateways];
    let mut outcome = Outcome::default();
    let (mut now, mut id) = (start, 0);
    let (mut told_at, mut told) = (start, vec![0; storm.gateways]);
    while now < start + LENGTH {
        now += STEP;
        for number in 0..storm.engines {
            let engine = &mut engines[number];
            if engine.back_at.is_some_and(|back_at| back_at <= now) {
                engine.back_at = None;
                engine.process += 1;
            }
            let fails =
                random.random_bool(storm.failing / storm.engines as f64 * STEP.as_secs_f64());
            let is_up = engine.back_at.is_none();
            let ended = engine.running.iter().filter(|call| call.ends_at <= now);
            let ended: Vec<_> = ended.cloned().collect();
            if is_up && (fails || ended.iter().any(|call| call.crashes)) {
                outcome.crashes.push(now);
                engine.back_at = Some(now + RESTART_TIME);
                let process = EngineProcess {
                    engine: number as u64,
                    incarnation: engine.process,
                };
                for call in std::mem::take(&mut engine.running) {
                    let age = now.duration_since(call.sent_at);
                    let phase = match call.crashes || age < Duration::from_millis(50) {
                        true => CallPhase::NoEvent,
                        false => CallPhase::Streaming,
                    };
                    let (parts, times) = (call.parts.into_iter(), (call.sent_at, now));
                    let broken = BrokenCall::new(call.id, process, parts, phase, times);
                    gateways[call.gateway].record(broken, now);
                }
                continue;
            }
            engine.running.retain(|call| call.ends_at > now);
            for call in ended {
                gateways[call.gateway].clear(&call.parts, now);
            }
        }
        if now >= told_at + NEWS_TIME {
            told_at = now;
            let news: Vec<BrokenCall> = gateways
                .iter()
                .zip(&told)
                .flat_map(|(gateway, told)| gateway.own_changes_since(*told).cloned())
                .collect();
            for (gateway, told) in gateways.iter_mut().zip(&mut told) {
                *told = gateway.last_change();
                gateway.merge(news.clone(), now);
            }
        }
        for (rate, crashes) in [(storm.sound, false), (storm.crashing, true)] {
            if !random.random_bool((rate * STEP.as_secs_f64()).min(1.0)) {
                continue;
            }
            let first = match crashes && storm.same_first {
                true => 0,
                false => random.random_range(0..storm.first_parts),
            };
            let second = match crashes {
                true => BAD,
                false => 0x1000 + first * 8 + random.random_range(0..8),
            };
            let parts = vec![PartId::new(first), PartId::new(second)];
            let gateway = random.random_range(0..storm.gateways);
            let is_refused = gateways[gateway].find(&parts).is_some();
            if !crashes {
                outcome.sound.push(now);
                outcome.refused.extend(is_refused.then_some(now));
            }
            let up: Vec<_> = (0..storm.engines)
                .filter(|number| engines[*number].back_at.is_none())
                .collect();
            if is_refused || up.is_empty() {
                continue;
            }
            if crashes {
                outcome.arrivals.push(now);
            }
            id += 1;
            let time = if crashes {
                60
            } else {
                random.random_range(50..400)
            };
            let engine = up[random.random_range(0..up.len())];
            engines[engine].running.push(RunningCall {
                id,
                gateway,
                parts,
                sent_at: now,
                crashes,
                ends_at: now + Duration::from_millis(time),
            });
        }
    }
    outcome
}

const SMALL: Storm = Storm {
    engines: 4,
    gateways: 8,
    sound: 25.0,
    crashing: 1.0,
    failing: 0.0,
    first_parts: 40,
    same_first: true,
};

/// Checks that few calls with the part reach engines, and that sound calls are served, in random
/// storms of a size.
fn check_storm(storm: Storm) {
    let start = Instant::now();
    let (mut wrong, mut refused, mut sound) = (Vec::new(), 0, 0);
    for seed in 0..20 {
        let outcome = play(storm, seed, start);
        let Some(fifth) = outcome.crashes.get(FREE_CRASHES - 1) else {
            continue;
        };
        let counted = *fifth + CONTACT_TIME;
        let arrivals = outcome.arrivals.iter().filter(|at| **at > counted).count();
        if arrivals > MAX_ARRIVALS {
            wrong.push((seed, arrivals, outcome.crashes.len()));
        }
        let later = |at: &&Instant| **at > counted + CONTACT_TIME;
        refused += outcome.refused.iter().filter(later).count();
        sound += outcome.sound.iter().filter(later).count();
    }
    assert!(wrong.is_empty(), "(seed, arrivals, crashes): {wrong:?}");
    // A sound part is rarely in quarantine by chance.
    assert!(refused * 100 <= sound, "{refused} of {sound} sound calls");
}

// Guards against a decision that comes too late or hits sound calls under a certain load.
usher_types::cases! { check_storm:
    few_engines(SMALL);
    part_with_many_first_parts(Storm { same_first: false, ..SMALL });
    part_that_comes_rarely(Storm { crashing: 0.3, ..SMALL });
    part_that_comes_often(Storm { crashing: 5.0, ..SMALL });
    many_engines(Storm { engines: 50, gateways: 60, sound: 90.0, crashing: 4.0, ..SMALL });
    engines_that_also_fail_without_cause(Storm { failing: 0.3, ..SMALL });
    many_engines_that_also_fail(Storm {
        engines: 50, gateways: 60, sound: 90.0, failing: 3.0, same_first: false, ..SMALL
    });
    few_sound_calls(Storm { sound: 3.0, first_parts: 6, ..SMALL });
    many_sessions(Storm { first_parts: 400, ..SMALL });
}

/// Checks that engines that crash without a cause put no part in quarantine for long.
fn check_failures(storm: Storm) {
    let start = Instant::now();
    let (mut refused, mut sound) = (0, 0);
    for seed in 0..20 {
        let outcome = play(
            Storm {
                crashing: 0.0,
                ..storm
            },
            seed,
            start,
        );
        refused += outcome.refused.len();
        sound += outcome.sound.len();
    }
    assert!(refused * 200 <= sound, "{refused} of {sound} sound calls");
}

// Guards against prompts that are blamed for engines that fail by themselves.
usher_types::cases! { check_failures:
    engines_fail_now_and_then(Storm { failing: 0.2, ..SMALL });
    engines_fail_all_the_time(Storm { failing: 1.0, ..SMALL });
    engines_of_a_large_fleet_fail(Storm { engines: 50, gateways: 60, sound: 90.0, failing: 4.0, ..SMALL });
    engines_fail_with_many_sessions(Storm { failing: 1.0, first_parts: 400, ..SMALL });
}
