//! Routing in one entry, by the policies of the product, the baselines or the oracle. Not for:
//! handling events.

use std::time;

use rand::{Rng as _, SeedableRng as _};
use usher_policy::{
    CallRequest, EntryPolicy, LoadReport, RefusalReason, RouteDecision, RouteSettings,
};
use usher_types::{EngineRole, WorkClass};

use crate::{engine, error, fleet, sim_time};

/// Name of the policy that an experiment runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Policies of the product.
    Usher,
    /// The targets in turn.
    RoundRobin,
    /// Target with the fewest calls in its last report, which is late.
    LeastReported,
    /// Of two random targets, the one with fewer outstanding calls of this entry.
    TwoChoices,
    /// Best static split of the engines, found in hindsight, with exact knowledge of their load.
    Oracle,
}

impl PolicyName {
    /// All policies, in the order of the table.
    pub const ALL: [Self; 5] = [
        Self::Usher,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::Oracle,
    ];
}

impl std::fmt::Display for PolicyName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Usher => "usher",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
            Self::Oracle => "oracle",
        })
    }
}

impl std::str::FromStr for PolicyName {
    type Err = error::BenchError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|name| name.to_string() == text);
        found.ok_or_else(|| {
            let accepted = "usher, round-robin, least-reported, two-choices, oracle";
            error::BenchError::unknown("policy", text, accepted)
        })
    }
}

/// Static split of the engines, as found by the oracle's search.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct StaticSplit {
    /// Engines that only prefill.
    pub prefill: usize,
    /// Engines that only decode.
    pub decode: usize,
    /// Mixed engines reserved for short work.
    pub short_only: usize,
}

/// State of an engine as an entry knows it under every policy.
#[derive(Clone, Debug)]
pub(crate) struct EngineView {
    pub(crate) available: bool,
    pub(crate) role: EngineRole,
    pub(crate) report: Option<LoadReport>,
    pub(crate) own_calls: u32,
}

/// Decision of a router.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoutePlan {
    pub(crate) refused: Option<RefusalReason>,
    pub(crate) engine: usize,
    pub(crate) prefill: Option<usize>,
    pub(crate) probe: Option<usize>,
    pub(crate) priority: u8,
    pub(crate) hedge: Option<time::Duration>,
}

impl RoutePlan {
    fn refuse(reason: RefusalReason) -> Self {
        Self {
            refused: Some(reason),
            ..Self::default()
        }
    }

    fn send(engine: usize, priority: u8) -> Self {
        Self {
            engine,
            priority,
            ..Self::default()
        }
    }
}

/// Priority of all work under the baselines.
const BASELINE_PRIORITY: u8 = 5;

/// Router of one entry.
#[derive(Clone, Debug)]
pub(crate) enum Router {
    RoundRobin(usize),
    LeastReported,
    TwoChoices(Box<rand_chacha::ChaCha8Rng>),
    Oracle(StaticSplit),
    Usher(Box<EntryPolicy>),
}

impl Router {
    pub(crate) fn new(
        policy: PolicyName,
        split: StaticSplit,
        fleet: &fleet::FleetSpec,
        entry: usize,
        seed: u64,
    ) -> Self {
        let seed = seed.wrapping_mul(1_000) + entry as u64;
        match policy {
            PolicyName::RoundRobin => Self::RoundRobin(entry),
            PolicyName::LeastReported => Self::LeastReported,
            PolicyName::TwoChoices => {
                Self::TwoChoices(Box::new(rand_chacha::ChaCha8Rng::seed_from_u64(seed)))
            }
            PolicyName::Oracle => Self::Oracle(split),
            PolicyName::Usher => {
                let home = fleet.regions[fleet.entries[entry]];
                // Operators take these settings from the data sheet of the engines.
                let mut settings = RouteSettings::new(home)
                    .with_seed(seed)
                    .with_prefill_rate(fleet.rates.mixed_prefill_per_second);
                settings.token_time = time::Duration::from_secs_f64(fleet.rates.step_base);
                settings.batch_limit = fleet.rates.batch_limit as u32;
                Self::Usher(Box::new(EntryPolicy::new(settings)))
            }
        }
    }

    pub(crate) fn policy_mut(&mut self) -> Option<&mut EntryPolicy> {
        match self {
            Self::Usher(policy) => Some(policy),
            _ => None,
        }
    }

    /// Routes a call; `new` is false for retries, which were admitted before.
    pub(crate) fn route(
        &mut self,
        request: &CallRequest,
        views: &[EngineView],
        engines: &[engine::FakeEngine],
        now: time::Instant,
        new: bool,
    ) -> RoutePlan {
        let available: Vec<usize> = (0..views.len())
            .filter(|at| views[*at].available && views[*at].role == EngineRole::Mixed)
            .collect();
        match self {
            Self::Usher(policy) => route_usher(policy, request, now, new),
            Self::Oracle(split) => route_oracle(*split, request, views, engines, now),
            _ if available.is_empty() => RoutePlan::refuse(RefusalReason::NoTarget),
            Self::RoundRobin(next) => {
                *next += 1;
                RoutePlan::send(available[*next % available.len()], BASELINE_PRIORITY)
            }
            Self::LeastReported => {
                let calls = |at: &usize| {
                    let report = views[*at].report;
                    report.map_or(0, |report| report.running + report.waiting)
                };
                let best = available
                    .iter()
                    .copied()
                    .min_by_key(calls)
                    .unwrap_or(available[0]);
                RoutePlan::send(best, BASELINE_PRIORITY)
            }
            Self::TwoChoices(random) => {
                let first = available[random.random_range(0..available.len())];
                let second = available[random.random_range(0..available.len())];
                let best = if views[second].own_calls < views[first].own_calls {
                    second
                } else {
                    first
                };
                RoutePlan::send(best, BASELINE_PRIORITY)
            }
        }
    }
}

fn route_usher(
    policy: &mut EntryPolicy,
    request: &CallRequest,
    now: time::Instant,
    new: bool,
) -> RoutePlan {
    let decision = policy.choose(request, now);
    if new {
        let verdict = policy.admit(request, &decision, now);
        if verdict.refused.is_some() {
            return RoutePlan {
                refused: verdict.refused,
                ..RoutePlan::default()
            };
        }
    }
    if decision.target.is_err() {
        return RoutePlan::refuse(RefusalReason::NoTarget);
    }
    let mut plan = route_plan(policy, &decision);
    plan.hedge = policy.hedge_delay(request, &decision);
    plan
}

/// Converts a decision that has a target to engine indices.
pub(crate) fn route_plan(policy: &EntryPolicy, decision: &RouteDecision) -> RoutePlan {
    let engine_index = |slot| engine_of(policy, slot);
    RoutePlan {
        refused: None,
        engine: decision.target.map_or(0, engine_index),
        prefill: decision.prefill.map(engine_index),
        probe: decision.probe.map(engine_index),
        priority: decision.priority,
        hedge: None,
    }
}

/// Returns the name of an engine, which ends with its index.
pub(crate) fn engine_name(at: usize) -> String {
    format!("engine-{at:04}")
}

fn engine_of(policy: &EntryPolicy, slot: usher_policy::TargetSlot) -> usize {
    let name = policy.table().name(slot).map_or("", |name| name.as_str());
    let number = name.rsplit('-').next().and_then(|text| text.parse().ok());
    number.unwrap_or(0)
}

/// Returns the exact expected times to first token and for the output, from the current state of
/// an engine.
fn exact_times(engine: &engine::FakeEngine, request: &CallRequest) -> (f64, f64) {
    let rates = &engine.rates;
    let calls = (engine.running.len() + engine.waiting.len()) as f64;
    let prefill = engine.prefill_waiting() as f64;
    let batch = calls.min(rates.batch_limit as f64);
    let chunk_time = prefill.min(rates.chunk_tokens as f64) / rates.mixed_prefill_per_second;
    let token =
        (rates.step_base + rates.step_per_call * (batch + 1.0) + chunk_time) * engine.slowness;
    let prompt = request.prompt.get() as f64;
    let steps = ((prefill + prompt) / rates.chunk_tokens as f64).max(1.0);
    let excess_calls = (calls + 1.0 - rates.batch_limit as f64).max(0.0);
    let output = request.output.get() as f64;
    let waiting = excess_calls * output * token / rates.batch_limit as f64;
    (waiting + steps * token, token * output)
}

fn route_oracle(
    split: StaticSplit,
    request: &CallRequest,
    views: &[EngineView],
    engines: &[engine::FakeEngine],
    now: time::Instant,
) -> RoutePlan {
    let short = request.class == WorkClass::Short;
    let prefilling = split.prefill;
    let decoding = split.prefill + split.decode;
    let reserved = decoding + split.short_only;
    let cost = |at: usize| {
        let (first, output) = exact_times(&engines[at], request);
        first + output
    };
    let best = |from: usize, to: usize| {
        let available = (from..to).filter(|at| views[*at].available);
        available
            .map(|at| (at, cost(at)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    };
    let end = if short { views.len() } else { reserved };
    let single = if short {
        best(decoding, end)
    } else {
        best(reserved, views.len())
    };
    let pair = best(0, prefilling).zip(best(prefilling, decoding));
    let pair_cost = pair.map(|((first, _), (second, _))| {
        exact_times(&engines[first], request).0 + exact_times(&engines[second], request).1
    });
    let priority = if short { 0 } else { BASELINE_PRIORITY };
    let mut plan = match (single, pair, pair_cost) {
        (Some((at, alone)), _, joined) if joined.is_none_or(|joined| alone <= joined) => {
            (RoutePlan::send(at, priority), alone)
        }
        (_, Some(((first, _), (second, _))), Some(joined)) => {
            let mut plan = RoutePlan::send(second, priority);
            plan.prefill = Some(first);
            (plan, joined)
        }
        _ => return RoutePlan::refuse(RefusalReason::NoTarget),
    };
    let left = request.deadline.map_or(f64::INFINITY, |deadline| {
        deadline.saturating_duration_since(now).as_secs_f64()
    });
    if plan.1 > left {
        plan.0.refused = Some(RefusalReason::Deadline);
    }
    plan.0
}

/// Returns the roles of the engines in a split: prefill first, then decode, then mixed.
pub(crate) fn split_roles(split: StaticSplit, engines: usize) -> Vec<EngineRole> {
    (0..engines)
        .map(|at| {
            if at < split.prefill {
                EngineRole::Prefill
            } else if at < split.prefill + split.decode {
                EngineRole::Decode
            } else {
                EngineRole::Mixed
            }
        })
        .collect()
}

/// Converts virtual time to an instant.
pub(crate) fn to_instant(base: time::Instant, nanos: u64) -> time::Instant {
    base + time::Duration::from_nanos(nanos.min(sim_time::from_millis(1_000_000_000)))
}
