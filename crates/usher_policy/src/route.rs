//! Chooses the target of a call. Not for: admission.

use std::time;

use rand::{Rng as _, SeedableRng as _};
use usher_types::{EngineRole, TargetKind, WorkClass};

use crate::{admission, request, slot, table};

/// Candidates scored in the home region, and in all other regions together. In larger fleets a
/// random sample of this size is scored, so that the cost of a decision does not grow with the
/// fleet. The best of 48 is in the best tenth with a probability above 99%.
const HOME_SAMPLE: usize = 48;
const REMOTE_SAMPLE: usize = 24;
/// Targets with the longest known prefix that are scored in addition to the sample.
const HOLDER_SAMPLE: usize = 8;
/// A candidate within this share or these seconds of the best score, whichever is more, may be
/// chosen instead of the best.
const NEAR_BEST_SHARE: f64 = 0.10;
const NEAR_BEST_SECONDS: f64 = 0.020;
/// Candidates kept in a decision for explanations.
const MAX_EXPLAINED: usize = 8;
/// Priority of short and of long work, the highest and the lowest that an engine supports.
const PRIORITY_SHORT: u8 = 0;
const PRIORITY_LONG: u8 = 5;
/// Bytes per token on the wire, both as prompt text and as a stream event.
const BYTES_PER_TOKEN: f64 = 6.0;
/// Penalty in seconds for a target on which every attempt fails. It is large compared with any
/// wait, because retries come from a budget of a tenth of the calls, which a third of the targets
/// failing would exhaust.
const FAILURE_SECONDS: f64 = 10.0;
/// Penalty in seconds for each straggler of this entry on a target.
const STRAGGLER_SECONDS: f64 = 0.05;
/// Penalty in seconds for long work on an engine that is reserved for short work, while batches
/// are empty. It falls as the batches fill up, because full batches of mixed work do the most work
/// per step.
const RESERVED_SECONDS: f64 = 8.0;
/// Weight of each second by which the calls of a batch are delayed, in the score of long work.
const BATCH_DELAY_WEIGHT: f64 = 0.1;
/// Weight of a second after the deadline relative to a second before it. With a large weight, all
/// daemons send to the few targets that appear to be in time and fill their batches.
const LATE_WEIGHT: f64 = 0.3;
/// Factor on expected times before they are compared with the deadline, because a call that is
/// accepted and then late wastes capacity.
pub(crate) const DEADLINE_MARGIN: f64 = 1.1;
/// Share of the expected output time that counts in the score, for short and for long work. Short
/// work depends on its first token. With a larger share for long work, its slower output on the
/// engines for long work outweighs the penalties that keep it off the other engines.
const SHORT_OUTPUT_WEIGHT: f64 = 0.1;
const LONG_OUTPUT_WEIGHT: f64 = 0.1;

usher_types::value_type! {
    /// Reason why a decision has no target.
    pub enum NoRoute {
        /// No target belongs to the service.
        UnknownService,
        /// No target of the service fits the call, whatever its load.
        NoneFits,
        /// All targets that fit are leaving, suspect or failing.
        NoneAvailable,
    }
}

usher_types::value_type! {
    /// Score of a candidate; lower is better.
    #[derive(Copy)]
    pub struct CandidateScore {
        /// Candidate.
        pub slot: slot::TargetSlot,
        /// Expected time to first token, including the network delay.
        pub first_token: time::Duration,
        /// Expected time to the complete answer.
        pub finish: time::Duration,
        /// Prompt tokens expected in the prefix cache of the target.
        pub hit_tokens: f64,
        /// Weight from the detector of slow targets.
        pub weight: f64,
        /// Whether the memory of the target is expected to have room for the call now.
        pub fits_now: bool,
        /// Whether the call is expected to be admitted and finish in time on this target.
        pub in_time: bool,
        /// Score in seconds, by which the target is chosen.
        pub score: f64,
    }
}

/// Result of a routing decision, with the candidates for explanations.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDecision {
    /// Target of the call, or of its decode phase when `prefill` is set.
    pub target: Result<slot::TargetSlot, NoRoute>,
    /// Engine that runs the prefill when prefill and decode run on separate engines.
    pub prefill: Option<slot::TargetSlot>,
    /// Slow target that gets a copy of this call as a probe; its output is discarded.
    pub probe: Option<slot::TargetSlot>,
    /// Priority on the engine; 0 is the highest.
    pub priority: u8,
    /// Expected time to first token.
    pub first_token: time::Duration,
    /// Expected time to the complete answer.
    pub finish: time::Duration,
    /// Best candidates, the best first.
    pub candidates: Vec<CandidateScore>,
    /// Number of candidates that were scored.
    pub scored: usize,
    /// Time until the first of the targets that want a pause takes calls again, when there is no
    /// other one.
    pub pause: Option<time::Duration>,
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
            pause: None,
        }
    }
}

/// Chooses targets for calls, at random among those that are nearly the best.
///
/// ```
/// use std::time::Instant;
/// use usher_policy::{CallRequest, RegistryChange, RoutePolicy, RouteSettings, TargetInfo, TargetTable};
/// let mut table = TargetTable::new(RouteSettings::new("south-a"));
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
    /// Creates a policy with a seed for the random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Chooses the target of a call.
    pub fn choose(
        &mut self,
        request: &request::CallRequest,
        table: &mut table::TargetTable,
        now: time::Instant,
    ) -> RouteDecision {
        table.refresh(&request.service, now);
        let slots = self.sample(request, table);
        if slots.is_empty() {
            return RouteDecision::refused(NoRoute::UnknownService);
        }
        let mut refusal = NoRoute::NoneFits;
        let mut pause = None;
        let mut mixed = Vec::with_capacity(slots.len());
        let mut prefill = Vec::new();
        let mut decode = Vec::new();
        for &slot in &slots {
            match eligibility(request, table, slot, now) {
                Eligibility::Unsuitable => continue,
                Eligibility::Pausing(left) => {
                    refusal = NoRoute::NoneAvailable;
                    pause = Some(pause.map_or(left, |pause: time::Duration| pause.min(left)));
                    continue;
                }
                Eligibility::Unavailable => {
                    refusal = NoRoute::NoneAvailable;
                    continue;
                }
                Eligibility::Available => {}
            }
            let score = score(request, table, slot, now);
            match role_of(table, slot) {
                EngineRole::Mixed => mixed.push(score),
                EngineRole::Prefill => prefill.push(score),
                EngineRole::Decode => decode.push(score),
            }
        }
        let scored = mixed.len() + prefill.len() + decode.len();
        let mut decision = self.pick(request, table, mixed, prefill, decode);
        if decision.target.is_err() {
            return RouteDecision {
                pause,
                ..RouteDecision::refused(refusal)
            };
        }
        decision.scored = scored;
        if request.class == WorkClass::Short && request.idempotent {
            decision.probe = table.start_due_probe(&request.service, now);
        }
        decision
    }

    fn pick(
        &mut self,
        request: &request::CallRequest,
        table: &table::TargetTable,
        mixed: Vec<CandidateScore>,
        prefill: Vec<CandidateScore>,
        decode: Vec<CandidateScore>,
    ) -> RouteDecision {
        let mut decision = RouteDecision::refused(NoRoute::NoneAvailable);
        decision.priority = priority(request);
        let single = self.pick_single(&mixed);
        let pair = self.pick_pair(request, table, &prefill, &decode);
        let pair_wins = match (&single, &pair) {
            (Some(single), Some((_, joined))) => joined.score < single.score,
            (None, Some(_)) => true,
            _ => false,
        };
        let mut candidates = mixed;
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
        candidates.truncate(MAX_EXPLAINED);
        decision.candidates = candidates;
        decision
    }

    /// Chooses among engines that run complete calls. When the choice would be late, it chooses
    /// among those that would be in time, so that no call is refused while one of them has room.
    fn pick_single(&mut self, mixed: &[CandidateScore]) -> Option<CandidateScore> {
        let chosen = self.pick_near_best(mixed)?;
        if chosen.in_time {
            return Some(chosen);
        }
        let in_time: Vec<CandidateScore> = mixed.iter().filter(|c| c.in_time).copied().collect();
        Some(self.pick_near_best(&in_time).unwrap_or(chosen))
    }

    /// Combines the best prefill engine with the best decode engine.
    fn pick_pair(
        &mut self,
        request: &request::CallRequest,
        table: &table::TargetTable,
        prefill: &[CandidateScore],
        decode: &[CandidateScore],
    ) -> Option<(slot::TargetSlot, CandidateScore)> {
        let first = self.pick_near_best(prefill)?;
        let second = self.pick_near_best(decode)?;
        let settings = table.settings();
        let transfer_time = request.prompt.get() as f64 / settings.kv_transfer_rate;
        let first_token = first.first_token.as_secs_f64() + transfer_time;
        let output = table.expected_token_time(second.slot) * request.remaining().get() as f64;
        let joined = CandidateScore {
            first_token: seconds(first_token),
            finish: seconds(first_token + output),
            score: first_token + output * output_weight(request),
            ..second
        };
        Some((first.slot, joined))
    }

    /// Chooses at random among the candidates that are nearly the best. If many daemons all chose
    /// the best by the same late reports, they would send everything to one target. A candidate is
    /// chosen in proportion to its weight, and less often the further it is from the best.
    fn pick_near_best(&mut self, candidates: &[CandidateScore]) -> Option<CandidateScore> {
        let best = candidates.iter().map(|c| c.score).min_by(f64::total_cmp)?;
        let bound = best + (best * NEAR_BEST_SHARE).max(NEAR_BEST_SECONDS);
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

    /// Returns the slots to score: all targets of a small fleet, a random sample of a large one.
    fn sample(
        &mut self,
        request: &request::CallRequest,
        table: &table::TargetTable,
    ) -> Vec<slot::TargetSlot> {
        let Some(regions) = table.pool(&request.service) else {
            return Vec::new();
        };
        let home = &table.settings().home;
        let remote_regions = regions.keys().filter(|region| *region != home).count();
        let remote_limit = REMOTE_SAMPLE / remote_regions.max(1);
        let mut slots = Vec::with_capacity(HOME_SAMPLE + REMOTE_SAMPLE + HOLDER_SAMPLE);
        for (region, members) in regions {
            let limit = if region == home {
                HOME_SAMPLE
            } else {
                remote_limit
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
        // Draws one random member from each of `limit` equal sections, which gives distinct
        // members at low cost.
        for section in 0..limit {
            let from = section * members.len() / limit;
            let to = (section + 1) * members.len() / limit;
            let at = self.random.random_range(from..to.max(from + 1));
            slots.extend(members.get(at));
        }
    }
}

enum Eligibility {
    Unsuitable,
    Unavailable,
    /// It wants no request for so long.
    Pausing(time::Duration),
    Available,
}

fn eligibility(
    request: &request::CallRequest,
    table: &table::TargetTable,
    slot: slot::TargetSlot,
    now: time::Instant,
) -> Eligibility {
    let Some(state) = table.state(slot) else {
        return Eligibility::Unsuitable;
    };
    let info = &state.info;
    let model_fits = request.model.is_none() || request.model == info.model;
    let counted = info.kind == TargetKind::Engine && info.pieces.get() > 0;
    let memory_fits = !counted || request.pieces() <= info.pieces;
    if info.service != request.service || !model_fits || !memory_fits {
        return Eligibility::Unsuitable;
    }
    let failing = table.is_failing(slot, now) || request.avoid.contains(&info.name);
    if !state.accepts_work() || failing {
        return Eligibility::Unavailable;
    }
    match state.pause_left(now) {
        Some(left) => Eligibility::Pausing(left),
        None => Eligibility::Available,
    }
}

fn role_of(table: &table::TargetTable, slot: slot::TargetSlot) -> EngineRole {
    table.info(slot).map_or(EngineRole::Mixed, |info| info.role)
}

fn score(
    request: &request::CallRequest,
    table: &table::TargetTable,
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
    let per_token = table.expected_token_time(slot);
    let waiting = table.expected_queue_wait(request, slot);
    let first_token = link + loading + waiting + table.expected_first_token(request, slot);
    let output = per_token * request.remaining().get() as f64;
    let remote = info.region != settings.home;
    let bytes = (request.prompt.get() + request.output.get()) as f64 * BYTES_PER_TOKEN;
    let cost = if remote {
        bytes / 1e6 * settings.remote_cost_per_megabyte
    } else {
        0.0
    };
    let risk_penalty = f64::from(state.stragglers) * STRAGGLER_SECONDS
        + state.failure_share(now) * FAILURE_SECONDS;
    let reserved = request.class == WorkClass::Long && !state.accepts_long;
    let mut batch_penalty = if reserved {
        RESERVED_SECONDS * table.headroom()
    } else {
        0.0
    };
    if request.class == WorkClass::Long {
        // Prefill of long work delays every call in the batch by the time that it takes.
        let prefill = table.prefill_work(request, slot) / settings.prefill_rate;
        batch_penalty += BATCH_DELAY_WEIGHT * prefill * state.load().calls;
    }
    let late = lateness(request, first_token + output, now) * LATE_WEIGHT;
    let expected =
        first_token + output * output_weight(request) + risk_penalty + cost + batch_penalty + late;
    CandidateScore {
        slot,
        first_token: seconds(first_token),
        finish: seconds(first_token + output),
        hit_tokens: table.prefixes().hit_tokens(slot, &request.prefixes),
        weight: state.weight,
        fits_now: table.fits_now(request, slot),
        in_time: admission::pressure(request, first_token, output, settings, now)
            <= admission::MAX_PRESSURE,
        score: expected / state.weight,
    }
}

/// Returns the seconds by which the call is expected to miss its deadline, including
/// `DEADLINE_MARGIN`.
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
        WorkClass::Short => PRIORITY_SHORT,
        WorkClass::Long => PRIORITY_LONG,
    }
}

fn seconds(value: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(time::Duration::MAX)
}
