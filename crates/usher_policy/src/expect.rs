//! Expected times on a target, from its load and what was learned of it. Not for: choosing.

use std::time;

use usher_types::WorkClass;

use crate::{request, slot, state, table};

/// A target that failed this often in a row is avoided for a while.
const FAILURES_IN_ROW: u32 = 2;
/// How long a target is avoided after failures in a row.
const FAILURE_PAUSE: time::Duration = time::Duration::from_secs(2);
/// Prompt tokens that an engine prefills in one batch step, as most engines do by default.
const CHUNK_TOKENS: f64 = 512.0;
/// Calls by which the load of a target is typically misjudged, because reports are late.
const CALLS_UNSURE: f64 = 8.0;
/// Time that one more running call adds to a batch step, relative to the step of an empty batch.
pub(crate) const STEP_GROWTH: f64 = 0.02;

impl table::RouteTable {
    /// Returns the expected seconds of a step without prefill, and of the prefill that may be in it;
    /// without what was learned of the target.
    pub(crate) fn step_bounds(&self, slot: slot::TargetSlot) -> (f64, f64) {
        let Some(state) = self.state(slot) else {
            return (1.0, 1.0);
        };
        let load = state.load();
        let plain = self.plain_step(&load);
        let prefill = if state.for_long {
            CHUNK_TOKENS
        } else {
            CHUNK_TOKENS.min(load.prefill())
        };
        (plain, prefill / self.settings.prefill_rate)
    }

    /// Returns whether a target failed repeatedly a moment ago.
    pub(crate) fn is_failing(&self, slot: slot::TargetSlot, now: time::Instant) -> bool {
        self.state(slot).is_some_and(|state| {
            state.failures >= FAILURES_IN_ROW
                && state
                    .failed_at
                    .is_some_and(|at| now.duration_since(at) < FAILURE_PAUSE)
        })
    }

    /// Returns the prompt tokens that the target would have to prefill.
    pub(crate) fn prefill_work(
        &self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
    ) -> f64 {
        let hit = self.prefixes.hit_tokens(slot, &request.prefixes);
        let prompt = request.prompt.get().saturating_add(request.delivered.get()) as f64;
        (prompt - hit).max(1.0)
    }

    /// Returns the expected seconds from sending to the first token, without the link.
    pub(crate) fn expect_first(
        &self,
        request: &request::CallRequest,
        slot: slot::TargetSlot,
    ) -> f64 {
        let Some(state) = self.state(slot) else {
            return f64::INFINITY;
        };
        let load = state.load();
        let work = self.prefill_work(request, slot);
        let step = self.plain_step(&load);
        let seconds = match request.class {
            WorkClass::Short => {
                // Short work has the higher priority, but waits for the step that runs, and its
                // own steps are filled up with long prefill.
                let crowded = (state.for_long && self.room > 0.0) || load.long_prefill >= 1.0;
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
        seconds * state.prefill_pace * self.common_pace * state.slowness
    }

    /// Returns the expected seconds for one more output token.
    pub(crate) fn expect_token(&self, slot: slot::TargetSlot) -> f64 {
        let Some(state) = self.state(slot) else {
            return f64::INFINITY;
        };
        self.plain_step(&state.load()) * state.decode_pace
    }

    /// Returns the expected seconds until the batch and the memory of a target have room.
    pub(crate) fn slot_wait(&self, request: &request::CallRequest, slot: slot::TargetSlot) -> f64 {
        let Some(state) = self.state(slot) else {
            return f64::INFINITY;
        };
        let load = state.load();
        let limit = f64::from(self.settings.batch_limit);
        // The calls of other daemons are known late, so a batch may be full before it seems so.
        let over = (load.calls + 1.0 - limit) / CALLS_UNSURE;
        let ahead = CALLS_UNSURE * over.exp().ln_1p().max(over);
        let ahead = if self.fits_now(request, slot) {
            ahead
        } else {
            ahead.max(1.0)
        };
        let wait = ahead * self.expect_token(slot) * self.mean_output / limit;
        match request.class {
            WorkClass::Short => wait,
            // Long work waits behind the short work that arrives in the meantime.
            WorkClass::Long => 2.0 * wait,
        }
    }

    /// Returns whether the memory of a target is expected to hold the call at once.
    pub(crate) fn fits_now(&self, request: &request::CallRequest, slot: slot::TargetSlot) -> bool {
        self.state(slot).is_some_and(|state| {
            let pieces = state.info.pieces.get();
            let needed = request.pieces().get() as f64;
            pieces == 0 || state.load().pieces + needed <= pieces as f64
        })
    }

    /// Returns the room in the batches for keeping long work apart; 0 when it has no engines of
    /// its own.
    pub(crate) fn room(&self) -> f64 {
        if self.confined {
            self.room
        } else {
            0.0
        }
    }

    pub(crate) fn plain_step(&self, load: &state::TargetLoad) -> f64 {
        let batch = load.calls.min(f64::from(self.settings.batch_limit));
        self.settings.token_time.as_secs_f64() * (1.0 + STEP_GROWTH * batch)
    }
}
