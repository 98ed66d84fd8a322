//! Retries and hedges within a budget. Not for: sending.

use std::time;

use usher_types::{RunState, WorkClass};

use crate::{request, target};

/// Share of calls that retries and hedges together may add. The goal is under 10%; the margin
/// covers the calls that end between two counts.
const BUDGET_SHARE: f64 = 0.09;
/// Most extra attempts saved up, so that a quiet hour doesn't allow a burst of retries.
const BUDGET_BURST: f64 = 20.0;
/// Attempts of one call, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// A hedge is sent when the first token is later than the expected time by this factor.
const HEDGE_FACTOR: f64 = 3.0;
/// Earliest hedge after sending.
const HEDGE_MIN: time::Duration = time::Duration::from_millis(150);

/// Counts calls and the extra attempts that they may cause.
///
/// ```
/// let mut budget = usher_policy::RetryBudget::new();
/// assert!(!budget.take());
/// for _ in 0..100 {
///     budget.on_call();
/// }
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    saved: f64,
    calls: u64,
    extra: u64,
}

impl RetryBudget {
    /// Makes an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a call.
    pub fn on_call(&mut self) {
        self.calls += 1;
        self.saved = (self.saved + BUDGET_SHARE).min(BUDGET_BURST);
    }

    /// Takes one extra attempt from the budget, or returns false when none is left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        self.extra += 1;
        true
    }

    /// Returns the extra attempts as a share of calls.
    pub fn share(&self) -> f64 {
        self.extra as f64 / self.calls.max(1) as f64
    }
}

usher_types::value_type! {
    /// What to do after a failed attempt.
    pub enum RetryDecision {
        /// Send the call again, elsewhere.
        Retry,
        /// Continue the stream on another engine from the tokens delivered.
        Resume,
        /// Give up; nothing was run.
        FailNotRun,
        /// Give up; something may have been run.
        FailUnknown,
    }
}

/// Decides what follows a failed attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides for a call whose attempt number `attempt`, counted from 1, failed.
    pub fn decide(
        &self,
        request: &request::CallRequest,
        kind: target::FailureKind,
        attempt: u32,
        budget: &mut RetryBudget,
        now: time::Instant,
    ) -> RetryDecision {
        let run = match kind {
            target::FailureKind::NotSent | target::FailureKind::Refused => RunState::NotRun,
            target::FailureKind::Broken | target::FailureKind::Cancelled => RunState::Unknown,
        };
        let give_up = match run {
            RunState::NotRun => RetryDecision::FailNotRun,
            RunState::Unknown => RetryDecision::FailUnknown,
        };
        let expired = request.deadline.is_some_and(|deadline| now >= deadline);
        let harmless = request.idempotent || run == RunState::NotRun;
        if !harmless || expired || attempt >= MAX_ATTEMPTS || !budget.take() {
            return give_up;
        }
        if request.delivered.get() > 0 {
            RetryDecision::Resume
        } else {
            RetryDecision::Retry
        }
    }
}

/// Decides when a second attempt of short work is sent although the first hasn't failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgePolicy;

impl HedgePolicy {
    /// Returns how long after sending to hedge when no token came; none for work that isn't
    /// hedged.
    pub fn delay(
        &self,
        request: &request::CallRequest,
        expected_first: time::Duration,
    ) -> Option<time::Duration> {
        if request.class != WorkClass::Short || !request.idempotent {
            return None;
        }
        Some(expected_first.mul_f64(HEDGE_FACTOR).max(HEDGE_MIN))
    }

    /// Returns whether the hedge may be sent now, and takes it from the budget.
    pub fn take(&self, budget: &mut RetryBudget) -> bool {
        budget.take()
    }
}
