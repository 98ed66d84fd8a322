//! Decides which engines should change their role, by failure domain. Not for: giving the orders.

use std::collections;

use usher_roster::TargetEntry;
use usher_types::EngineRole;

/// Part of the engines of a domain that generate; the others read prompts. Reading a prompt of
/// these services takes several times the engine time of generating its answer, and an engine in
/// the decode role reads at less than half the speed. Rounded up: with one generator of six, that of
/// a domain was overrun at the crest.
const DECODE_SHARE: f64 = 0.2;

usher_types::value_type! {
    /// An engine that should get another role.
    pub struct RoleWish {
        /// The engine.
        pub engine: TargetEntry,
        /// The role.
        pub role: EngineRole,
    }
}

/// Part of the engines of a domain whose role changes at a time; at least one does. An engine is
/// away for some seconds, and the others take its work meanwhile.
const CHANGING_PART: f64 = 0.25;

/// What is under way at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleOrderState {
    /// No order.
    Idle,
    /// It was ordered a role that it hasn't reported yet.
    Ordered(EngineRole),
    /// An order brought no clear answer, and may still be carried out.
    Unclear,
}

/// Returns which engines should be ordered another role now, by failure domain and service.
///
/// Each domain keeps an engine that generates, because memory moves ten times as slowly between
/// regions.
pub fn role_wishes<'t>(
    targets: impl Iterator<Item = &'t TargetEntry>,
    state: impl Fn(&usher_types::TargetName) -> RoleOrderState,
) -> Vec<RoleWish> {
    let mut groups = collections::BTreeMap::<_, Vec<&TargetEntry>>::new();
    for target in targets.filter(|target| target.takes_work() && target.role.is_some()) {
        let group = groups.entry((&target.service, &target.domain));
        group.or_default().push(target);
    }
    let wishes = groups.values().flat_map(|group| wishes_of(group, &state));
    wishes.collect()
}

fn wishes_of(
    group: &[&TargetEntry],
    state: impl Fn(&usher_types::TargetName) -> RoleOrderState,
) -> Vec<RoleWish> {
    if group.len() < 2 {
        return Vec::new();
    }
    let role = |target: &TargetEntry| match state(&target.name) {
        RoleOrderState::Ordered(role) => Some(role),
        RoleOrderState::Idle | RoleOrderState::Unclear => target.role,
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
    let most = ((size * CHANGING_PART) as usize).max(1);
    let most = most.saturating_sub(busy);
    let mut engines: Vec<_> = group
        .iter()
        .filter(|target| is_idle(target) && target.role == Some(from))
        .collect();
    engines.sort_by_key(|target| &target.name);
    engines
        .into_iter()
        .take(decode.abs_diff(wanted).min(most))
        .map(|engine| RoleWish {
            engine: (*engine).clone(),
            role: to,
        })
        .collect()
}
