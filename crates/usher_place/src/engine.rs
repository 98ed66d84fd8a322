//! Chooses the engines of model calls. Not for: plain calls.

use std::{collections, net, time};

use usher_roster::TargetEntry;
use usher_types::EngineRole;

use crate::{
    cache_estimate, load, load_tracker, placement, prefill_choice, rates, sample, spill, urgency,
    work,
};

/// Cost added to the queue of an engine that failed recently, in seconds.
const FAILURE_PENALTY_SECONDS: f64 = 2.0;

/// Growth of a decode step with each running call, as a share of the step; the sheets state 0.15 ms
/// on 4.6 ms.
const STEP_GROWTH_PER_CALL: f64 = 0.033;

/// Output tokens whose time counts in the choice of a decode engine: those of the first events.
/// Later ones are on time on slow engines too, and a short slowdown is over by then.
const SCORED_TOKENS: u64 = 16;

/// Cost of each running call for the next one in addition to the longer steps, in seconds: it may
/// wait for a KV transfer or for a free slot.
const CALL_OVERHEAD_SECONDS: f64 = 0.002;

/// Usual time of a decode step, in seconds, as the sheets state it.
const DECODE_STEP_SECONDS: f64 = 0.005;

/// The latency objective of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallGoal {
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// Time left until its first event is late.
    pub time_left: time::Duration,
}

/// The engine that reads the prompt of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefillPlan {
    /// The engine.
    pub engine: TargetEntry,
    /// Whether the same engine generates the answer.
    pub also_decodes: bool,
    /// Prompt tokens that the engine probably doesn't have in its cache.
    pub tokens: u64,
    /// Urgency of the call at the engine.
    pub urgency: urgency::SendUrgency,
    /// Expected time until the engine that generates the answer begins.
    pub expected: time::Duration,
    /// Tokens that the engine is expected to read before those of the call.
    pub queued: u64,
    /// What the time of the prefill will show; `None` when too much is queued before it.
    pub sample: Option<PlannedSample>,
    /// Engine from which the shared prefix is copied, if it isn't cached.
    pub copy_from: Option<net::SocketAddr>,
    /// Engine time that the plan takes from other calls.
    pub extra_work: time::Duration,
    /// Why the call leaves its failure domain, if it does.
    pub spill: Option<spill::SpillReason>,
}

impl PrefillPlan {
    fn estimate(&self) -> spill::DomainPlan {
        spill::DomainPlan {
            time: self.expected,
            extra_work: self.extra_work,
        }
    }
}

/// A sample of the rates that the time of a send will give.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedSample {
    /// The step of the call.
    pub sample: rates::RateSample,
    /// Round trip to the engine, which isn't part of the step.
    pub trip: time::Duration,
    /// Factor by which the engine takes longer than usual at present.
    pub slowness: f64,
}

impl PlannedSample {
    /// Returns the time of the step at the usual speed, from the time of the send.
    fn usual_time(&self, elapsed: time::Duration) -> time::Duration {
        let time = elapsed.saturating_sub(self.trip).as_secs_f64() / self.slowness;
        time::Duration::try_from_secs_f64(time).unwrap_or(elapsed)
    }
}

/// Chooses engines by expected time and by the shared prefixes in their caches.
#[derive(Clone, Debug, Default)]
pub struct EnginePolicy {
    cache: cache_estimate::CacheEstimate,
    rates: collections::HashMap<usher_types::ServiceName, rates::EngineRates>,
}

impl EnginePolicy {
    /// Records that an engine has read the shared prefix of a prompt.
    pub fn record_read(
        &mut self,
        target: &usher_types::TargetName,
        work: &work::PromptWork,
        now: time::Instant,
    ) {
        if let Some(prefix) = work.shared_key() {
            let target = work::text_key(target.as_str());
            self.cache
                .record(cache_estimate::PrefixRead { prefix, target }, now);
        }
    }

    /// Records the time between a send to an engine of a service and its answer.
    pub fn record_time(
        &mut self,
        service: &usher_types::ServiceName,
        planned: &PlannedSample,
        elapsed: time::Duration,
    ) {
        let rates = self.rates.entry(service.clone()).or_default();
        rates.record(planned.sample, planned.usual_time(elapsed));
    }

    /// Returns the learned times of the engines of a service.
    pub fn rates(&self, service: &usher_types::ServiceName) -> rates::EngineRates {
        self.rates.get(service).copied().unwrap_or_default()
    }

    fn rates_of(&self, view: &placement::PlacementView<'_>) -> rates::EngineRates {
        let service = view.targets.first().map(|target| &target.service);
        service.map_or_else(rates::EngineRates::default, |service| self.rates(service))
    }

    /// Returns the newest reads that have not been reported to the other gateways. They are returned
    /// again until [`Self::mark_reported`].
    pub fn unreported(&mut self) -> Vec<cache_estimate::PrefixRead> {
        self.cache.unreported()
    }

    /// Marks the first reads of the last [`Self::unreported`] as reported.
    pub fn mark_reported(&mut self, count: usize) {
        self.cache.mark_reported(count);
    }

    /// Adds reads that other gateways reported.
    pub fn merge_reads<R>(&mut self, reads: R, now: time::Instant)
    where
        R: IntoIterator<Item = cache_estimate::PrefixRead>,
    {
        for read in reads {
            self.cache.merge(read, now);
        }
    }

    /// Chooses the engine that reads the prompt.
    ///
    /// Candidates are engines of the region that have the shared prefix cached, those that can copy
    /// it from another engine, and the home engine of the prefix, which reads it the first time. An
    /// engine that reads it again is chosen only when all others take much longer.
    ///
    /// Engines of the own failure domain go first where the region has others;
    /// [`spill::SpillCall`] decides whether the call leaves it.
    ///
    /// Decode engines read prompts only when no prefill engine takes work: each chunk that they
    /// read runs between the steps of all their calls, which delayed first events by 0.2 to 0.9 s.
    ///
    /// A call waits only for work that is at least as urgent. When it can't be on time, it gets the
    /// lowest urgency and waits for all other work.
    pub fn choose_prefill(
        &self,
        work: &work::PromptWork,
        goal: &CallGoal,
        view: &placement::PlacementView<'_>,
    ) -> Option<PrefillPlan> {
        let prefix = work.shared_key();
        let holders: Vec<u64> = prefix.map_or_else(Vec::new, |prefix| {
            self.cache.holders(prefix, view.now).collect()
        });
        let rates = self.rates_of(view);
        let choice = |scope| prefill_choice::PrefillChoice::new(work, view, &holders, scope, rates);
        let on_time = urgency::SendUrgency::of_rank(goal.rank);
        let domain = view
            .has_neighbours()
            .then(|| choice(prefill_choice::ChoiceScope::Domain))
            .flatten();
        let here = domain.as_ref().and_then(|domain| domain.plan(on_time));
        let call = spill::SpillCall {
            key: work.call_key(),
            time_left: goal.time_left,
            load_age: view.loads.age(view.now),
        };
        if let Some(here) = here
            .as_ref()
            .filter(|here| call.is_served_by(&here.estimate()))
        {
            return Some(here.clone());
        }
        let fleet = choice(prefill_choice::ChoiceScope::Fleet)?;
        let there = fleet.plan(on_time)?;
        let spill = if view.is_here(&there.engine) {
            None
        } else if view.has_neighbours() {
            let here = here.as_ref().map(PrefillPlan::estimate);
            call.decide(here.as_ref(), &there.estimate())
        } else {
            view.spill_reason(&there.engine)
        };
        let plan = match here {
            Some(here) if spill.is_none() => here,
            _ => there,
        };
        let (plan, spill) = if plan.expected <= goal.time_left {
            (plan, spill)
        } else {
            let late = urgency::SendUrgency::late();
            let there = fleet.plan(late)?;
            let here = domain.as_ref().and_then(|domain| domain.plan(late));
            match here.filter(|_| spill.is_none()) {
                None => (there, spill),
                Some(here) => match call.decide_late(&here.estimate(), &there.estimate()) {
                    None => (here, None),
                    spill => (there, spill),
                },
            }
        };
        let spill = spill.filter(|_| !view.is_here(&plan.engine));
        Some(PrefillPlan { spill, ..plan })
    }

    /// Chooses the engine that generates the answer from a prompt that another engine holds. The
    /// view measures distances from that engine, because KV transfers between regions are ten times
    /// slower. Engines of its failure domain with a free slot go first: they begin at once, and the
    /// KV cache, which is much larger than the prompt and the answer, stays in the domain.
    pub fn choose_decode<'t>(
        &self,
        work: &work::PromptWork,
        view: &placement::PlacementView<'t>,
    ) -> Option<&'t TargetEntry> {
        let token_time = self.rates_of(view).decode_prefill.seconds_per_unit();
        view.loads.with_loads(|loads| {
            let cost = |target: &TargetEntry| {
                let load = loads.get(&target.name);
                let calls = f64::from(load.map_or(0, |load| load.expected_calls(view.now)));
                let slowness = load.map_or(1.0, |load| load.slowness(view.now));
                let late = urgency::SendUrgency::late();
                let queued = load.map_or(0, |load| load.tokens_ahead(late)) as f64;
                let step = DECODE_STEP_SECONDS * (1.0 + calls * STEP_GROWTH_PER_CALL);
                view.distance(target).round_trip().as_secs_f64()
                    + work.output_tokens.min(SCORED_TOKENS) as f64 * step * slowness
                    + calls * CALL_OVERHEAD_SECONDS
                    + queued * token_time
                    + failure_penalty(load, view.now)
            };
            let decode_engines: Vec<&TargetEntry> = view
                .candidates(loads)
                .filter(|target| target.role != Some(EngineRole::Prefill))
                .collect();
            let is_usable = |target: &TargetEntry| view.is_usable(loads, target);
            let has_neighbours = view.has_neighbours();
            let begins_at_once = |target: &&&TargetEntry| {
                let load = loads.get(&target.name);
                let calls = load.map_or(0, |load| load.expected_calls(view.now));
                has_neighbours && view.is_here(target) && calls < target.slots
            };
            let here = decode_engines.iter().filter(begins_at_once);
            let here: Vec<&TargetEntry> = here.copied().collect();
            let cheaper =
                |one: &&TargetEntry, other: &&TargetEntry| cost(one).total_cmp(&cost(other));
            let key = work.call_key();
            let sampled = sample::sample(key, &here, is_usable, view).near;
            let best = sampled.into_iter().min_by(cheaper);
            best.or_else(|| {
                let sampled = sample::sample(key, &decode_engines, is_usable, view).near;
                let choices = if sampled.is_empty() {
                    &decode_engines
                } else {
                    &sampled
                };
                choices.iter().copied().min_by(cheaper)
            })
        })
    }
}

/// Returns the sample that an engine gives which reads a prompt, or fetches it from `holder`, and
/// then begins to generate.
pub fn decode_sample(
    work: &work::PromptWork,
    target: &TargetEntry,
    holder: Option<&TargetEntry>,
    view: &placement::PlacementView<'_>,
) -> PlannedSample {
    let sample = match holder {
        Some(holder) => {
            let distance = view.map.between(&holder.domain, &target.domain);
            let tokens = work.prompt_tokens as f64 * distance.transfer_factor();
            rates::RateSample::Handover(tokens)
        }
        None => rates::RateSample::DecodePrefill(work.own_tokens() as f64),
    };
    let load = |loads: &load_tracker::LoadTable| {
        let load = loads.get(&target.name);
        load.map_or(1.0, |load| load.slowness(view.now))
    };
    PlannedSample {
        sample,
        trip: view.distance(target).round_trip(),
        slowness: view.loads.with_loads(load),
    }
}

/// Returns the cost of a recent failure of an engine, in seconds.
pub(crate) fn failure_penalty(load: Option<&load::TargetLoad>, now: time::Instant) -> f64 {
    let failed = load.is_some_and(|load| load.is_avoided(now));
    if failed {
        FAILURE_PENALTY_SECONDS
    } else {
        0.0
    }
}
