//! Places model calls on engines. Not for: plain calls.

use std::{net, time};

use usher_roster::TargetEntry;
use usher_types::EngineRole;

use crate::{cache, draw, load, place, reader, urgency, work};

/// Prompt tokens that a prefill engine reads in a second. The sheets give 38 to 57 in a ms; steps
/// and long prompts take more, and 28 did better than 40 in trials.
pub(crate) const PREFILL_RATE: f64 = 28_000.0;

/// By how much an engine in the decode role is slower at reading a prompt: twice by the protocol,
/// and its short chunks also wait for the steps of calls that generate.
pub(crate) const DECODE_PREFILL_FACTOR: f64 = 2.8;

/// What an engine that failed lately is thought to cost beyond its queue, in seconds.
const FAILED_COST: f64 = 2.0;

/// How much longer a step takes for each call that an engine runs, as a share of a step; the
/// sheets give 0.15 ms on 4.6 ms.
const STEP_SHARE_PER_CALL: f64 = 0.033;

/// Tokens whose time counts in the choice of an engine that generates: those of the first events.
/// Later ones come in time on slow engines too, and a slow moment is over by then.
const FIRST_TOKENS: u64 = 16;

/// What each call that an engine runs costs the next one beyond its steps, in seconds: it may wait
/// for memory that is being moved or for a free place.
const CALL_COST: f64 = 0.002;

/// Usual time of a decode step, in seconds, from the sheets.
const DECODE_STEP: f64 = 0.005;

/// Time that one token of memory needs between two engines of a failure domain, in seconds: 18 KB
/// at 370 Gbit/s.
pub(crate) const MOVE_TIME_PER_TOKEN: f64 = 4e-7;

/// Fixed cost of a second send and of taking over memory, in seconds.
pub(crate) const MOVE_COST: f64 = 0.02;

/// What a call wants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallGoal {
    /// Rank of its route; 0 is first.
    pub rank: u8,
    /// Time left until its first event would be late.
    pub left: time::Duration,
}

/// Where the prompt of a call is read.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePlan {
    /// The engine.
    pub reader: TargetEntry,
    /// Whether the same engine generates the answer.
    pub is_whole: bool,
    /// Prompt tokens that the engine probably doesn't have in its cache.
    pub tokens: u64,
    /// How urgent the call is there.
    pub urgency: urgency::SendUrgency,
    /// Expected time until the prompt is read.
    pub expected: time::Duration,
    /// Engine from which the reader copies shared parts that it doesn't have.
    pub source: Option<net::SocketAddr>,
}

/// Chooses engines by expected time, and by where the shared parts of the prompt were read.
#[derive(Clone, Debug, Default)]
pub struct EnginePolicy {
    cache: cache::CacheGuess,
}

impl EnginePolicy {
    /// Notes that an engine has read the shared parts of a prompt.
    pub fn note_read(
        &mut self,
        target: &usher_types::TargetName,
        work: &work::PromptWork,
        now: time::Instant,
    ) {
        if let Some(parts) = work.shared_key() {
            let target = work::text_key(target.as_str());
            self.cache.note(cache::PartsRead { parts, target }, now);
        }
    }

    /// Returns the reads that other gateways haven't been told, and takes them for told.
    pub fn take_untold(&mut self) -> Vec<cache::PartsRead> {
        self.cache.take_untold()
    }

    /// Takes reads that other gateways told.
    pub fn take_reads<R>(&mut self, reads: R, now: time::Instant)
    where
        R: IntoIterator<Item = cache::PartsRead>,
    {
        for read in reads {
            self.cache.take(read, now);
        }
    }

    /// Chooses the engine that reads the prompt.
    ///
    /// Calls go to an engine of the region that has the shared parts, to one that copies them from
    /// another engine, or to their home, where they are read for the first time. An engine that
    /// reads them again is chosen only when all others take much longer.
    ///
    /// Engines that generate read prompts only when no other one takes work: each chunk that they
    /// read comes between the steps of every call that they run, so that first events came 0.2 to
    /// 0.9 s later.
    ///
    /// A call waits only for work that is as urgent; one that can't be on time waits for all.
    pub fn choose_reader(
        &self,
        work: &work::PromptWork,
        goal: &CallGoal,
        view: &place::PlaceView<'_>,
    ) -> Option<EnginePlan> {
        let parts = work.shared_key();
        let holders: Vec<u64> = parts.map_or_else(Vec::new, |parts| {
            self.cache.holders(parts, view.now).collect()
        });
        let choice = reader::ReaderChoice::new(work, view, &holders)?;
        let plan = choice.plan(urgency::SendUrgency::of_rank(goal.rank))?;
        if plan.expected <= goal.left {
            return Some(plan);
        }
        choice.plan(urgency::SendUrgency::late())
    }

    /// Chooses the engine that generates from a prompt that another engine holds; the view counts
    /// distances from there, because memory moves ten times as slowly between regions.
    pub fn choose_decode<'t>(
        &self,
        work: &work::PromptWork,
        view: &place::PlaceView<'t>,
    ) -> Option<&'t TargetEntry> {
        view.loads.view(|loads| {
            let cost = |target: &TargetEntry| {
                let load = loads.get(&target.name);
                let calls = f64::from(load.map_or(0, |load| load.expected_calls(view.now)));
                let slowness = load.map_or(1.0, |load| load.slowness(view.now));
                let late = urgency::SendUrgency::late();
                let queued = load.map_or(0, |load| load.tokens_before(late)) as f64;
                let step = DECODE_STEP * (1.0 + calls * STEP_SHARE_PER_CALL);
                view.distance(target).round_trip().as_secs_f64()
                    + work.output_tokens.min(FIRST_TOKENS) as f64 * step * slowness
                    + calls * CALL_COST
                    + queued / PREFILL_RATE * DECODE_PREFILL_FACTOR
                    + failed_cost(load, view.now)
            };
            let generators: Vec<&TargetEntry> = view
                .candidates()
                .filter(|target| target.role != Some(EngineRole::Prefill))
                .collect();
            let is_usable = |target: &TargetEntry| view.is_usable(loads, target);
            let drawn = draw::draw(work.call_key(), &generators, is_usable, view);
            let choices = if drawn.near.is_empty() {
                generators
            } else {
                drawn.near
            };
            choices
                .into_iter()
                .min_by(|one, other| cost(one).total_cmp(&cost(other)))
        })
    }
}

/// Returns what it costs that an engine failed lately, in seconds.
pub(crate) fn failed_cost(load: Option<&load::TargetLoad>, now: time::Instant) -> f64 {
    let failed = load.is_some_and(|load| load.is_avoided(now));
    if failed {
        FAILED_COST
    } else {
        0.0
    }
}
