//! Chooses the target of a call. Not for: whether the call is accepted.

use std::time;

use rand::{Rng as _, SeedableRng as _};
use usher_types::{EngineRole, TargetKind, WorkClass};

use crate::{admit, request, slot, table};

/// Candidates scored in the home region, and in all others together. Beyond these numbers a
/// random sample is scored, so that the cost of a decision doesn't grow with the fleet; the best
/// of 48 is in the best tenth with a probability above 99%.
const HOME_SAMPLE: usize = 48;
const FAR_SAMPLE: usize = 24;
/// Holders of the longest known prefix that are scored in addition to the sample.
const HOLDER_SAMPLE: usize = 8;
/// Candidates within this share and this time of the best are as good as the best.
const NEAR_SHARE: f64 = 0.10;
const NEAR_SECONDS: f64 = 0.020;
/// Candidates kept in a decision for explanations.
const EXPLAINED: usize = 8;
/// Highest and lowest priority that an engine knows.
const PRIORITY_HIGH: u8 = 0;
const PRIORITY_LONG: u8 = 5;
/// Bytes that a token takes on the wire, both as text in and as an event out.
const BYTES_PER_TOKEN: f64 = 6.0;
/// Seconds that a certain failure costs in the score. Large against any wait: a retry takes from a
/// budget of a tenth of the calls, which a third of the targets would use up.
const FAILURE_SECONDS: f64 = 10.0;
/// Seconds added for each own straggler on a target.
const STRAGGLER_SECONDS: f64 = 0.05;
/// Seconds added for long work on an engine that is kept for short work, while batches are empty.
/// The fuller they are, the less: full batches of mixed work do the most work per step.
const KEPT_SECONDS: f64 = 8.0;
/// How much a second by which the calls of a batch are delayed weighs in the score of long work.
const HARM_WEIGHT: f64 = 0.1;
/// How much a second beyond the deadline weighs against a second before it. With a large weight
/// all daemons run to the few targets that seem to be in time, and fill their batches.
const LATE_WEIGHT: f64 = 0.3;
/// Expected times are multiplied by this before they are compared with the deadline, because a
/// call that is accepted and late has cost capacity for nothing.
pub(crate) const DEADLINE_MARGIN: f64 = 1.1;
/// Share of the expected time per output token that counts for short and long work: short work
/// wants its first token, long work its last.
const SHORT_OUTPUT_WEIGHT: f64 = 0.1;
const LONG_OUTPUT_WEIGHT: f64 = 0.1;

usher_types::value_type! {
    /// Why a decision has no target.
    pub enum NoRoute {
        /// No target belongs to the service.
        UnknownService,
        /// No target of the service fits the call, whatever the load.
        NoneFits,
        /// All targets that fit are leaving, suspect or failing.
        NoneAvailable,
    }
}

usher_types::value_type! {
    /// How a candidate was scored; lower is better.
    #[derive(Copy)]
    pub struct CandidateScore {
        /// Candidate.
        pub slot: slot::TargetSlot,
        /// Expected time to first token, with link.
        pub first_token: time::Duration,
        /// Expected time to the whole answer.
        pub finish: time::Duration,
        /// Prompt tokens expected in its cache.
        pub hit_tokens: f64,
        /// Weight left by the detector of slow targets.
        pub weight: f64,
        /// Whether the memory is expected to hold the call at once.
        pub fits_now: bool,
        /// Whether the call is expected to be accepted and in time here.
        pub in_time: bool,
        /// Score that the choice was made by, in seconds.
        pub score: f64,
    }
}

/// What was chosen and why.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDecision {
    /// Target of the call, or of its decode when `prefill` is set.
    pub target: Result<slot::TargetSlot, NoRoute>,
    /// Engine that prefills first, when prefill and decode are apart.
    pub prefill: Option<slot::TargetSlot>,
    /// Slow target that gets a copy of this call as a probe; its output is discarded.
    pub probe: Option<slot::TargetSlot>,
    /// Priority for the engine, 0 is the highest.
    pub priority: u8,
    /// Expected time to first token.
    pub first_token: time::Duration,
    /// Expected time to the whole answer.
    pub finish: time::Duration,
    /// Best candidates, best first.
    pub candidates: Vec<CandidateScore>,
    /// Candidates that were scored.
    pub scored: usize,
}

impl RouteDecision {
    fn refused(reason: NoRoute) -> Self {
        Self {
            target: Err(reason),
            prefill: None,
            probe: None,
            priority: PRIORITY_LONG,
            first_token: time::Duration::MAX,
            finish: time::Duration::MAX,
            candidates: Vec::new(),
            scored: 0,
        }
    }
}

/// Chooses targets for calls, with random choice among those that are nearly the best.
///
/// ```
/// use std::time::Instant;
/// use usher_policy::{CallRequest, RegistryChange, RoutePolicy, RouteSettings, RouteTable, TargetInfo};
/// let mut table = RouteTable::new(RouteSettings::new("south-a"));
/// table.on_registry(RegistryChange::Put(TargetInfo::engine("e-1", "assist", "south-a")));
/// let mut policy = RoutePolicy::new(1);
/// let now = Instant::now();
/// let decision = policy.choose(&CallRequest::new("r-1", "assist", now), &mut table, now);
/// assert_eq!(decision.target.ok(), table.slot_of(&"e-1".parse().unwrap()));
/// ```
#[derive(Clone, Debug)]
pub struct RoutePolicy {
    random: rand_chacha::ChaCha8Rng,
}

impl RoutePolicy {
    /// Makes a policy with a seed for its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses the target of a call.
    pub fn choose(
        &mut self,
        request: &request::CallRequest,
        table: &mut table::RouteTable,
        now: time::Instant,
    ) -> RouteDecision {
        table.refresh(&request.service, now);
        let slots = self.sample(request, table);
        if slots.is_empty() {
            return RouteDecision::refused(NoRoute::UnknownService);
        }
        let mut refusal = NoRoute::NoneFits;
        let mut whole = Vec::with_capacity(slots.len());
        let mut prefill = Vec::new();
        let mut decode = Vec::new();
        for &slot in &slots {
            match standing(request, table, slot, now) {
                Standing::Unfit => continue,
                Standing::Unavailable => {
                    refusal = NoRoute::NoneAvailable;
                    continue;
                }
                Standing::Available => {}
            }
            let score = score(request, table, slot, now);
            match role_of(table, slot) {
                EngineRole::Mixed => whole.push(score),
                EngineRole::Prefill => prefill.push(score),
                EngineRole::Decode => decode.push(score),
            }
        }
        let scored = whole.len() + prefill.len() + decode.len();
        let mut decision = self.pick(request, table, whole, prefill, decode);
        if decision.target.is_err() {
            return RouteDecision::refused(refusal);
        }
        decision.scored = scored;
        if request.class == WorkClass::Short && request.idempotent {
            decision.probe = table.take_probe(&request.service, now);
        }
        decision
    }

    fn pick(
        &mut self,
        request: &request::CallRequest,
        table: &table::RouteTable,
        whole: Vec<CandidateScore>,
        prefill: Vec<CandidateScore>,
        decode: Vec<CandidateScore>,
    ) -> RouteDecision {
        let mut decision = RouteDecision::refused(NoRoute::NoneAvailable);
        decision.priority = priority(request);
        let single = self.pick_whole(&whole);
        let pair = self.pair(request, table, &prefill, &decode);
        let pair_wins = match (&single, &pair) {
            (Some(single), Some((_, joined))) => joined.score < single.score,
            (None, Some(_)) => true,
            _ => false,
        };
        let mut candidates = whole;
        if let Some((first, joined)) = pair.filter(|_| pair_wins) {
            decision.target = Ok(joined.slot);
            decision.prefill = Some(first);
            decision.first_token = joined.first_token;
            decision.finish = joined.finish;
            candidates.extend(prefill);
            candidates.extend(decode);
        } else if let Some(single) = single {
            decision.target = Ok(single.slot);
            decision.first_token = single.first_token;
            decision.finish = single.finish;
        }
        candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
        candidates.truncate(EXPLAINED);
        decision.candidates = candidates;
        decision
    }

    /// Chooses among engines that run whole calls; when the choice would be late, among those that
    /// would be in time, so that no call is refused while one of them has room.
    fn pick_whole(&mut self, whole: &[CandidateScore]) -> Option<CandidateScore> {
        let chosen = self.near_best(whole)?;
        if chosen.in_time {
            return Some(chosen);
        }
        let in_time: Vec<CandidateScore> = whole.iter().filter(|c| c.in_time).copied().collect();
        Some(self.near_best(&in_time).unwrap_or(chosen))
    }

    /// Joins the best prefill engine with the best decode engine.
    fn pair(
        &mut self,
        request: &request::CallRequest,
        table: &table::RouteTable,
        prefill: &[CandidateScore],
        decode: &[CandidateScore],
    ) -> Option<(slot::TargetSlot, CandidateScore)> {
        let first = self.near_best(prefill)?;
        let second = self.near_best(decode)?;
        let settings = table.settings();
        let moved = request.prompt.get() as f64 / settings.kv_move_rate;
        let first_token = first.first_token.as_secs_f64() + moved;
        let output = table.expect_token(second.slot) * request.remaining().get() as f64;
        let joined = CandidateScore {
            first_token: seconds(first_token),
            finish: seconds(first_token + output),
            score: first_token + output * output_weight(request),
            ..second
        };
        Some((first.slot, joined))
    }

    /// Chooses at random among the candidates that are nearly the best: many daemons that all
    /// chose the very best by the same late reports would send everything to one target.
    fn near_best(&mut self, candidates: &[CandidateScore]) -> Option<CandidateScore> {
        let best = candidates.iter().map(|c| c.score).min_by(f64::total_cmp)?;
        let bound = best + (best * NEAR_SHARE).max(NEAR_SECONDS);
        let near = || candidates.iter().filter(|c| c.score <= bound);
        let width = (bound - best).max(1e-9);
        let chance = |c: &CandidateScore| c.weight * (1.0 - 0.8 * (c.score - best) / width);
        let total: f64 = near().map(chance).sum();
        let mut left = self.random.random::<f64>() * total;
        for candidate in near() {
            left -= chance(candidate);
            if left <= 0.0 {
                return Some(*candidate);
            }
        }
        near().next_back().copied()
    }

    /// Returns the slots to score: all of a small fleet, a random sample of a large one.
    fn sample(
        &mut self,
        request: &request::CallRequest,
        table: &table::RouteTable,
    ) -> Vec<slot::TargetSlot> {
        let Some(regions) = table.pool(&request.service) else {
            return Vec::new();
        };
        let home = &table.settings().home;
        let far_regions = regions.keys().filter(|region| *region != home).count();
        let far_limit = FAR_SAMPLE / far_regions.max(1);
        let mut slots = Vec::with_capacity(HOME_SAMPLE + FAR_SAMPLE + HOLDER_SAMPLE);
        for (region, members) in regions {
            let limit = if region == home {
                HOME_SAMPLE
            } else {
                far_limit
            };
            self.sample_region(members, limit, &mut slots);
        }
        for &holder in table.prefixes().holders(&request.prefixes, HOLDER_SAMPLE) {
            if !slots.contains(&holder) {
                slots.push(holder);
            }
        }
        slots
    }

    fn sample_region(
        &mut self,
        members: &[slot::TargetSlot],
        limit: usize,
        slots: &mut Vec<slot::TargetSlot>,
    ) {
        if members.len() <= limit {
            slots.extend_from_slice(members);
            return;
        }
        // One random member of each of `limit` equal stretches: distinct, and cheap to draw.
        for stretch in 0..limit {
            let from = stretch * members.len() / limit;
            let to = (stretch + 1) * members.len() / limit;
            let at = self.random.random_range(from..to.max(from + 1));
            slots.extend(members.get(at));
        }
    }
}

enum Standing {
    Unfit,
    Unavailable,
    Available,
}

fn standing(
    request: &request::CallRequest,
    table: &table::RouteTable,
    slot: slot::TargetSlot,
    now: time::Instant,
) -> Standing {
    let Some(state) = table.state(slot) else {
        return Standing::Unfit;
    };
    let info = &state.info;
    let model_fits = request.model.is_none() || request.model == info.model;
    let counted = info.kind == TargetKind::Engine && info.pieces.get() > 0;
    let memory_fits = !counted || request.pieces() <= info.pieces;
    if info.service != request.service || !model_fits || !memory_fits {
        return Standing::Unfit;
    }
    let failing = table.is_failing(slot, now) || request.avoid.contains(&info.name);
    if !state.takes_work() || failing {
        return Standing::Unavailable;
    }
    Standing::Available
}

fn role_of(table: &table::RouteTable, slot: slot::TargetSlot) -> EngineRole {
    table.info(slot).map_or(EngineRole::Mixed, |info| info.role)
}

fn score(
    request: &request::CallRequest,
    table: &table::RouteTable,
    slot: slot::TargetSlot,
    now: time::Instant,
) -> CandidateScore {
    let settings = table.settings();
    let Some(state) = table.state(slot) else {
        return unusable(slot);
    };
    let info = &state.info;
    let link = 2.0 * settings.delay_to(&info.region).as_secs_f64();
    let adapter = request.adapter.as_ref();
    let resident = adapter.is_none_or(|adapter| info.adapters.contains(adapter));
    let loading = if resident {
        0.0
    } else {
        settings.adapter_load.as_secs_f64()
    };
    let per_token = table.expect_token(slot);
    let waiting = table.slot_wait(request, slot);
    let first_token = link + loading + waiting + table.expect_first(request, slot);
    let output = per_token * request.remaining().get() as f64;
    let far = info.region != settings.home;
    let bytes = (request.prompt.get() + request.output.get()) as f64 * BYTES_PER_TOKEN;
    let cost = if far {
        bytes / 1e6 * settings.far_cost_per_megabyte
    } else {
        0.0
    };
    let crowding = f64::from(state.stragglers) * STRAGGLER_SECONDS
        + state.failure_share(now) * FAILURE_SECONDS;
    let kept = request.class == WorkClass::Long && !state.for_long;
    let mut reserve = if kept {
        KEPT_SECONDS * table.room()
    } else {
        0.0
    };
    if request.class == WorkClass::Long {
        // Prefill of long work delays every call in the batch by as long as it takes.
        let prefill = table.prefill_work(request, slot) / settings.prefill_rate;
        reserve += HARM_WEIGHT * prefill * state.load().calls;
    }
    let late = lateness(request, first_token + output, now) * LATE_WEIGHT;
    let expected = first_token + output * output_weight(request) + crowding + cost + reserve + late;
    CandidateScore {
        slot,
        first_token: seconds(first_token),
        finish: seconds(first_token + output),
        hit_tokens: table.prefixes().hit_tokens(slot, &request.prefixes),
        weight: state.weight,
        fits_now: table.fits_now(request, slot),
        in_time: admit::pressure(request, first_token, output, settings, now)
            <= admit::MAX_PRESSURE,
        score: expected / state.weight,
    }
}

/// Returns by how many seconds the call is expected to miss its deadline, with a margin.
fn lateness(request: &request::CallRequest, finish: f64, now: time::Instant) -> f64 {
    let Some(deadline) = request.deadline else {
        return 0.0;
    };
    let left = deadline.saturating_duration_since(now).as_secs_f64();
    (finish * DEADLINE_MARGIN - left).max(0.0)
}

fn unusable(slot: slot::TargetSlot) -> CandidateScore {
    CandidateScore {
        slot,
        first_token: time::Duration::MAX,
        finish: time::Duration::MAX,
        hit_tokens: 0.0,
        weight: 0.0,
        fits_now: false,
        in_time: false,
        score: f64::INFINITY,
    }
}

fn output_weight(request: &request::CallRequest) -> f64 {
    match request.class {
        WorkClass::Short => SHORT_OUTPUT_WEIGHT,
        WorkClass::Long => LONG_OUTPUT_WEIGHT,
    }
}

fn priority(request: &request::CallRequest) -> u8 {
    match request.class {
        WorkClass::Short => PRIORITY_HIGH,
        WorkClass::Long => PRIORITY_LONG,
    }
}

fn seconds(value: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(time::Duration::MAX)
}
