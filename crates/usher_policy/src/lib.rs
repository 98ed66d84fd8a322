//! Routing, limits, roles and retries as pure decisions.
//!
//! For: decisions from state and time, the same code in the daemons, the experiments and the
//! tests. Not for: I/O, clocks or threads. [`EntryPolicy`] joins the policies of one entry.

mod admit;
mod entry;
mod expect;
mod lease;
mod prefix;
mod refresh;
mod request;
mod retry;
mod role;
mod route;
mod settings;
mod share;
mod slot;
mod slow;
mod state;
mod table;
mod target;

pub use admit::{estimate_work, AdmissionDecision, AdmissionPolicy, RefusalReason};
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
pub use slow::SlowDetector;
pub use state::TargetLoad;
pub use table::RouteTable;
pub use target::{CacheEvent, CacheEventKind, FailureKind, LoadReport, RegistryChange, TargetInfo};
