//! Accepts or refuses model calls before a target hears of them. Not for: choosing the target.

use std::{collections, time};

use crate::{placement, work};

/// Largest share of the time that a caller has left which may pass before the first event; the rest
/// is for generating the answer and for its way.
const MAX_WAIT_SHARE: f64 = 0.9;

/// Largest stretch; more is no better estimate, and takes longer to be forgotten.
const MAX_STRETCH: f64 = 8.0;

/// Factor by which one call that waited for longer or shorter than expected changes the stretch.
const STRETCH_STEP: f64 = 1.15;

/// Time constant with which the stretch returns to 1. Calls that are on time again after an overload
/// don't depend on it; a shorter one lets calls wait in vain every few seconds of a lasting overload.
const STRETCH_DECAY: time::Duration = time::Duration::from_secs(4);

/// Number of waiting calls that are observed at once; the median of more says no more.
const MAX_OBSERVED: usize = 32;

/// Shortest time after which a refused caller is asked to return: that of a load report.
const MIN_RETURN: time::Duration = time::Duration::from_millis(100);

/// Share of the time that a caller has left after which it returns at the latest: later callers are
/// refused again, because the rest isn't enough for the call.
const MAX_RETURN_SHARE: f64 = 1.0 / 3.0;

/// Share of the places of a service below which no call is refused.
const FREE_SHARE: f64 = 0.5;

/// The input of the decision on one call that can't be on time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionInput {
    /// Expected time to its first event, behind the work that goes before it.
    pub expected: time::Duration,
    /// Time left until its caller gives up.
    pub time_left: time::Duration,
    /// Whether the expected time rests on measured rates.
    pub is_measured: bool,
    /// Whether the engines have free places, as [`has_free_places`] states.
    pub has_free_places: bool,
    /// Key of the call, by which the returns of callers are spread.
    pub key: u64,
}

/// Whether a call is sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It can be served, or nothing says that it can't.
    Accept,
    /// It can't be served before its caller gives up.
    Refuse {
        /// Expected time to its first event.
        wait: time::Duration,
        /// Time after which the caller may return.
        retry_after: time::Duration,
    },
}

/// An accepted call that waits; given back to the policy when the wait ends.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitId(u64);

/// Decides on the calls of one service that can't be on time, for an overload of any length.
///
/// Work that arrives later but is more urgent goes before a call that waits. How much that prolongs
/// the waits is learned as the stretch, the factor between actual and expected ones. Calls that still
/// wait count as well, since a call that is never served shows its wait only when its caller leaves.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPolicy {
    /// Logarithm of the learned stretch when it last changed.
    log_stretch: f64,
    changed: Option<time::Instant>,
    /// Some of the calls that wait: the expected wait and its begin.
    waiting: collections::BTreeMap<WaitId, (time::Duration, time::Instant)>,
    next_id: u64,
}

impl AdmissionPolicy {
    /// Returns the factor by which calls wait for longer than expected at present.
    pub fn stretch(&self, now: time::Instant) -> f64 {
        self.learned_stretch(now).max(self.waiting_stretch(now))
    }

    fn learned_stretch(&self, now: time::Instant) -> f64 {
        let age = self.changed.map_or(time::Duration::ZERO, |changed| {
            now.saturating_duration_since(changed)
        });
        let decay = (-age.as_secs_f64() / STRETCH_DECAY.as_secs_f64()).exp();
        (self.log_stretch * decay).exp()
    }

    /// Returns the median stretch of the calls that still wait.
    fn waiting_stretch(&self, now: time::Instant) -> f64 {
        let waits = self.waiting.values();
        let mut stretches: Vec<_> = waits
            .map(|(expected, since)| {
                let waited = now.saturating_duration_since(*since).as_secs_f64();
                waited / expected.as_secs_f64().max(MIN_RETURN.as_secs_f64())
            })
            .collect();
        stretches.sort_by(f64::total_cmp);
        let median = stretches.get(stretches.len() / 2);
        median.copied().unwrap_or(1.0).clamp(1.0, MAX_STRETCH)
    }

    /// Counts an accepted call as waiting until [`Self::end_wait`].
    pub fn begin_wait(&mut self, expected: time::Duration, now: time::Instant) -> WaitId {
        let id = WaitId(self.next_id);
        self.next_id += 1;
        if self.waiting.len() < MAX_OBSERVED {
            self.waiting.insert(id, (expected, now));
        }
        id
    }

    /// Ends the wait of a call, whose prompt was read if it is `served`. A call that wasn't served
    /// says something only when it waited for longer than expected.
    pub fn end_wait(&mut self, id: WaitId, served: bool, now: time::Instant) {
        let Some((expected, since)) = self.waiting.remove(&id) else {
            return;
        };
        let stretch = self.learned_stretch(now);
        let waited = now.saturating_duration_since(since).as_secs_f64();
        let is_longer = waited > expected.as_secs_f64() * stretch;
        if !is_longer && !served {
            return;
        }
        let stretch = if is_longer {
            stretch * STRETCH_STEP
        } else {
            stretch / STRETCH_STEP
        };
        self.log_stretch = stretch.clamp(1.0, MAX_STRETCH).ln();
        self.changed = Some(now);
    }

    /// Decides on a call.
    pub fn decide(&self, input: &AdmissionInput, now: time::Instant) -> AdmissionDecision {
        let wait = input.expected.as_secs_f64() * self.stretch(now);
        let excess = wait - input.time_left.as_secs_f64() * MAX_WAIT_SHARE;
        if excess <= 0.0 || !input.is_measured || input.has_free_places {
            return AdmissionDecision::Accept;
        }
        let wait = time::Duration::try_from_secs_f64(wait);
        AdmissionDecision::Refuse {
            wait: wait.unwrap_or(time::Duration::MAX),
            retry_after: retry_after(excess, input),
        }
    }
}

/// Returns when the excess of the expected wait will be worked off, spread by the call over as much
/// again.
fn retry_after(excess: f64, input: &AdmissionInput) -> time::Duration {
    let latest = input.time_left.as_secs_f64() * MAX_RETURN_SHARE;
    let shortest = MIN_RETURN.as_secs_f64();
    let earliest = excess.min(latest / 2.0).max(shortest);
    let point = work::mix(work::FNV_OFFSET, input.key) as f64 / u64::MAX as f64;
    time::Duration::try_from_secs_f64(earliest * (1.0 + point)).unwrap_or(MIN_RETURN)
}

/// Returns whether less than half of the places of a service's targets are taken and no call waits at
/// any of them. Rates that are wrong must not keep such a service idle.
pub fn has_free_places(view: &placement::PlacementView<'_>) -> bool {
    view.loads.with_loads(|loads| {
        let (mut taken, mut places) = (0_u64, 0_u64);
        for target in view.targets.iter().filter(|target| target.takes_work()) {
            places += u64::from(target.slots);
            let Some(load) = loads.get(&target.name) else {
                continue;
            };
            if load
                .report(view.now)
                .is_some_and(|report| report.waiting > 0)
            {
                return false;
            }
            taken += u64::from(load.expected_calls(view.now));
        }
        (taken as f64) < places as f64 * FREE_SHARE
    })
}
