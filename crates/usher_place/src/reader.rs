//! The choice of the engine that reads a prompt, for one call. Not for: what is remembered of caches.

use std::time;

use usher_roster::TargetEntry;
use usher_types::EngineRole;

use crate::{draw, engine, load, place, supply, urgency, work};

/// What an engine of another region costs beyond the time of its trips, in seconds: the prompt goes
/// there twice and the answer comes back over a link whose bytes are paid, and the region of the
/// caller doesn't get the shared parts.
const FAR_COST: f64 = 0.1;

/// What the choice for one call is made from.
pub(crate) struct ReaderChoice<'c, 't> {
    work: &'c work::PromptWork,
    view: &'c place::PlaceView<'t>,
    /// Engines that may read the prompt.
    candidates: Vec<&'t TargetEntry>,
    /// Whether the engine that reads the prompt also generates the answer.
    is_whole: bool,
    /// Keys of the engines that probably have the shared parts.
    holders: &'c [u64],
    home: Option<&'t usher_types::TargetName>,
}

/// An engine's times for a call, in seconds.
struct ReaderCost {
    /// Expected time until the prompt is read.
    time: f64,
    /// What the choice goes by: that time, and what it means for others.
    cost: f64,
    supply: supply::PartsSupply,
}

impl<'c, 't> ReaderChoice<'c, 't> {
    /// Makes a choice; `None` when no engine could generate the answer.
    pub(crate) fn new(
        work: &'c work::PromptWork,
        view: &'c place::PlaceView<'t>,
        holders: &'c [u64],
    ) -> Option<Self> {
        let (readers, generators): (Vec<_>, Vec<_>) = view
            .candidates()
            .partition(|target| target.role == Some(EngineRole::Prefill));
        if generators.is_empty() {
            return None;
        }
        let is_whole = readers.is_empty();
        let candidates = if is_whole { generators } else { readers };
        let parts = work.shared_key();
        let home = parts.and_then(|parts| draw::home(parts, &candidates, view));
        Some(Self {
            work,
            view,
            candidates,
            is_whole,
            holders,
            home,
        })
    }

    /// Chooses among the holders of the shared parts, their home and the engines drawn for the call.
    pub(crate) fn plan(&self, urgency: urgency::SendUrgency) -> Option<engine::EnginePlan> {
        self.view.loads.view(|loads| {
            let is_usable = |target: &TargetEntry| self.view.is_usable(loads, target);
            let targets = self.view.targets.iter();
            let sources: Vec<_> = targets
                .filter(|target| target.takes_work() && is_usable(target) && self.holds(target))
                .collect();
            let key = self.work.call_key();
            let drawn = draw::draw(key, &self.candidates, is_usable, self.view);
            let choices = self.candidates.iter().filter(|target| {
                let mut drawn = drawn.near.iter().chain(&drawn.far);
                self.home == Some(&target.name)
                    || self.holds(target)
                    || drawn.any(|drawn| drawn.name == target.name)
            });
            let costs = choices.map(|target| {
                let load = loads.get(&target.name);
                (*target, self.cost(target, load, &sources, urgency))
            });
            let best = costs.min_by(|(_, one), (_, other)| one.cost.total_cmp(&other.cost));
            best.map(|(target, best)| engine::EnginePlan {
                reader: target.clone(),
                is_whole: self.is_whole,
                tokens: match best.supply {
                    supply::PartsSupply::Read { .. } => self.work.prompt_tokens,
                    _ => self.work.own_tokens(),
                },
                urgency,
                expected: time::Duration::try_from_secs_f64(best.time)
                    .unwrap_or(time::Duration::MAX),
                source: best.supply.source(),
            })
        })
    }

    fn holds(&self, target: &TargetEntry) -> bool {
        let key = work::text_key(target.name.as_str());
        self.holders.contains(&key)
    }

    fn cost(
        &self,
        target: &TargetEntry,
        load: Option<&load::TargetLoad>,
        sources: &[&TargetEntry],
        urgency: urgency::SendUrgency,
    ) -> ReaderCost {
        let (work, view) = (self.work, self.view);
        let slowness = load.map_or(1.0, |load| load.slowness(view.now));
        let factor = if self.is_whole {
            engine::DECODE_PREFILL_FACTOR
        } else {
            1.0
        };
        let read_time = |tokens: u64| tokens as f64 / engine::PREFILL_RATE * factor * slowness;
        let supply = if work.shared_key().is_none() || self.holds(target) {
            supply::PartsSupply::Kept
        } else {
            let time = read_time(work.shared_tokens());
            let is_first = self.home == Some(&target.name) && sources.is_empty();
            supply::supply(work, target, sources, view, time, is_first)
        };
        let queued = load.map_or(0, |load| load.tokens_before(urgency));
        let distance = view.distance(target);
        let trip = distance.round_trip().as_secs_f64();
        let handover = if self.is_whole {
            0.0
        } else {
            trip + engine::MOVE_COST + work.prompt_tokens as f64 * engine::MOVE_TIME_PER_TOKEN
        };
        let time = trip + read_time(queued + work.own_tokens()) + supply.time() + handover;
        let far = if distance == place::TargetDistance::Far {
            FAR_COST
        } else {
            0.0
        };
        let failed = engine::failed_cost(load, view.now);
        ReaderCost {
            time,
            cost: time + supply.extra() + far + failed,
            supply,
        }
    }
}
