//! Chooses the engines of a model call. Not for: the policies, which are in `usher_place`.

use std::{net, time};

use usher_place::CallGuard;
use usher_roster::TargetEntry;

use crate::{call, core, dialect, held_prompt};

/// Maximum number of engines that are asked to read a prompt; after that the decode engine reads
/// it.
const MAX_PREFILLS: u32 = 2;

/// An engine chosen for a part of a call, which is counted there as in flight.
pub(super) struct PlacedCall {
    pub(super) target: TargetEntry,
    pub(super) guard: CallGuard,
    /// Whether the engine also generates the answer.
    pub(super) also_decodes: bool,
    pub(super) urgency: usher_place::SendUrgency,
    /// Expected time until the prompt is read, or decoding begins.
    pub(super) expected: time::Duration,
    /// Prompt tokens that the engine has to read first.
    pub(super) queued: u64,
    /// What the time until the answer will show.
    pub(super) sample: Option<usher_place::PlannedSample>,
    /// Engine from which the target copies the shared prefix of the prompt.
    pub(super) copy_from: Option<net::SocketAddr>,
    /// Why the call leaves the failure domain, if it does.
    pub(super) spill: Option<usher_place::SpillReason>,
}

/// Chooses the engine that reads the prompt; after too many prefills, the decode engine.
pub(super) fn place_prefill<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    tried: &[usher_types::TargetName],
    prefills: u32,
) -> Option<PlacedCall>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let work = call.metadata.work.clone().unwrap_or_else(empty_work);
    let targets = core.targets(&call.service);
    let view = core.view(&targets, tried, &core.options.domain);
    if prefills >= MAX_PREFILLS {
        return place_decode(core, call, None, tried);
    }
    let goal = goal(call);
    let plan = core.with_engine_policy(|policy| policy.choose_prefill(&work, &goal, &view))?;
    let guard = core
        .loads
        .track_call(&plan.engine.name, plan.tokens, plan.urgency);
    Some(PlacedCall {
        target: plan.engine,
        guard,
        also_decodes: plan.also_decodes,
        urgency: plan.urgency,
        expected: plan.expected,
        queued: plan.queued,
        sample: plan.sample,
        copy_from: plan.copy_from,
        spill: plan.spill,
    })
}

/// Chooses the decode engine; it fetches the prompt from the engine that holds it, if there is one.
pub(super) fn place_decode<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    held: Option<&held_prompt::HeldPrompt<D, C>>,
    tried: &[usher_types::TargetName],
) -> Option<PlacedCall>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let work = call.metadata.work.clone().unwrap_or_else(empty_work);
    let targets = core.targets(&call.service);
    let from = held.map_or(&core.options.domain, |held| &held.holder().domain);
    let view = core.view(&targets, tried, from);
    let target = core.with_engine_policy(|policy| policy.choose_decode(&work, &view).cloned())?;
    // Distances of the send itself are those from the gateway.
    let from_gateway = core.view(&targets, tried, &core.options.domain);
    let spill = from_gateway.spill_reason(&target);
    let holder = held.map(held_prompt::HeldPrompt::holder);
    let sample = usher_place::decode_sample(&work, &target, holder, &from_gateway);
    let tokens = if held.is_none() {
        work.prompt_tokens
    } else {
        0
    };
    let urgency = if goal(call).time_left.is_zero() {
        usher_place::SendUrgency::late()
    } else {
        usher_place::SendUrgency::of_rank(call.rank())
    };
    let guard = core.loads.track_call(&target.name, tokens, urgency);
    Some(PlacedCall {
        target,
        guard,
        also_decodes: true,
        urgency,
        expected: time::Duration::ZERO,
        queued: 0,
        sample: Some(sample),
        copy_from: None,
        spill,
    })
}

fn goal(call: &call::RoutedCall) -> usher_place::CallGoal {
    usher_place::CallGoal {
        rank: call.rank(),
        time_left: call.route.objective.saturating_sub(call.arrived.elapsed()),
    }
}

fn empty_work() -> usher_place::PromptWork {
    usher_place::PromptWork {
        prompt_tokens: 0,
        output_tokens: 0,
        parts: Vec::new(),
    }
}
