//! Proposes on the leader to mark silent targets as gone and to expire claims. Not for: orders.

use std::{sync, time};

use usher_wire::message::{self, state_command};

use crate::{fleet, grant};

/// Interval at which the leader checks for expired targets, entries and claims.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Operator name with which the leader marks targets as gone.
const MARKED_BY: &str = "control";

/// Runs the checks until the task is aborted.
pub(crate) async fn run_expiry<C>(
    access: fleet::FleetAccess,
    router: sync::Arc<fleet::CommandRouter<C>>,
    leader_state: sync::Arc<sync::Mutex<grant::LeaderState>>,
    clock: C,
) where
    C: usher_types::ClockSource,
{
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !access.leads() {
            continue;
        }
        for kind in due_commands(&access, &leader_state, &clock).await {
            if let Err(error) = router.propose_locally(kind).await {
                tracing::debug!(%error, "expiry of targets or claims not committed");
                break;
            }
        }
    }
}

async fn due_commands<C>(
    access: &fleet::FleetAccess,
    leader_state: &sync::Mutex<grant::LeaderState>,
    clock: &C,
) -> Vec<state_command::Kind>
where
    C: usher_types::ClockSource,
{
    let term = access.status().term;
    let now = clock.now();
    let read = access.read(|state| {
        let mut leader_state = grant::lock_leader(leader_state);
        leader_state.enter_term(term, now);
        leader_state.entries.remove_stale(now);
        leader_state
            .entries
            .record_config(state.config().version(), now);
        leader_state.targets.remove_stale(now);
        let mut kinds = gone_targets(state.targets(), &leader_state, now);
        kinds.extend(expired_claims(
            state.claims(),
            &leader_state,
            now,
            wall_ms(clock),
        ));
        kinds
    });
    read.await.unwrap_or_default()
}

fn gone_targets(
    targets: &usher_state::TargetTable,
    leader_state: &grant::LeaderState,
    now: time::Instant,
) -> Vec<state_command::Kind> {
    let gone = targets.present().filter(|target| {
        leader_state
            .targets
            .is_gone(&target.name, target.incarnation, now)
    });
    let marks = gone.map(|target| {
        state_command::Kind::MarkTarget(message::TargetMark {
            name: target.name.clone(),
            incarnation: target.incarnation,
            leaving: false,
            gone: true,
            operator: MARKED_BY.to_owned(),
        })
    });
    marks.collect()
}

fn expired_claims(
    claims: &usher_state::ClaimTable,
    leader_state: &grant::LeaderState,
    now: time::Instant,
    wall_ms: u64,
) -> Option<state_command::Kind> {
    let gone: Vec<_> = claims
        .running_entries()
        .filter(|(name, incarnation, _)| leader_state.entries.is_gone(name, *incarnation, now))
        .map(|(name, incarnation, _)| message::NodeIdentity {
            name: name.to_owned(),
            incarnation,
        })
        .collect();
    let due = !gone.is_empty() || claims.has_expired(wall_ms);
    due.then_some(state_command::Kind::ExpireClaims(message::ExpireClaims {
        gone,
    }))
}

fn wall_ms<C>(clock: &C) -> u64
where
    C: usher_types::ClockSource,
{
    let since_1970 = clock.wall().duration_since(time::UNIX_EPOCH);
    u64::try_from(since_1970.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
