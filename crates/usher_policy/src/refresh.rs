//! What concerns all targets of a service: weights, engines for long work, due probes.
//! Not for: single calls.

use std::time;

use usher_types::{EngineRole, ServiceName, WorkClass};

use crate::{expect, request, slot, table};

/// Most of the others' calls that is taken from own calls instead of reports, and the own calls per
/// engine at which half of it is: a daemon with few calls has no sample of what others do.
const OWN_SHARE: f64 = 0.9;
const OWN_SAMPLE: f64 = 2.0;
/// Shares of long work outside of which it isn't kept apart, because there is only one class.
const BOTH_CLASSES: std::ops::Range<f64> = 0.005..0.995;
/// Fill of the batches above which long work isn't kept apart.
const FILL_WITHOUT_ROOM: f64 = 0.7;
/// Time over which the work of each class is averaged, for confining long work.
const WORK_MEMORY: time::Duration = time::Duration::from_secs(15);
/// Part of an engine that is rounded up to a whole one for long work; more of them would leave too
/// little room for short work, whose deadlines are closer.
const LONG_MARGIN: f64 = 0.4;
/// How old the weights of targets may be; sorting all targets for each decision costs too much.
/// It grows with the number of targets, so that the cost per time stays the same.
const REFRESH_EVERY: time::Duration = time::Duration::from_millis(20);
const REFRESH_TARGETS: usize = 100;

impl table::RouteTable {
    /// Brings the weights of a service's targets up to date; cheap when that was done a moment ago.
    pub(crate) fn refresh(&mut self, service: &ServiceName, now: time::Instant) {
        let Some(regions) = self.pools.get(service) else {
            return;
        };
        let fresh = self.refreshed.get(service);
        let targets: usize = regions.values().map(Vec::len).sum();
        let every = REFRESH_EVERY * (targets / REFRESH_TARGETS + 1) as u32;
        if fresh.is_some_and(|at| now.duration_since(*at) < every) {
            return;
        }
        let groups: Vec<Vec<slot::TargetSlot>> = regions.values().cloned().collect();
        let weights = self.detector.weights(&groups, now);
        for (slot, weight) in groups.iter().flatten().zip(weights.iter().flatten()) {
            let state = &mut self.states[slot.index()];
            state.weight = *weight;
            state.slowness = self.detector.slowness(*slot);
        }
        self.compare_calls(&groups);
        self.confine_long(&groups);
        self.refreshed.insert(service.clone(), now);
    }

    /// Compares own calls with those of other daemons over all targets of the service.
    fn compare_calls(&mut self, groups: &[Vec<slot::TargetSlot>]) {
        let states = || {
            groups
                .iter()
                .flatten()
                .map(|slot| &self.states[slot.index()])
        };
        let own: f64 = states().map(|state| state.own().calls).sum();
        let others: f64 = states().map(|state| state.others().calls).sum();
        let ratio = if own > 0.0 { others / own } else { 0.0 };
        let engines = groups.iter().flatten().count() as f64;
        let own_share = OWN_SHARE * own / (own + OWN_SAMPLE * engines).max(1.0);
        let places = engines * f64::from(self.settings.batch_limit);
        let fill = (own + others) / places.max(1.0);
        self.room = (1.0 - fill / FILL_WITHOUT_ROOM).max(0.0);
        for slot in groups.iter().flatten() {
            let state = &mut self.states[slot.index()];
            state.others_ratio = ratio;
            state.own_share = own_share;
        }
    }

    /// Marks the mixed engines that long work is confined to: its share of the work, taken in
    /// turn from each region in the order of names, so that all daemons mark nearly the same.
    fn confine_long(&mut self, groups: &[Vec<slot::TargetSlot>]) {
        let mixed = |slot: &&slot::TargetSlot| {
            let state = &self.states[slot.index()];
            state.takes_work() && state.info.role == EngineRole::Mixed && state.weight > 0.5
        };
        let open: Vec<Vec<slot::TargetSlot>> = groups
            .iter()
            .map(|group| group.iter().filter(mixed).copied().collect())
            .collect();
        let count: usize = open.iter().map(Vec::len).sum();
        let [short, long] = self.work;
        let share = long / (short + long).max(f64::MIN_POSITIVE);
        self.confined = BOTH_CLASSES.contains(&share);
        let wanted = ((share * count as f64 + LONG_MARGIN) as usize).max(1);
        for slot in groups.iter().flatten() {
            self.states[slot.index()].for_long = false;
        }
        let longest = open.iter().map(Vec::len).max().unwrap_or(0);
        let turns = (0..longest).flat_map(|turn| open.iter().map(move |group| group.get(turn)));
        let wanted = if self.confined { wanted } else { 0 };
        let chosen: Vec<slot::TargetSlot> = turns.flatten().take(wanted).copied().collect();
        for slot in chosen {
            self.states[slot.index()].for_long = true;
        }
    }

    pub(crate) fn note_work(
        &mut self,
        request: &request::CallRequest,
        prefill: f64,
        now: time::Instant,
    ) {
        let since = self.work_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let factor = (-elapsed / WORK_MEMORY.as_secs_f64()).exp();
        self.work = self.work.map(|work| work * factor);
        let token = self.settings.token_time.as_secs_f64()
            * (1.0 / f64::from(self.settings.batch_limit.max(1)) + expect::STEP_GROWTH);
        let work = prefill / self.settings.prefill_rate + request.remaining().get() as f64 * token;
        self.work[usize::from(request.class == WorkClass::Long)] += work;
    }

    /// Returns a slow target of the service whose probe is due.
    pub(crate) fn take_probe(
        &mut self,
        service: &ServiceName,
        now: time::Instant,
    ) -> Option<slot::TargetSlot> {
        let slots = self.detector.slow_slots();
        let due = slots.into_iter().find(|slot| {
            let state = &self.states[slot.index()];
            state.takes_work() && state.info.service == *service
        })?;
        self.detector.take_probe(due, now).then_some(due)
    }
}
