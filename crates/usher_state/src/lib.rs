//! The replicated state machine: configuration, routes, claims, orders and the target registry.
//!
//! Applies committed commands in log order. Each outcome depends only on the commands, so all
//! replicas reach the same state. Not for: I/O, clocks, or deciding which commands to propose.

mod claim_holder;
mod claim_key;
mod claim_table;
mod config_state;
mod fleet_state;
mod history;
mod mechanism;
mod order_table;
mod packed_claim;
mod route_state;
mod snapshot;
mod target_table;
mod usage_state;
mod violation_log;

pub use claim_holder::ClaimHolder;
pub use claim_key::{ClaimKey, KEY_RETENTION, MAX_KEY_LEAD};
pub use claim_table::{ClaimStatus, ClaimTable, MAX_ANSWER_BYTES, MAX_KEPT_ANSWER_BYTES};
pub use config_state::{ConfigState, MAX_KEPT_ANSWERS};
pub use fleet_state::FleetState;
pub use history::{HistoryRecord, HistoryRing, HISTORY_RECORDS};
#[doc(hidden)]
pub use mechanism::StateMechanism;
pub use order_table::{OrderEnd, OrderRecord, OrderTable, MAX_ENDED_ORDERS};
pub use route_state::RouteState;
pub use snapshot::SNAPSHOT_VERSION;
pub use target_table::{TargetRegistration, TargetTable, MAX_TARGETS};
pub use usage_state::{FixedUsage, UsageState};
