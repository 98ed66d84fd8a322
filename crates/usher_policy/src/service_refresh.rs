//! Refreshes the state that all targets of a service share: weights, engines for long work, due
//! probes. Not for: single calls.

use std::time;

use usher_types::{EngineRole, ServiceName, WorkClass};

use crate::{estimate, request, slot, table};

/// Largest share of the other daemons' calls that is extrapolated from the calls of this entry
/// instead of reports, and the own calls per engine at which half of it is reached. A daemon with
/// few calls has no representative sample.
const MAX_EXTRAPOLATED_SHARE: f64 = 0.9;
const HALF_SAMPLE_CALLS: f64 = 2.0;
/// Range of the share of long work in which long work is isolated; outside it there is practically
/// only one class.
const ISOLATED_SHARES: std::ops::Range<f64> = 0.005..0.995;
/// Fill of the batches above which long work is not isolated.
const ISOLATION_MAX_FILL: f64 = 0.7;
/// Time constant over which the work of each class is averaged, for isolating long work.
const WORK_TIME_CONSTANT: time::Duration = time::Duration::from_secs(15);
/// Fraction added before the number of engines for long work is rounded down. A larger one would
/// leave too little room for short work, whose deadlines are closer.
const LONG_ROUNDING: f64 = 0.4;
/// Age at which the weights of targets are refreshed, per `REFRESH_TARGETS` targets. Sorting all
/// targets for each decision would cost too much; the interval grows with the number of targets,
/// so that the cost per second stays the same.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(20);
const REFRESH_TARGETS: usize = 100;

impl table::TargetTable {
    /// Refreshes the weights of a service's targets, unless they were refreshed recently.
    pub(crate) fn refresh(&mut self, service: &ServiceName, now: time::Instant) {
        let Some(regions) = self.pools.get(service) else {
            return;
        };
        let refreshed_at = self.refreshed_at.get(service);
        let targets: usize = regions.values().map(Vec::len).sum();
        let interval = REFRESH_INTERVAL * (targets / REFRESH_TARGETS + 1) as u32;
        if refreshed_at.is_some_and(|at| now.duration_since(*at) < interval) {
            return;
        }
        let groups: Vec<Vec<slot::TargetSlot>> = regions.values().cloned().collect();
        let weights = self.detector.weights(&groups, now);
        for (slot, weight) in groups.iter().flatten().zip(weights.iter().flatten()) {
            let state = &mut self.states[slot.index()];
            state.weight = *weight;
            state.slowness = self.detector.slowness(*slot);
        }
        self.estimate_others(&groups);
        self.isolate_long_work(&groups);
        self.refreshed_at.insert(service.clone(), now);
    }

    /// Estimates the calls of other daemons per own call over all targets of the service.
    fn estimate_others(&mut self, groups: &[Vec<slot::TargetSlot>]) {
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
        let extrapolated_share =
            MAX_EXTRAPOLATED_SHARE * own / (own + HALF_SAMPLE_CALLS * engines).max(1.0);
        let batch_slots = engines * f64::from(self.settings.batch_limit);
        let fill = (own + others) / batch_slots.max(1.0);
        self.headroom = (1.0 - fill / ISOLATION_MAX_FILL).max(0.0);
        for slot in groups.iter().flatten() {
            let state = &mut self.states[slot.index()];
            state.others_per_own_call = ratio;
            state.extrapolated_share = extrapolated_share;
        }
    }

    /// Marks the mixed engines that accept long work. Their number follows the share of long work;
    /// they are taken round-robin from the regions in order of names, so that all daemons mark
    /// nearly the same engines.
    fn isolate_long_work(&mut self, groups: &[Vec<slot::TargetSlot>]) {
        let mixed = |slot: &&slot::TargetSlot| {
            let state = &self.states[slot.index()];
            state.accepts_work() && state.info.role == EngineRole::Mixed && state.weight > 0.5
        };
        let candidates: Vec<Vec<slot::TargetSlot>> = groups
            .iter()
            .map(|group| group.iter().filter(mixed).copied().collect())
            .collect();
        let count: usize = candidates.iter().map(Vec::len).sum();
        let [short, long] = self.class_work;
        let share = long / (short + long).max(f64::MIN_POSITIVE);
        self.long_isolated = ISOLATED_SHARES.contains(&share);
        let engine_count = ((share * count as f64 + LONG_ROUNDING) as usize).max(1);
        for slot in groups.iter().flatten() {
            self.states[slot.index()].accepts_long = false;
        }
        let longest = candidates.iter().map(Vec::len).max().unwrap_or(0);
        let rounds =
            (0..longest).flat_map(|round| candidates.iter().map(move |group| group.get(round)));
        let engine_count = if self.long_isolated { engine_count } else { 0 };
        let chosen: Vec<slot::TargetSlot> = rounds.flatten().take(engine_count).copied().collect();
        for slot in chosen {
            self.states[slot.index()].accepts_long = true;
        }
    }

    /// Records the work of a call, from which the shares of short and long work follow.
    pub(crate) fn record_work(
        &mut self,
        request: &request::CallRequest,
        prefill: f64,
        now: time::Instant,
    ) {
        let since = self.class_work_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let factor = (-elapsed / WORK_TIME_CONSTANT.as_secs_f64()).exp();
        self.class_work = self.class_work.map(|work| work * factor);
        let token = self.settings.token_time.as_secs_f64()
            * (1.0 / f64::from(self.settings.batch_limit.max(1)) + estimate::STEP_GROWTH);
        let work = prefill / self.settings.prefill_rate + request.remaining().get() as f64 * token;
        self.class_work[usize::from(request.class == WorkClass::Long)] += work;
    }

    /// Returns a slow target of the service whose probe is due, and starts the pause until its
    /// next probe.
    pub(crate) fn start_due_probe(
        &mut self,
        service: &ServiceName,
        now: time::Instant,
    ) -> Option<slot::TargetSlot> {
        let slots = self.detector.slow_slots();
        let due = slots.into_iter().find(|slot| {
            let state = &self.states[slot.index()];
            let accepts_work = state.accepts_work() && state.pause_left(now).is_none();
            accepts_work && state.info.service == *service
        })?;
        self.detector.start_due_probe(due, now).then_some(due)
    }
}
