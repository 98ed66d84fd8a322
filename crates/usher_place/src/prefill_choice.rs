//! Chooses the engine that reads the prompt of one call. Not for: the estimate of cache contents.

use std::time;

use usher_roster::TargetEntry;
use usher_types::EngineRole;

use crate::{engine, load, load_tracker, placement, prefix_source, rates, sample, urgency, work};

/// Cost of an engine of another region in addition to the round trips, in seconds: the prompt is
/// sent there twice, the answer comes back over a link that is billed by volume, and the prefix
/// isn't cached in the region of the caller.
const CROSS_REGION_PENALTY_SECONDS: f64 = 0.1;

/// The engines among which a call chooses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChoiceScope {
    /// Those of the own failure domain that aren't avoided.
    Domain,
    /// All.
    Fleet,
}

/// The input of the choice for one call.
pub(crate) struct PrefillChoice<'c, 't> {
    work: &'c work::PromptWork,
    view: &'c placement::PlacementView<'t>,
    /// Engines that may read the prompt.
    candidates: Vec<&'t TargetEntry>,
    /// Whether the engine that reads the prompt also generates the answer.
    also_decodes: bool,
    /// Keys of the engines that probably have the shared prefix cached.
    holders: &'c [u64],
    home: Option<&'t usher_types::TargetName>,
    rates: rates::EngineRates,
}

/// Expected time and cost of an engine for a call, in seconds.
struct PrefillCost {
    /// Expected time until the engine that generates the answer begins.
    time: f64,
    /// The value that is minimized: the time, plus penalties for the effect on other calls.
    cost: f64,
    source: prefix_source::PrefixSource,
    queued: u64,
    trip: time::Duration,
    slowness: f64,
}

impl<'c, 't> PrefillChoice<'c, 't> {
    /// Makes a choice; `None` when no engine could generate the answer, or when the own domain lacks
    /// engines that read prompts while others have them.
    pub(crate) fn new(
        work: &'c work::PromptWork,
        view: &'c placement::PlacementView<'t>,
        holders: &'c [u64],
        scope: ChoiceScope,
        rates: rates::EngineRates,
    ) -> Option<Self> {
        let is_prefill = |target: &TargetEntry| target.role == Some(EngineRole::Prefill);
        let in_scope = |loads: &load_tracker::LoadTable, target: &TargetEntry| match scope {
            ChoiceScope::Domain => view.is_here(target) && view.is_usable(loads, target),
            ChoiceScope::Fleet => true,
        };
        let (prefill_engines, decode_engines): (Vec<_>, Vec<_>) = view.loads.with_loads(|loads| {
            let candidates = view.candidates(loads);
            candidates
                .filter(|target| in_scope(loads, target))
                .partition(|target| is_prefill(target))
        });
        if decode_engines.is_empty() {
            return None;
        }
        let also_decodes = prefill_engines.is_empty();
        let lacks_role = scope == ChoiceScope::Domain && also_decodes;
        if lacks_role && view.targets.iter().any(is_prefill) {
            return None;
        }
        let candidates = if also_decodes {
            decode_engines
        } else {
            prefill_engines
        };
        let prefix = work.shared_key();
        let home = prefix.and_then(|prefix| sample::home(prefix, &candidates, view));
        Some(Self {
            work,
            view,
            candidates,
            also_decodes,
            holders,
            home,
            rates,
        })
    }

    /// Chooses among the engines that have the shared prefix, its home engine and the engines
    /// sampled for the call.
    pub(crate) fn plan(&self, urgency: urgency::SendUrgency) -> Option<engine::PrefillPlan> {
        self.view.loads.with_loads(|loads| {
            let is_usable = |target: &TargetEntry| self.view.is_usable(loads, target);
            let targets = self.view.targets.iter();
            let sources: Vec<_> = targets
                .filter(|target| {
                    target.takes_work() && is_usable(target) && self.has_prefix(target)
                })
                .collect();
            let key = self.work.call_key();
            let sampled = sample::sample(key, &self.candidates, is_usable, self.view);
            let choices = self.candidates.iter().filter(|target| {
                let mut sampled = sampled.near.iter().chain(&sampled.far);
                self.home == Some(&target.name)
                    || self.has_prefix(target)
                    || sampled.any(|sampled| sampled.name == target.name)
            });
            let costs = choices.map(|target| {
                let load = loads.get(&target.name);
                (*target, self.cost(target, load, &sources, urgency))
            });
            let best = costs.min_by(|(_, one), (_, other)| one.cost.total_cmp(&other.cost));
            best.map(|(target, best)| {
                let tokens = match best.source {
                    prefix_source::PrefixSource::Prefill { .. } => self.work.prompt_tokens,
                    _ => self.work.own_tokens(),
                };
                engine::PrefillPlan {
                    engine: target.clone(),
                    also_decodes: self.also_decodes,
                    tokens,
                    urgency,
                    expected: time::Duration::try_from_secs_f64(best.time)
                        .unwrap_or(time::Duration::MAX),
                    queued: best.queued,
                    sample: self.sample(&best, tokens),
                    copy_from: best.source.copy_from(),
                    extra_work: time::Duration::try_from_secs_f64(best.source.penalty())
                        .unwrap_or(time::Duration::MAX),
                    spill: None,
                }
            })
        })
    }

    /// Returns the time that the candidates take to read prompts.
    fn reading(&self) -> &rates::TimeEstimate {
        if self.also_decodes {
            &self.rates.decode_prefill
        } else {
            &self.rates.prefill
        }
    }

    fn has_prefix(&self, target: &TargetEntry) -> bool {
        let key = work::text_key(target.name.as_str());
        self.holders.contains(&key)
    }

    fn cost(
        &self,
        target: &TargetEntry,
        load: Option<&load::TargetLoad>,
        sources: &[&TargetEntry],
        urgency: urgency::SendUrgency,
    ) -> PrefillCost {
        let (work, view) = (self.work, self.view);
        let slowness = load.map_or(1.0, |load| load.slowness(view.now));
        let reading = self.reading();
        let read_time = |tokens: u64| tokens as f64 * reading.seconds_per_unit() * slowness;
        let source = if work.shared_key().is_none() || self.has_prefix(target) {
            prefix_source::PrefixSource::Cached
        } else {
            let time = read_time(work.shared_tokens());
            let handover = &self.rates.handover;
            let is_first = self.home == Some(&target.name) && sources.is_empty();
            prefix_source::choose_source(work, target, sources, view, time, is_first, handover)
        };
        let queued = load.map_or(0, |load| load.tokens_ahead(urgency));
        let distance = view.distance(target);
        let trip = distance.round_trip().as_secs_f64();
        let handover = if self.also_decodes {
            0.0
        } else {
            trip + self.rates.handover.seconds(work.prompt_tokens as f64)
        };
        let reading = reading.seconds((queued + work.own_tokens()) as f64) * slowness;
        let time = trip + reading + source.time() + handover;
        let far = if distance == placement::TargetDistance::OtherRegion {
            CROSS_REGION_PENALTY_SECONDS
        } else {
            0.0
        };
        let failed = engine::failure_penalty(load, view.now);
        PrefillCost {
            time,
            cost: time + source.penalty() + far + failed,
            source,
            queued,
            trip: distance.round_trip(),
            slowness,
        }
    }

    /// Returns the sample that the time of the prefill will give. The length of a queue is known with
    /// a delay, so that a prompt behind a long one says little; it is still better than a start value,
    /// and a gateway that starts in an overload sees no others.
    fn sample(&self, best: &PrefillCost, tokens: u64) -> Option<engine::PlannedSample> {
        let is_copied = best.source.copy_from().is_some();
        if is_copied || (best.queued > tokens && self.reading().is_measured()) {
            return None;
        }
        let tokens = (best.queued + tokens) as f64;
        let sample = if self.also_decodes {
            rates::RateSample::DecodePrefill(tokens)
        } else {
            rates::RateSample::Prefill(tokens)
        };
        Some(engine::PlannedSample {
            sample,
            trip: best.trip,
            slowness: best.slowness,
        })
    }
}
