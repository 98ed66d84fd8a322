//! Estimates times on a target from its load and its observed speed. Not for: choosing a target.

use std::time;

use usher_types::WorkClass;

use crate::{request, slot, state, table};

/// Consecutive failures after which a target is avoided for `FAILURE_PAUSE`.
const CONSECUTIVE_FAILURES: u32 = 2;
/// How long a target is avoided after consecutive failures.
const FAILURE_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Prompt tokens that an engine prefills in one batch step, the default of most engines.
const CHUNK_TOKENS: f64 = 512.0;
/// Typical error of the estimated number of calls on a target, caused by late reports.
const CALL_COUNT_ERROR: f64 = 8.0;
/// Growth of a batch step for each additional running call, relative to the step of an empty
/// batch.
pub(crate) const STEP_GROWTH: f64 = 0.02;

impl table::TargetTable {
    /// Returns the expected seconds of a decode step without prefill, and of the prefill that may
    /// share the step. Neither includes the observed speed of the target.
    pub(crate) fn step_estimate(&self, slot: slot::TargetSlot) -> (f64, f64) {
        let Some(state) = self.state(slot) else {
            return (1.0, 1.0);
        };
        let load = state.load();
        let step = self.decode_step(&load);
        let prefill = if state.accepts_long {
            CHUNK_TOKENS
        } else {
            CHUNK_TOKENS.min(load.prefill())
        };
        (step, prefill / self.settings.prefill_rate)
    }

    /// Returns whether a target failed repeatedly within the last `FAILURE_PAUSE`.
    pub(crate) fn is_failing(&self, slot: slot::TargetSlot, now: time::Instant) -> bool {
        self.state(slot).is_some_and(|state| {
            state.failures >= CONSECUTIVE_FAILURES
                && state
                    .failed_at
                    .is_some_and(|at| now.duration_since(at) < FAILURE_PAUSE)
        })
    }

    /// Returns the prompt tokens that the target would have to prefill, without expected cache
    /// hits.
    pub(crate) fn prefill_work(
        &self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
    ) -> f64 {
        let hit = self.prefixes.hit_tokens(slot, &request.prefixes);
        let prompt = request.prompt.get().saturating_add(request.delivered.get()) as f64;
        (prompt - hit).max(1.0)
    }

    /// Returns the expected seconds from sending to the first token, without the network delay.
    pub(crate) fn expected_first_token(
        &self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
    ) -> f64 {
        let Some(state) = self.state(slot) else {
            return f64::INFINITY;
        };
        let load = state.load();
        let work = self.prefill_work(request, slot);
        let step = self.decode_step(&load);
        let seconds = match request.class {
            WorkClass::Short => {
                // Short work has the higher priority, but it waits for the current step, and its
                // own steps are filled up with prefill of long work.
                let crowded =
                    (state.accepts_long && self.headroom > 0.0) || load.long_prefill >= 1.0;
                let chunk = if crowded { CHUNK_TOKENS } else { 0.0 };
                let own = (load.short_prefill + work).max(chunk);
                let prefill = (0.5 * chunk + own) / self.settings.prefill_rate;
                let steps = 0.5 + (work / CHUNK_TOKENS).ceil();
                steps * step + prefill
            }
            WorkClass::Long => {
                let tokens = load.prefill() + work;
                let steps = (tokens / CHUNK_TOKENS).ceil();
                steps * step + tokens / self.settings.prefill_rate
            }
        };
        seconds * state.prefill_ratio * self.common_prefill_ratio * state.slowness
    }

    /// Returns the expected seconds per additional output token.
    pub(crate) fn expected_token_time(&self, slot: slot::TargetSlot) -> f64 {
        let Some(state) = self.state(slot) else {
            return f64::INFINITY;
        };
        self.decode_step(&state.load()) * state.decode_ratio
    }

    /// Returns the expected seconds until the batch and the memory of a target have room for the
    /// call.
    pub(crate) fn expected_queue_wait(
        &self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
    ) -> f64 {
        let Some(state) = self.state(slot) else {
            return f64::INFINITY;
        };
        let load = state.load();
        let limit = f64::from(self.settings.batch_limit);
        // Reports show the calls of other daemons late, so a batch may be full before it appears
        // to be.
        let excess_calls = (load.calls + 1.0 - limit) / CALL_COUNT_ERROR;
        let queued_calls = CALL_COUNT_ERROR * excess_calls.exp().ln_1p().max(excess_calls);
        let queued_calls = if self.fits_now(request, slot) {
            queued_calls
        } else {
            queued_calls.max(1.0)
        };
        let wait = queued_calls * self.expected_token_time(slot) * self.mean_output / limit;
        match request.class {
            WorkClass::Short => wait,
            // Long work also waits for the short work that arrives in the meantime.
            WorkClass::Long => 2.0 * wait,
        }
    }

    /// Returns whether the memory of a target is expected to have room for the call now.
    pub(crate) fn fits_now(&self, request: &request::CallRequest, slot: slot::TargetSlot) -> bool {
        self.state(slot).is_some_and(|state| {
            let pieces = state.info.pieces.get();
            let needed = request.pieces().get() as f64;
            pieces == 0 || state.load().pieces + needed <= pieces as f64
        })
    }

    /// Returns the headroom in the batches for isolating long work; 0 when long work is not
    /// isolated.
    pub(crate) fn headroom(&self) -> f64 {
        if self.long_isolated {
            self.headroom
        } else {
            0.0
        }
    }

    pub(crate) fn decode_step(&self, load: &state::TargetLoad) -> f64 {
        let batch = load.calls.min(f64::from(self.settings.batch_limit));
        self.settings.token_time.as_secs_f64() * (1.0 + STEP_GROWTH * batch)
    }
}
