//! Where a forwarded call runs, when it is sent again, and when it is refused; all pure.
//!
//! For: gateways, which bring what they know of targets and get a decision. Not for: I/O, clocks,
//! or the calls of the model interface, whose policies are in `usher_policy`.

mod again;
mod book;
mod cache;
mod draw;
mod engine;
mod load;
mod place;
mod plain;
mod reader;
mod supply;
mod urgency;
mod work;

pub use again::{AgainDecision, AgainPolicy, RepeatBudget, SendOutcome};
pub use book::{LoadBook, TargetUse, UseTicket};
pub use cache::PartsRead;
pub use engine::{CallGoal, EnginePlan, EnginePolicy};
pub use load::{ClassTokens, LoadReport, TargetFailure, TargetLoad};
pub use place::{DomainMap, PlaceView, TargetDistance};
pub use plain::PlainPolicy;
pub use urgency::{SendUrgency, URGENCY_CLASSES};
pub use work::{text_key, PromptPart, PromptWork};
