//! Plans the split of engines between prefill and decode in each failure domain. Not for: sending
//! the orders.

use std::collections;

use usher_roster::TargetEntry;
use usher_types::EngineRole;

/// Share of the engines of a domain in the decode role; the others do prefill. With these services
/// a prompt takes several times as much engine time as generating its answer, and an engine in the
/// decode role processes prompts at less than half the speed. Rounded up, because a single decode
/// engine out of six was overloaded at peak load.
const DECODE_SHARE: f64 = 0.2;

usher_types::value_type! {
    /// An engine and the role that it should change to.
    pub struct RoleAssignment {
        /// Engine to change.
        pub engine: TargetEntry,
        /// New role.
        pub role: EngineRole,
    }
}

/// Largest share of the engines of a domain that change their role at the same time, at least one
/// engine. An engine is unavailable for some seconds, during which the others handle its calls.
const MAX_CHANGING_SHARE: f64 = 0.25;

/// State of the role order of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleOrderState {
    /// No order is in flight.
    Idle,
    /// An order for this role is in flight, and the engine hasn't reported the role yet.
    Ordered(EngineRole),
    /// An order got no clear answer and may still be carried out.
    Unconfirmed,
}

/// Plans the role changes that should be ordered now, by service and failure domain.
///
/// Each domain keeps a decode engine, because KV caches move ten times as slowly between regions.
pub fn plan_role_changes<'t>(
    targets: impl Iterator<Item = &'t TargetEntry>,
    state: impl Fn(&usher_types::TargetName) -> RoleOrderState,
) -> Vec<RoleAssignment> {
    let mut groups = collections::BTreeMap::<_, Vec<&TargetEntry>>::new();
    for target in targets.filter(|target| target.takes_work() && target.role.is_some()) {
        let group = groups.entry((&target.service, &target.domain));
        group.or_default().push(target);
    }
    let assignments = groups.values().flat_map(|group| plan_group(group, &state));
    assignments.collect()
}

fn plan_group(
    group: &[&TargetEntry],
    state: impl Fn(&usher_types::TargetName) -> RoleOrderState,
) -> Vec<RoleAssignment> {
    if group.len() < 2 {
        return Vec::new();
    }
    let role = |target: &TargetEntry| match state(&target.name) {
        RoleOrderState::Ordered(role) => Some(role),
        RoleOrderState::Idle | RoleOrderState::Unconfirmed => target.role,
    };
    let is_idle = |target: &TargetEntry| state(&target.name) == RoleOrderState::Idle;
    let decode = group
        .iter()
        .filter(|target| role(target) == Some(EngineRole::Decode));
    let size = group.len() as f64;
    let wanted = (size * DECODE_SHARE).ceil() as usize;
    let decode = decode.count();
    let (from, to) = if decode > wanted {
        (EngineRole::Decode, EngineRole::Prefill)
    } else {
        (EngineRole::Prefill, EngineRole::Decode)
    };
    let busy = group.iter().filter(|target| !is_idle(target)).count();
    let most = ((size * MAX_CHANGING_SHARE) as usize).max(1);
    let most = most.saturating_sub(busy);
    let mut engines: Vec<_> = group
        .iter()
        .filter(|target| is_idle(target) && target.role == Some(from))
        .collect();
    engines.sort_by_key(|target| &target.name);
    engines
        .into_iter()
        .take(decode.abs_diff(wanted).min(most))
        .map(|engine| RoleAssignment {
            engine: (*engine).clone(),
            role: to,
        })
        .collect()
}
