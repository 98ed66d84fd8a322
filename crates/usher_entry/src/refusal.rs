//! What a caller is told when its call isn't accepted. Not for: deciding on it.

use std::time;

use usher_policy::{NoRoute, RefusalReason, RouteDecision};

use crate::error;

/// Returns the error of a call that was refused before anything was sent.
pub(crate) fn refusal_error(
    reason: RefusalReason,
    decision: &RouteDecision,
    retry_after: time::Duration,
) -> error::CallError {
    let refused = match (reason, decision.target) {
        (RefusalReason::NoTarget, Err(NoRoute::NoneFits)) => {
            error::CallError::unavailable("no_fitting_target", "no target can hold this call")
        }
        (RefusalReason::NoTarget, _) => {
            error::CallError::unavailable("no_target", "no target is available at the moment")
        }
        (RefusalReason::Deadline, _) => {
            let expected = decision.finish.as_millis();
            let message = format!("the answer is expected after {expected} ms, past the deadline");
            error::CallError::limited("deadline", message)
        }
        (RefusalReason::FairShare, _) => error::CallError::limited(
            "fair_share",
            "this team is over its fair share while capacity is short",
        ),
        (RefusalReason::Capacity, _) => {
            error::CallError::limited("capacity", "the capacity share of this entry is used up")
        }
    };
    refused.with_retry_after(retry_after)
}
