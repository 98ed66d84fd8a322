//! Chooses the targets of plain calls. Not for: model calls.

use std::time;

use usher_roster::TargetEntry;

use crate::placement;

/// Assumed time of a plain call before the first measurement; the middle of the times that the
/// sheets state.
const INITIAL_CALL_TIME: time::Duration = time::Duration::from_millis(45);

/// Weight of a new measurement in the moving average of the call time.
const CALL_TIME_WEIGHT: f64 = 0.05;

/// Cost added to the queue of a target that failed recently.
const FAILURE_PENALTY: time::Duration = time::Duration::from_secs(1);

/// Chooses the target with the shortest expected time, which includes the round trip.
#[derive(Clone, Debug)]
pub struct PlainPolicy {
    call_time: f64,
}

impl Default for PlainPolicy {
    fn default() -> Self {
        Self {
            call_time: INITIAL_CALL_TIME.as_secs_f64(),
        }
    }
}

impl PlainPolicy {
    /// Adds the time of a successful call to the moving average.
    pub fn record_call_time(&mut self, elapsed: time::Duration) {
        self.call_time += (elapsed.as_secs_f64() - self.call_time) * CALL_TIME_WEIGHT;
    }

    /// Chooses among the targets that take work. Targets of the own failure domain that begin a call
    /// at once go first: others can't serve it noticeably sooner.
    pub fn choose<'t>(&self, view: &placement::PlacementView<'t>) -> Option<&'t TargetEntry> {
        view.loads.with_loads(|loads| {
            let cost = |target: &TargetEntry| {
                let load = loads.get(&target.name);
                let calls = load.map_or(0, |load| load.expected_calls(view.now));
                let slowness = load.map_or(1.0, |load| load.slowness(view.now));
                let rounds = 1.0 + f64::from(calls) / f64::from(target.slots.max(1));
                let failed = load.is_some_and(|load| load.is_avoided(view.now));
                let penalty = if failed {
                    FAILURE_PENALTY
                } else {
                    time::Duration::ZERO
                };
                view.distance(target).round_trip().as_secs_f64()
                    + self.call_time * slowness * rounds
                    + penalty.as_secs_f64()
            };
            let has_neighbours = view.has_neighbours();
            let begins_at_once = |target: &&TargetEntry| {
                let load = loads.get(&target.name);
                let calls = load.map_or(0, |load| load.expected_calls(view.now));
                has_neighbours
                    && view.is_here(target)
                    && view.is_usable(loads, target)
                    && calls < target.slots
            };
            let cheaper =
                |one: &&TargetEntry, other: &&TargetEntry| cost(one).total_cmp(&cost(other));
            let here = view.candidates(loads).filter(begins_at_once);
            here.min_by(cheaper)
                .or_else(|| view.candidates(loads).min_by(cheaper))
        })
    }
}
