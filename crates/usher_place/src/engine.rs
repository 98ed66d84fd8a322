//! Places model calls on engines. Not for: plain calls.

use std::{net, time};

use usher_roster::TargetEntry;
use usher_types::EngineRole;

use crate::{cache, load, place, urgency, work};

/// Prompt tokens that a prefill engine reads in a second. The sheets give 38 to 57 in a ms; steps
/// and long prompts take more, and 28 did better than 40 in trials.
const PREFILL_RATE: f64 = 28_000.0;

/// By how much an engine in the decode role is slower at reading a prompt: twice by the protocol,
/// and its short chunks also wait for the steps of calls that generate.
const DECODE_PREFILL_FACTOR: f64 = 2.8;

/// By how much shared parts that must be read again count beyond the time that they take: the
/// work also holds up every call behind it, so that calls which leave their home under load would
/// make the load grow.
const AGAIN_WEIGHT: f64 = 3.0;

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
const MOVE_TIME_PER_TOKEN: f64 = 4e-7;

/// What an engine of another region costs beyond the time of its trips, in seconds: the prompt goes
/// there twice and the answer comes back over a link whose bytes are paid, and the region of the
/// caller doesn't get the shared parts.
const FAR_COST: f64 = 0.1;

/// Fixed cost of a second send and of taking over memory, in seconds.
const MOVE_COST: f64 = 0.02;

/// Engines of the nearest region among which a call chooses, drawn by the call. Loads are known 0.1
/// to 0.2 s late: when each of 90 gateways chose among all engines, 50 calls went to the same one
/// within 0.2 s, and first events came 0.3 to 0.8 s later.
const DRAWN: usize = 3;

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
        let timely = urgency::SendUrgency::of_rank(goal.rank);
        let plan = self.choose_for(work, timely, view)?;
        if plan.expected <= goal.left {
            return Some(plan);
        }
        self.choose_for(work, urgency::SendUrgency::late(), view)
    }

    fn choose_for<'t>(
        &self,
        work: &work::PromptWork,
        urgency: urgency::SendUrgency,
        view: &place::PlaceView<'t>,
    ) -> Option<EnginePlan> {
        let reads_only = |target: &&TargetEntry| target.role == Some(EngineRole::Prefill);
        let readers: Vec<&TargetEntry> = view.candidates().filter(reads_only).collect();
        let generators: Vec<&TargetEntry> = view.candidates().filter(|t| !reads_only(t)).collect();
        if generators.is_empty() {
            return None;
        }
        let is_whole = readers.is_empty();
        let candidates = if is_whole { generators } else { readers };
        let parts = work.shared_key();
        let holders: Vec<u64> = parts.map_or_else(Vec::new, |parts| {
            self.cache.holders(parts, view.now).collect()
        });
        let home = parts.and_then(|parts| home(parts, &candidates, view));
        view.loads.view(|loads| {
            let is_usable = |target: &&TargetEntry| {
                let load = loads.get(&target.name);
                !load.is_some_and(|load| load.is_avoided(view.now))
            };
            let sources: Vec<&TargetEntry> = view
                .targets
                .iter()
                .filter(|target| target.takes_work() && is_usable(target))
                .filter(|target| holders.contains(&work::text_key(target.name.as_str())))
                .collect();
            let drawn = draw(work.call_key(), &candidates, |t| is_usable(t), view);
            let is_choice = |target: &&TargetEntry| {
                let has_parts = || holders.contains(&work::text_key(target.name.as_str()));
                let drawn = drawn.near.iter().chain(&drawn.far);
                let is_drawn = || drawn.into_iter().any(|drawn| drawn.name == target.name);
                home == Some(&target.name) || is_drawn() || has_parts()
            };
            let plan = |target: &'t TargetEntry| {
                let load = loads.get(&target.name);
                let queued = load.map_or(0, |load| load.tokens_before(urgency));
                let factor = if is_whole { DECODE_PREFILL_FACTOR } else { 1.0 };
                let slowness = load.map_or(1.0, |load| load.slowness(view.now));
                let time_of = |tokens: f64| tokens / PREFILL_RATE * factor * slowness;
                let key = work::text_key(target.name.as_str());
                let supply = if parts.is_none() || holders.contains(&key) {
                    PartsSupply::Kept
                } else {
                    let time = time_of(work.shared_tokens() as f64);
                    let is_first = home == Some(&target.name) && sources.is_empty();
                    supply(work, target, &sources, view, time, is_first)
                };
                let tokens = match supply {
                    PartsSupply::Read { .. } => work.prompt_tokens,
                    PartsSupply::Kept | PartsSupply::Copied { .. } => work.own_tokens(),
                };
                let read = time_of((queued + work.own_tokens()) as f64) + supply.time();
                let trip = view.distance(target).round_trip().as_secs_f64();
                let rest = if is_whole {
                    0.0
                } else {
                    trip + MOVE_COST + work.prompt_tokens as f64 * MOVE_TIME_PER_TOKEN
                };
                let is_far = view.distance(target) == place::TargetDistance::Far;
                let far = if is_far { FAR_COST } else { 0.0 };
                let time = trip + read + rest;
                let cost = time + supply.extra() + far + failed_cost(load, view.now);
                (cost, time, tokens, supply.source())
            };
            let choices = candidates.iter().filter(|target| is_choice(target));
            let plans = choices.map(|target| (*target, plan(target)));
            let best = plans.min_by(|(_, one), (_, other)| one.0.total_cmp(&other.0));
            best.map(|(target, (_, time, tokens, source))| EnginePlan {
                reader: target.clone(),
                is_whole,
                tokens,
                urgency,
                expected: time::Duration::try_from_secs_f64(time).unwrap_or(time::Duration::MAX),
                source,
            })
        })
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
            let is_usable = |target: &&TargetEntry| {
                let load = loads.get(&target.name);
                !load.is_some_and(|load| load.is_avoided(view.now))
            };
            let drawn = draw(work.call_key(), &generators, is_usable, view);
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

/// How an engine gets the shared parts of a prompt.
#[derive(Clone, Copy, Debug)]
enum PartsSupply {
    /// It has them.
    Kept,
    /// It copies them from another engine.
    Copied { from: net::SocketAddr, time: f64 },
    /// It reads them; `again` where another engine has read them or is to read them.
    Read { time: f64, again: bool },
}

impl PartsSupply {
    /// Returns how long it takes, in seconds.
    fn time(self) -> f64 {
        match self {
            Self::Kept => 0.0,
            Self::Copied { time, .. } | Self::Read { time, .. } => time,
        }
    }

    /// Returns what it costs beyond that, in seconds.
    fn extra(self) -> f64 {
        match self {
            Self::Read { time, again: true } => time * AGAIN_WEIGHT,
            Self::Kept | Self::Copied { .. } | Self::Read { .. } => 0.0,
        }
    }

    fn source(self) -> Option<net::SocketAddr> {
        match self {
            Self::Copied { from, .. } => Some(from),
            Self::Kept | Self::Read { .. } => None,
        }
    }
}

/// Returns how an engine that doesn't have the shared parts gets them soonest, where reading them
/// takes `read_time`; `is_first` says that no engine has them and that this one is their home.
fn supply(
    work: &work::PromptWork,
    target: &TargetEntry,
    sources: &[&TargetEntry],
    view: &place::PlaceView<'_>,
    read_time: f64,
    is_first: bool,
) -> PartsSupply {
    let copy = |source: &&TargetEntry| {
        let distance = view.map.between(&source.domain, &target.domain);
        let moving = work.shared_tokens() as f64 * MOVE_TIME_PER_TOKEN * distance.move_factor();
        let trip = distance.round_trip().as_secs_f64();
        (source.address, MOVE_COST + trip + moving)
    };
    let copies = sources.iter().map(copy);
    let best = copies.min_by(|(_, one), (_, other)| one.total_cmp(other));
    match best {
        Some((from, time)) if time < read_time => PartsSupply::Copied { from, time },
        _ => PartsSupply::Read {
            time: read_time,
            again: !is_first,
        },
    }
}

/// Returns the home of shared parts among the engines of the nearest region: all gateways of a
/// region agree on it without a word, so that parts which no engine has are read there once.
fn home<'t>(
    parts: u64,
    candidates: &[&'t TargetEntry],
    view: &place::PlaceView<'_>,
) -> Option<&'t usher_types::TargetName> {
    let region = |target: &TargetEntry| view.distance(target).region();
    let nearest = candidates.iter().map(|target| region(target)).min()?;
    let near = candidates.iter().filter(|target| region(target) == nearest);
    let home = near.min_by_key(|target| work::mix(parts, work::text_key(target.name.as_str())));
    home.map(|target| &target.name)
}

/// Engines drawn for a call.
struct DrawnEngines<'t> {
    near: Vec<&'t TargetEntry>,
    far: Option<&'t TargetEntry>,
}

/// Draws some engines of the nearest region, and one of the others.
fn draw<'t>(
    call: u64,
    candidates: &[&'t TargetEntry],
    is_usable: impl Fn(&&TargetEntry) -> bool,
    view: &place::PlaceView<'_>,
) -> DrawnEngines<'t> {
    let mut lots: Vec<_> = candidates
        .iter()
        .filter(|target| is_usable(target))
        .map(|target| {
            let region = view.distance(target).region();
            let lot = work::mix(call, work::text_key(target.name.as_str()));
            (region, lot, *target)
        })
        .collect();
    lots.sort_by_key(|(region, lot, _)| (*region, *lot));
    let nearest = lots.first().map(|(region, _, _)| *region);
    let far = lots.partition_point(|(region, _, _)| Some(*region) == nearest);
    let (near, far) = lots.split_at(far);
    DrawnEngines {
        near: near
            .iter()
            .take(DRAWN)
            .map(|(_, _, target)| *target)
            .collect(),
        far: far.first().map(|(_, _, target)| *target),
    }
}

fn failed_cost(load: Option<&load::TargetLoad>, now: time::Instant) -> f64 {
    let failed = load.is_some_and(|load| load.is_avoided(now));
    if failed {
        FAILED_COST
    } else {
        0.0
    }
}
