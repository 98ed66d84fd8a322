//! Decides where a forwarded call runs, when it is retried and when it is refused.
//!
//! For: gateways, which pass in the state of the targets and get a decision. Not for: I/O, clocks,
//! or the calls of the model interface, whose policies are in `usher_policy`.

mod admission;
mod cache_estimate;
mod engine;
mod load;
mod load_tracker;
mod placement;
mod plain;
mod prefill_choice;
mod prefix_source;
mod rates;
mod retry;
mod sample;
mod spill;
mod urgency;
mod work;

pub use admission::{has_free_places, AdmissionDecision, AdmissionInput, AdmissionPolicy, WaitId};
pub use cache_estimate::PrefixRead;
pub use engine::{decode_sample, CallGoal, EnginePolicy, PlannedSample, PrefillPlan};
pub use load::{ClassTokens, LoadReport, TargetFailure, TargetLoad};
pub use load_tracker::{CallGuard, GatewayLoad, LoadTracker};
pub use placement::{DomainMap, PlacementView, TargetDistance};
pub use plain::PlainPolicy;
pub use rates::{EngineRates, RateSample, TimeEstimate};
pub use retry::{RetryBudget, RetryDecision, RetryPolicy, SendOutcome};
pub use spill::{DomainPlan, SpillCall, SpillReason};
pub use urgency::{call_rank, SendUrgency, URGENCY_CLASSES};
pub use work::{text_key, PromptPart, PromptWork};
