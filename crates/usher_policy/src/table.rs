//! Table of the targets as one entry sees them, updated by events. Not for: choosing among them.

use std::{collections, time};

use usher_types::{RegionName, ServiceName, TargetName, TokenCount};

use crate::{prefix, request, settings, slot, slow_detector, state, target};

/// Weight of a new observation in the prefill ratio of a target and of all targets. It is small
/// because a first token that waited for the work of others says little about the target.
const PREFILL_RATIO_GAIN: f64 = 0.05;
const COMMON_RATIO_GAIN: f64 = 0.01;
/// Bounds of the prefill ratio of a target relative to all targets. A slow target shows in its
/// output sooner than in its prefill.
const PREFILL_RATIO_BOUNDS: (f64, f64) = (0.7, 1.5);
/// Weight of a new call in the average output.
const OUTPUT_GAIN: f64 = 0.02;
/// A call is a straggler when its output exceeds its estimate by this factor.
const STRAGGLER_FACTOR: u64 = 4;

#[derive(Clone, Debug)]
struct AttemptState {
    slot: slot::TargetSlot,
    load: state::TargetLoad,
    sent_at: time::Instant,
    expected_first_seconds: f64,
    /// Estimated output in tokens.
    estimate: u64,
    /// Delivered tokens.
    tokens: u64,
    progressed_at: Option<time::Instant>,
    straggler: bool,
    phase: request::CallPhase,
    prefixes: Vec<request::PromptPrefix>,
}

/// Targets with their own outstanding work, late reports, prefix caches and observed speed.
///
/// The entry calls one `on_...` method for each event. No method does I/O or reads a clock.
#[derive(Clone, Debug)]
pub struct TargetTable {
    pub(crate) settings: settings::RouteSettings,
    pub(crate) slots: collections::BTreeMap<TargetName, slot::TargetSlot>,
    pub(crate) states: Vec<state::TargetState>,
    pub(crate) pools: collections::BTreeMap<
        ServiceName,
        collections::BTreeMap<RegionName, Vec<slot::TargetSlot>>,
    >,
    attempts: collections::HashMap<slot::AttemptId, AttemptState>,
    pub(crate) next_attempt: u64,
    pub(crate) prefixes: prefix::PrefixMap,
    pub(crate) detector: slow_detector::SlowDetector,
    /// Average estimated output of a call, in tokens.
    pub(crate) mean_output: f64,
    /// Observed time to first token of all targets relative to the expected one.
    pub(crate) common_prefill_ratio: f64,
    /// Headroom in the batches for isolating long work, from 1 when they are empty down to 0.
    pub(crate) headroom: f64,
    /// Whether long work is isolated on engines of its own.
    pub(crate) long_isolated: bool,
    /// Recent work of short and long calls in engine-seconds, and the time of its last decay.
    pub(crate) class_work: [f64; 2],
    pub(crate) class_work_at: Option<time::Instant>,
    pub(crate) refreshed_at: collections::BTreeMap<ServiceName, time::Instant>,
}

impl TargetTable {
    /// Creates a table without targets.
    pub fn new(settings: settings::RouteSettings) -> Self {
        Self {
            settings,
            slots: collections::BTreeMap::new(),
            states: Vec::new(),
            pools: collections::BTreeMap::new(),
            attempts: collections::HashMap::new(),
            next_attempt: 1,
            prefixes: prefix::PrefixMap::default(),
            detector: slow_detector::SlowDetector::new(),
            mean_output: 128.0,
            common_prefill_ratio: 1.0,
            headroom: 1.0,
            long_isolated: false,
            class_work: [0.0; 2],
            class_work_at: None,
            refreshed_at: collections::BTreeMap::new(),
        }
    }

    /// Applies a registry change.
    pub fn on_registry(&mut self, change: target::RegistryChange) {
        match change {
            target::RegistryChange::Put(info) => self.put(info),
            target::RegistryChange::Leaving(name) => {
                if let Some(state) = self.state_mut(&name) {
                    state.info.leaving = true;
                }
            }
            target::RegistryChange::Suspect(name) => {
                if let Some(state) = self.state_mut(&name) {
                    state.status = state::TargetStatus::Suspect;
                }
            }
            target::RegistryChange::Gone(name) => {
                if let Some(&slot) = self.slots.get(&name) {
                    self.states[slot.index()].status = state::TargetStatus::Gone;
                    self.prefixes.remove(slot);
                    self.detector.forget(slot);
                    self.rebuild_pools();
                }
            }
        }
    }

    fn put(&mut self, info: target::TargetInfo) {
        let Some(&slot) = self.slots.get(&info.name) else {
            let slot = slot::TargetSlot(self.states.len() as u32);
            self.slots.insert(info.name.clone(), slot);
            self.states.push(state::TargetState::new(info));
            self.rebuild_pools();
            return;
        };
        let state = &mut self.states[slot.index()];
        if state.info.incarnation != info.incarnation {
            // A new incarnation has neither the work nor the cache of the previous one.
            *state = state::TargetState::new(info);
            self.prefixes.remove(slot);
            self.detector.forget(slot);
            self.attempts.retain(|_, attempt| attempt.slot != slot);
            self.rebuild_pools();
            return;
        }
        let moved = state.info.service != info.service
            || state.info.region != info.region
            || state.status == state::TargetStatus::Gone;
        // A late announcement of the same incarnation never clears the leaving mark.
        let leaving = state.info.leaving || info.leaving;
        state.info = info;
        state.info.leaving = leaving;
        state.status = state::TargetStatus::Live;
        if moved {
            self.rebuild_pools();
        }
    }

    fn rebuild_pools(&mut self) {
        self.pools.clear();
        for slot in self.slots.values() {
            let state = &self.states[slot.index()];
            if state.status == state::TargetStatus::Gone {
                continue;
            }
            let regions = self.pools.entry(state.info.service.clone()).or_default();
            let slots = regions.entry(state.info.region.clone()).or_default();
            slots.push(*slot);
        }
    }

    /// Records that a call was sent to a target. The returned id is passed to the later events of
    /// the attempt.
    pub fn on_sent(
        &mut self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
        now: time::Instant,
    ) -> slot::AttemptId {
        self.on_phase_sent(request, slot, request::CallPhase::Full, now)
    }

    /// Records that one phase of a call was sent to a target. A call with separate prefill and
    /// decode has an attempt on each engine.
    pub fn on_phase_sent(
        &mut self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
        phase: request::CallPhase,
        now: time::Instant,
    ) -> slot::AttemptId {
        let id = slot::AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let expected_first_seconds =
            self.expected_first_token(request, slot) + self.expected_queue_wait(request, slot);
        let prefill = match phase {
            request::CallPhase::Decode => 0.0,
            _ => self.prefill_work(request, slot),
        };
        self.record_work(request, prefill, now);
        let total = request.prompt.get().saturating_add(request.output.get());
        let load = state::load_of(request.class, prefill, TokenCount::new(total));
        let output = request.output.get() as f64;
        self.mean_output += OUTPUT_GAIN * (output - self.mean_output);
        if let Some(state) = self.states.get_mut(slot.index()) {
            state.change_own(&load, 1.0, now);
        }
        self.attempts.insert(
            id,
            AttemptState {
                slot,
                load,
                sent_at: now,
                expected_first_seconds,
                estimate: request.output.get().max(1),
                tokens: 0,
                progressed_at: None,
                straggler: false,
                phase,
                prefixes: match phase {
                    request::CallPhase::Decode => Vec::new(),
                    _ => request.prefixes.clone(),
                },
            },
        );
        id
    }

    /// Records the first token of an attempt.
    pub fn on_first_token(&mut self, id: slot::AttemptId, now: time::Instant) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.progressed_at.is_some() {
            return;
        }
        attempt.progressed_at = Some(now);
        attempt.tokens += 1;
        let prefill = state::TargetLoad {
            short_prefill: attempt.load.short_prefill,
            long_prefill: attempt.load.long_prefill,
            ..state::TargetLoad::default()
        };
        attempt.load.short_prefill = 0.0;
        attempt.load.long_prefill = 0.0;
        let observed = now.duration_since(attempt.sent_at).as_secs_f64();
        let ratio = observed / attempt.expected_first_seconds.max(0.001);
        let (slot, phase) = (attempt.slot, attempt.phase);
        for prefix in std::mem::take(&mut attempt.prefixes) {
            self.prefixes.add(slot, prefix.hash);
        }
        let state = &mut self.states[slot.index()];
        state.change_own(&prefill, -1.0, now);
        state.failures = 0;
        state.last_progress = Some(now);
        // In a call that only decodes here, another engine produced the first token.
        if phase != request::CallPhase::Decode {
            let ratio = ratio.clamp(state::RATIO_MIN, state::RATIO_MAX);
            let prefill_ratio = state.prefill_ratio * (1.0 + PREFILL_RATIO_GAIN * (ratio - 1.0));
            state.prefill_ratio =
                prefill_ratio.clamp(PREFILL_RATIO_BOUNDS.0, PREFILL_RATIO_BOUNDS.1);
            let common = self.common_prefill_ratio * (1.0 + COMMON_RATIO_GAIN * (ratio - 1.0));
            self.common_prefill_ratio = common.clamp(state::RATIO_MIN, state::RATIO_MAX);
        }
    }

    /// Records that an attempt has delivered `total` tokens since its start.
    pub fn on_progress(&mut self, id: slot::AttemptId, total: u64, now: time::Instant) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let slot = attempt.slot;
        let since = attempt.progressed_at.replace(now);
        let tokens = total.saturating_sub(attempt.tokens);
        attempt.tokens = attempt.tokens.max(total);
        let became_straggler = !attempt.straggler
            && attempt.tokens > attempt.estimate.saturating_mul(STRAGGLER_FACTOR);
        attempt.straggler |= became_straggler;
        let (step, allowance) = self.step_estimate(slot);
        let state = &mut self.states[slot.index()];
        state.stragglers += u32::from(became_straggler);
        state.last_progress = Some(now);
        let Some(since) = since.filter(|_| tokens > 0) else {
            return;
        };
        let observed = now.duration_since(since).as_secs_f64() / tokens as f64;
        state.record_token_time(observed / step, now);
        let ratio = (observed - allowance).max(0.0) / step;
        self.detector.observe(slot, ratio, allowance <= 0.0, now);
    }

    /// Records that an attempt ended with a complete answer.
    pub fn on_finished(&mut self, id: slot::AttemptId, now: time::Instant) {
        if let Some(slot) = self.release(id, now) {
            self.states[slot.index()].record_outcome(false, now);
        }
    }

    /// Records that an attempt ended without a complete answer.
    pub fn on_failed(
        &mut self,
        id: slot::AttemptId,
        kind: target::FailureKind,
        now: time::Instant,
    ) {
        let Some(slot) = self.release(id, now) else {
            return;
        };
        if kind == target::FailureKind::Cancelled {
            return;
        }
        self.states[slot.index()].record_outcome(true, now);
    }

    fn release(&mut self, id: slot::AttemptId, now: time::Instant) -> Option<slot::TargetSlot> {
        let attempt = self.attempts.remove(&id)?;
        let state = self.states.get_mut(attempt.slot.index())?;
        state.change_own(&attempt.load, -1.0, now);
        if attempt.straggler {
            state.stragglers = state.stragglers.saturating_sub(1);
        }
        Some(attempt.slot)
    }

    /// Applies a load report, which reflects an earlier state of the target.
    pub fn on_report(&mut self, name: &TargetName, report: &target::LoadReport) {
        if let Some(state) = self.state_mut(name) {
            state.apply_report(report);
        }
    }

    /// Records that a target wants no request of this entry for a time. A new incarnation of the
    /// target wants none.
    pub fn on_pause(&mut self, name: &TargetName, length: time::Duration, now: time::Instant) {
        if let Some(state) = self.state_mut(name) {
            state.request_pause(length, now);
        }
    }

    /// Returns whether a target wants no request at present.
    pub fn wants_pause(&self, name: &TargetName, now: time::Instant) -> bool {
        let slot = self.slots.get(name);
        let state = slot.and_then(|slot| self.state(*slot));
        state.is_some_and(|state| state.pause_left(now).is_some())
    }

    /// Applies prefix-cache events; returns false when events are missing. The entry then fetches
    /// a complete listing and passes it to [`TargetTable::on_cache_listing`].
    pub fn on_cache_events(
        &mut self,
        name: &TargetName,
        events: &[target::CacheEvent],
        next: u64,
    ) -> bool {
        match self.slots.get(name) {
            Some(&slot) => self.prefixes.apply(slot, events, next),
            None => true,
        }
    }

    /// Replaces the known prefix cache of a target by a complete listing.
    pub fn on_cache_listing(&mut self, name: &TargetName, hashes: &[u64], next: u64) {
        if let Some(&slot) = self.slots.get(name) {
            self.prefixes.replace(slot, hashes, next);
        }
    }

    /// Returns the number of the next cache event expected from a target.
    pub fn next_cache_event(&self, name: &TargetName) -> u64 {
        let slot = self.slots.get(name);
        slot.map_or(0, |slot| self.prefixes.next_seq(*slot))
    }

    /// Returns the slot of a target.
    pub fn slot_of(&self, name: &TargetName) -> Option<slot::TargetSlot> {
        self.slots.get(name).copied()
    }

    /// Returns the registry information of a target.
    pub fn info(&self, slot: slot::TargetSlot) -> Option<&target::TargetInfo> {
        self.states.get(slot.index()).map(|state| &state.info)
    }

    /// Returns the name of a target.
    pub fn name(&self, slot: slot::TargetSlot) -> Option<&TargetName> {
        self.info(slot).map(|info| &info.name)
    }

    /// Returns the load of a target, including the estimated load of other daemons.
    pub fn load(&self, slot: slot::TargetSlot) -> state::TargetLoad {
        let state = self.states.get(slot.index());
        state.map_or_else(state::TargetLoad::default, state::TargetState::load)
    }

    /// Returns the load that this entry has on a target.
    pub fn own_load(&self, slot: slot::TargetSlot) -> state::TargetLoad {
        let state = self.states.get(slot.index());
        state.map_or_else(state::TargetLoad::default, |state| *state.own())
    }

    /// Returns the number of outstanding attempts.
    pub fn outstanding(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the target slots of a service by region.
    pub fn pool(
        &self,
        service: &ServiceName,
    ) -> Option<&collections::BTreeMap<RegionName, Vec<slot::TargetSlot>>> {
        self.pools.get(service)
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::RouteSettings {
        &self.settings
    }

    /// Returns the detector of slow targets.
    pub fn detector(&self) -> &slow_detector::SlowDetector {
        &self.detector
    }

    pub(crate) fn state(&self, slot: slot::TargetSlot) -> Option<&state::TargetState> {
        self.states.get(slot.index())
    }

    pub(crate) fn prefixes(&self) -> &prefix::PrefixMap {
        &self.prefixes
    }

    fn state_mut(&mut self, name: &TargetName) -> Option<&mut state::TargetState> {
        let slot = *self.slots.get(name)?;
        self.states.get_mut(slot.index())
    }
}
