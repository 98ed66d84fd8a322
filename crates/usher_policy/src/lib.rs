//! Policies for routing, admission, roles and retries, as decisions from state and time alone.
//!
//! The daemons, the experiments and the tests run the same code. [`EntryPolicy`] combines the
//! policies of one entry. Not for: I/O, clocks or threads.

mod admission;
mod entry;
mod estimate;
mod lease;
mod prefix;
mod request;
mod retry;
mod role;
mod route;
mod service_refresh;
mod settings;
mod share;
mod slot;
mod slow_detector;
mod state;
mod table;
mod target;

pub use admission::{estimate_work, AdmissionDecision, AdmissionPolicy, RefusalReason};
pub use entry::EntryPolicy;
pub use lease::{divide_capacity, CapacityLease, ShareGrant};
pub use prefix::PrefixMap;
pub use request::{CallPhase, CallRequest, PromptPrefix};
pub use retry::{HedgePolicy, RetryBudget, RetryDecision, RetryPolicy};
pub use role::{RoleChange, RoleCounts, RoleLimits, RolePolicy, RoleRates};
pub use route::{CandidateScore, NoRoute, RouteDecision, RoutePolicy};
pub use settings::RouteSettings;
pub use share::{max_min_shares, FairShare};
pub use slot::{AttemptId, TargetSlot};
pub use slow_detector::SlowDetector;
pub use state::TargetLoad;
pub use table::TargetTable;
pub use target::{CacheEvent, CacheEventKind, FailureKind, LoadReport, RegistryChange, TargetInfo};
