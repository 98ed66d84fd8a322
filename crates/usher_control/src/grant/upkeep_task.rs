//! What the leader proposes by itself: targets and entries that are gone. Not for: orders.

use std::{sync, time};

use usher_wire::message::{self, state_command};

use crate::{fleet, grant};

/// How often the leader looks for what is gone.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Name of the leader as the one who marks targets gone.
const MARKED_BY: &str = "control";

/// Proposes until the task is aborted.
pub(crate) async fn run_upkeep<C>(
    access: fleet::FleetAccess,
    router: sync::Arc<fleet::CommandRouter<C>>,
    desk: sync::Arc<sync::Mutex<grant::LeaderDesk>>,
    clock: C,
) where
    C: usher_types::ClockSource,
{
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !access.leads() {
            continue;
        }
        for kind in due_commands(&access, &desk, &clock).await {
            if let Err(error) = router.propose_here(kind).await {
                tracing::debug!(%error, "upkeep not proposed");
                break;
            }
        }
    }
}

async fn due_commands<C>(
    access: &fleet::FleetAccess,
    desk: &sync::Mutex<grant::LeaderDesk>,
    clock: &C,
) -> Vec<state_command::Kind>
where
    C: usher_types::ClockSource,
{
    let term = access.status().term;
    let now = clock.now();
    let read = access.read(|state| {
        let mut desk = grant::lock_desk(desk);
        desk.enter(term, now);
        desk.watch.forget_old(now);
        desk.watch.note_config(state.config().version(), now);
        desk.sight.forget_old(now);
        let mut kinds = gone_targets(state.targets(), &desk, now);
        kinds.extend(gone_entries(state.claims(), &desk, now, wall_ms(clock)));
        kinds
    });
    read.await.unwrap_or_default()
}

fn gone_targets(
    targets: &usher_state::TargetTable,
    desk: &grant::LeaderDesk,
    now: time::Instant,
) -> Vec<state_command::Kind> {
    let gone = targets
        .present()
        .filter(|target| desk.sight.is_gone(&target.name, target.incarnation, now));
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

fn gone_entries(
    claims: &usher_state::ClaimTable,
    desk: &grant::LeaderDesk,
    now: time::Instant,
    wall_ms: u64,
) -> Option<state_command::Kind> {
    let gone: Vec<_> = claims
        .running_entries()
        .filter(|(name, incarnation, _)| desk.watch.is_gone(name, *incarnation, now))
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
