//! Decides whether a call is retried after a failed send. Not for: the choice of the next target.

use std::time;

use usher_route::RouteRule;

/// Maximum number of sends of one call, including the first one, when targets refuse it without
/// running it. Each retry draws on the budget that all gateways share.
const MAX_SENDS: u32 = 3;

/// Share of the configured budget that is used; the rest covers calls of other gateways that end
/// between two updates of the gateway count.
const BUDGET_SHARE: f64 = 0.8;

/// Number of gateways that is assumed to share the configured slack until it is known; more than
/// there are in any deployment.
const ASSUMED_GATEWAYS: u32 = 100;

usher_types::value_type! {
    /// The outcome of a send without an answer for the caller.
    pub enum SendOutcome {
        /// The target stated, or the connection shows, that the call was not run.
        NotRun,
        /// The target may have run the call.
        MayHaveRun,
    }
}

usher_types::value_type! {
    /// The next step after a failed send.
    pub enum RetryDecision {
        /// Send the call to another target.
        Retry,
        /// Refuse the call; it was not run.
        RefuseNotRun,
        /// Fail the call; it may have run.
        FailUnknown,
    }
}

/// The retry budget of one gateway.
///
/// ```
/// use usher_place::RetryBudget;
/// let mut budget = RetryBudget::new(0.2, 20.0);
/// budget.set_gateways(4);
/// // 80% of the slack of 20, divided by 4.
/// assert_eq!((0..10).filter(|_| budget.try_withdraw()).count(), 4);
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    slack: f64,
    gateways: u32,
    used: f64,
}

impl RetryBudget {
    /// Makes a budget from the retries that all gateways may add together: a share of the calls,
    /// and a number in each window.
    pub fn new(share: f64, slack: f64) -> Self {
        Self {
            share: share * BUDGET_SHARE,
            slack: slack * BUDGET_SHARE,
            gateways: ASSUMED_GATEWAYS,
            used: 0.0,
        }
    }

    /// Sets how many gateways share the slack; 0 when it isn't known.
    pub fn set_gateways(&mut self, count: u32) {
        self.gateways = if count == 0 { ASSUMED_GATEWAYS } else { count };
    }

    /// Records a call, which returns its share of a retry to the budget.
    pub fn record_call(&mut self) {
        self.used = (self.used - self.share).max(0.0);
    }

    /// Withdraws one retry, or returns false when the budget is used up.
    pub fn try_withdraw(&mut self) -> bool {
        let limit = (self.slack / f64::from(self.gateways)).max(1.0);
        let has_room = self.used + 1.0 <= limit;
        if has_room {
            self.used += 1.0;
        }
        has_room
    }
}

/// The state of a call whose sends have failed so far.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Number of sends that reached a target.
    pub sends: u32,
    /// Whether the last send reached its target. A retry of one that didn't is free, because the
    /// target has not received the call.
    pub reached: bool,
    /// Number of sends that may have run the call.
    pub runs: u32,
    /// Time left until the deadline of the call.
    pub time_left: time::Duration,
}

/// Minimum time left for a retry; with less, no answer arrives before the deadline.
const MIN_TIME_LEFT: time::Duration = time::Duration::from_millis(60);

impl RetryPolicy {
    /// Decides the next step; draws on `budget` only when the call may be retried.
    pub fn decide(&self, route: &RouteRule, budget: &mut RetryBudget) -> RetryDecision {
        let give_up = if self.runs > 0 {
            RetryDecision::FailUnknown
        } else {
            RetryDecision::RefuseNotRun
        };
        let harmless = self.runs == 0 || route.kind.is_repeatable();
        let allowed = self.runs < route.max_attempts.max(1) && self.sends < MAX_SENDS;
        let has_time = self.time_left > MIN_TIME_LEFT;
        if harmless && allowed && has_time && (!self.reached || budget.try_withdraw()) {
            RetryDecision::Retry
        } else {
            give_up
        }
    }
}
