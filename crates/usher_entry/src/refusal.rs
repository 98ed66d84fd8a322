//! Maps refusals of the admission policy to errors for callers.
//!
//! Not for: deciding on admission.

use std::time;

use usher_policy::{NoRoute, RefusalReason, RouteDecision};

use crate::error;

/// Returns the error of a call refused before anything was sent.
pub(crate) fn refusal_error(
    reason: RefusalReason,
    decision: &RouteDecision,
    retry_after: time::Duration,
) -> error::CallError {
    let refused = match (reason, decision.target) {
        (RefusalReason::NoTarget, Err(NoRoute::NoneFits)) => error::CallError::unavailable(
            "no_fitting_target",
            "no target of this service can serve this call, whatever the load",
        ),
        (RefusalReason::NoTarget, _) => {
            error::CallError::unavailable("no_target", "no target is currently available")
        }
        (RefusalReason::Deadline, _) => {
            let expected = decision.finish.as_millis();
            let message = format!("the answer is expected after {expected} ms, past the deadline");
            error::CallError::limited("deadline", message)
        }
        (RefusalReason::FairShare, _) => error::CallError::limited(
            "fair_share",
            "this team exceeds its fair share while capacity is scarce",
        ),
        (RefusalReason::Capacity, _) => {
            error::CallError::limited("capacity", "the capacity share of this entry is used up")
        }
    };
    refused.with_retry_after(retry_after)
}
