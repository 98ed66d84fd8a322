//! Retries and hedges, limited by a budget. Not for: sending attempts.

use std::time;

use usher_types::{RunState, WorkClass};

use crate::{request, target};

/// Extra attempts per call that retries and hedges may add together. The objective is under 10%;
/// the margin covers calls that end between two counts.
const BUDGET_SHARE: f64 = 0.09;
/// Largest number of saved extra attempts, so that a quiet hour does not permit a burst of
/// retries.
const MAX_SAVED_ATTEMPTS: f64 = 20.0;
/// Largest number of attempts of one call, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// A hedge is sent when the first token takes longer than the expected time by this factor.
const HEDGE_FACTOR: f64 = 3.0;
/// Shortest delay between sending and the hedge.
const HEDGE_DELAY_MIN: time::Duration = time::Duration::from_millis(150);

/// Budget of extra attempts that grows with the number of calls.
///
/// ```
/// let mut budget = usher_policy::RetryBudget::new();
/// assert!(!budget.try_take());
/// for _ in 0..100 {
///     budget.on_call();
/// }
/// assert!(budget.try_take());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    tokens: f64,
    calls: u64,
    extra: u64,
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a call, which adds to the budget.
    pub fn on_call(&mut self) {
        self.calls += 1;
        self.tokens = (self.tokens + BUDGET_SHARE).min(MAX_SAVED_ATTEMPTS);
    }

    /// Takes one extra attempt from the budget, or returns false when the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.extra += 1;
        true
    }

    /// Returns the extra attempts as a share of the calls.
    pub fn share(&self) -> f64 {
        self.extra as f64 / self.calls.max(1) as f64
    }
}

usher_types::value_type! {
    /// Action after a failed attempt.
    pub enum RetryDecision {
        /// Send the call to another target.
        Retry,
        /// Continue the stream on another engine after the delivered tokens.
        Resume,
        /// Fail the call; nothing has run.
        FailNotRun,
        /// Fail the call; it may have run.
        FailUnknown,
    }
}

/// Decides what to do after a failed attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides for a call whose attempt number `attempt`, counted from 1, has failed.
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
        let repeatable = request.idempotent || run == RunState::NotRun;
        if !repeatable || expired || attempt >= MAX_ATTEMPTS || !budget.try_take() {
            return give_up;
        }
        if request.delivered.get() > 0 {
            RetryDecision::Resume
        } else {
            RetryDecision::Retry
        }
    }
}

/// Decides when to send a second attempt of short work before the first has failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgePolicy;

impl HedgePolicy {
    /// Returns the delay after sending at which to hedge if no token has arrived, or `None` for
    /// work that is not hedged.
    pub fn delay(
        &self,
        request: &request::CallRequest,
        expected_first: time::Duration,
    ) -> Option<time::Duration> {
        if request.class != WorkClass::Short || !request.idempotent {
            return None;
        }
        Some(expected_first.mul_f64(HEDGE_FACTOR).max(HEDGE_DELAY_MIN))
    }

    /// Takes one hedge from the budget; returns false when the budget is exhausted.
    pub fn try_take(&self, budget: &mut RetryBudget) -> bool {
        budget.try_take()
    }
}
