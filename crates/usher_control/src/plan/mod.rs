//! Decision logic of the control daemon: pure types and functions that take the time as an
//! argument. Not for: I/O.

mod entry_tracker;
mod fleet_plan;
mod load_order_limiter;
mod load_table;
mod order_step;
mod right_issuer;
mod role_split;
mod share_table;
mod target_tracker;
mod timing;

pub use entry_tracker::{ConfigRollout, EntryTracker, TrackedEntry};
pub use fleet_plan::{plan_fleet, FleetView, PlanRules, PlannedOrder};
pub use load_order_limiter::LoadOrderLimiter;
pub use load_table::{LoadSubset, LoadTable, FULL_SET_BYTES, SUBSET_BYTES};
pub use order_step::{correction, next_step, EngineReading, OrderAction, OrderStep, SendState};
pub use right_issuer::RightIssuer;
pub use role_split::{plan_role_changes, RoleAssignment, RoleOrderState};
pub use share_table::{ServiceDemands, ShareTable};
pub use target_tracker::TargetTracker;
pub use timing::{
    CLOCK_DRIFT, DRAIN_ORDER_DELAY, ENTRY_GONE_AFTER, MAX_CONFIRMATION_AGE, NEW_LEADER_ORDER_DELAY,
    READ_BACK_INTERVAL, RELAY_INTERVAL, RIGHT_DURATION, SHARE_DURATION, TARGET_GONE_AFTER,
};
