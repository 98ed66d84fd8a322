//! Tests that roles follow a lasting shift of the mix and nothing else.

use std::time;

use usher_policy::{RoleCounts, RoleLimits, RolePolicy, RoleRates};
use usher_types::EngineRole;

const ENGINES: u32 = 12;

fn policy() -> RolePolicy {
    let limits = RoleLimits {
        min: RoleCounts {
            prefill: 0,
            decode: 0,
            mixed: 3,
        },
        max: RoleCounts {
            prefill: ENGINES,
            decode: ENGINES,
            mixed: ENGINES,
        },
    };
    let rates = RoleRates {
        prefill_alone: 11_200.0,
        prefill_mixed: 10_200.0,
        decode: 2_290.0,
        token_time: 0.028,
        token_goal: 0.079,
        change_seconds: 4.0,
    };
    RolePolicy::new(limits, rates)
}

/// Returns initial roles with some engines for prefill only and decode only, as a sheet may
/// request.
fn split(prefill: usize, decode: usize) -> [EngineRole; ENGINES as usize] {
    let mut roles = [EngineRole::Mixed; ENGINES as usize];
    roles[..prefill].fill(EngineRole::Prefill);
    roles[prefill..prefill + decode].fill(EngineRole::Decode);
    roles
}

/// Applies a demand in prompt and output tokens per second, and returns the number of role
/// changes.
fn changes<D>(mut roles: [EngineRole; ENGINES as usize], demand: D) -> usize
where
    D: Fn(u64) -> (f64, f64),
{
    let mut policy = policy();
    let start = time::Instant::now();
    let mut made = 0;
    for second in 0..120 {
        let now = start + time::Duration::from_secs(second);
        let (prompt, output) = demand(second);
        policy.observe(prompt, output, now);
        if let Some(change) = policy.decide(now, RoleCounts::of(roles)) {
            let at = roles.iter().position(|role| *role == change.from).unwrap();
            roles[at] = change.to;
            made += 1;
        }
    }
    made
}

/// Guards against a policy that never acts. Four engines for prefill only are useless after calls
/// with short prompts have become prevalent and the other engines are full.
#[test]
fn lasting_shift_changes_roles() {
    let made = changes(split(4, 2), |second| {
        if second < 60 {
            (60_000.0, 6_000.0)
        } else {
            (6_000.0, 18_500.0)
        }
    });
    assert!((1..=2).contains(&made), "{made} role changes");
}

/// Guards against changes that follow noise, each of which costs seconds of an engine.
#[test]
fn noise_changes_nothing() {
    let made = changes(split(0, 0), |second| {
        // The demand varies by a half up and down within three seconds.
        let factor = [0.5, 1.5, 1.0][(second % 3) as usize];
        (30_000.0 * factor, 10_000.0 * factor)
    });
    assert_eq!(made, 0);
}
