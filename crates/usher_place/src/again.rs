//! Whether a call is sent again after a failed send. Not for: where it goes then.

use std::time;

use usher_route::RouteRule;

/// Sends of one call that targets may refuse without running it, the first one included. Each one
/// draws on the budget that all gateways share.
const MAX_SENDS: u32 = 3;

/// Part of the stated budget that is used; the rest covers calls of other gateways that end
/// between two counts.
const BUDGET_PART: f64 = 0.8;

/// Gateways that share the stated slack, until their number is known; more than there are.
const ASSUMED_GATEWAYS: u32 = 100;

usher_types::value_type! {
    /// How a send ended that brought no answer for the caller.
    pub enum SendOutcome {
        /// The target said, or the connection shows, that the call was not run.
        NotRun,
        /// The target may have run the call.
        MayHaveRun,
    }
}

usher_types::value_type! {
    /// What follows a failed send.
    pub enum AgainDecision {
        /// Send the call to another target.
        Again,
        /// Tell the caller that the call was not run.
        RefuseNotRun,
        /// Tell the caller that the call may have run.
        FailUnknown,
    }
}

/// Extra sends that a gateway may add.
///
/// ```
/// use usher_place::RepeatBudget;
/// let mut budget = RepeatBudget::new(0.2, 20.0);
/// budget.set_gateways(4);
/// // 80% of the slack of 20, divided by 4.
/// assert_eq!((0..10).filter(|_| budget.take()).count(), 4);
/// ```
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    share: f64,
    slack: f64,
    gateways: u32,
    used: f64,
}

impl RepeatBudget {
    /// Makes a budget from what all gateways may add together: a share of the calls, and a number
    /// for each window.
    pub fn new(share: f64, slack: f64) -> Self {
        Self {
            share: share * BUDGET_PART,
            slack: slack * BUDGET_PART,
            gateways: ASSUMED_GATEWAYS,
            used: 0.0,
        }
    }

    /// Sets how many gateways share the slack; 0 when it isn't known.
    pub fn set_gateways(&mut self, count: u32) {
        self.gateways = if count == 0 { ASSUMED_GATEWAYS } else { count };
    }

    /// Notes a call, which gives back a part of what was used.
    pub fn on_call(&mut self) {
        self.used = (self.used - self.share).max(0.0);
    }

    /// Takes one extra send, or returns false when none is left.
    pub fn take(&mut self) -> bool {
        let most = (self.slack / f64::from(self.gateways)).max(1.0);
        let left = self.used + 1.0 <= most;
        if left {
            self.used += 1.0;
        }
        left
    }
}

/// Decides about a call whose sends failed so far.
#[derive(Clone, Copy, Debug)]
pub struct AgainPolicy {
    /// Sends so far that reached a target.
    pub sends: u32,
    /// Whether the last send reached its target. One that didn't draws on no budget: the target has
    /// not seen it.
    pub reached: bool,
    /// Sends so far that may have been run.
    pub runs: u32,
    /// Time left until the deadline of the call.
    pub left: time::Duration,
}

/// Time below which another send can't bring an answer.
const LEAST_TIME: time::Duration = time::Duration::from_millis(60);

impl AgainPolicy {
    /// Decides what follows; `budget` is asked only when the call may be sent again.
    pub fn decide(&self, route: &RouteRule, budget: &mut RepeatBudget) -> AgainDecision {
        let give_up = if self.runs > 0 {
            AgainDecision::FailUnknown
        } else {
            AgainDecision::RefuseNotRun
        };
        let harmless = self.runs == 0 || route.kind.is_repeatable();
        let allowed = self.runs < route.attempts.max(1) && self.sends < MAX_SENDS;
        let has_time = self.left > LEAST_TIME;
        if harmless && allowed && has_time && (!self.reached || budget.take()) {
            AgainDecision::Again
        } else {
            give_up
        }
    }
}
