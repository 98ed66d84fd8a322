//! What decides: pure structs and functions that get the clock passed in. Not for: I/O.

mod entry_watch;
mod fleet_plan;
mod load_board;
mod load_bucket;
mod order_desk;
mod right_issuer;
mod role_split;
mod share_table;
mod target_sight;
mod timing;

pub use entry_watch::{ConfigSpread, EntryWatch, WatchedEntry};
pub use fleet_plan::{plan_fleet, FleetView, PlanRules, PlannedOrder};
pub use load_board::{LoadBoard, LoadSubset, SUBSET_BYTES, WHOLE_BYTES};
pub use load_bucket::LoadBucket;
pub use order_desk::{correction, next_step, EngineReading, OrderAction, OrderStep, SendState};
pub use right_issuer::RightIssuer;
pub use role_split::{role_wishes, RoleOrderState, RoleWish};
pub use share_table::{ServiceDemands, ShareTable};
pub use target_sight::TargetSight;
pub use timing::{
    CLOCK_DRIFT, DRAIN_WAIT, ENTRY_GONE, ORDER_WAIT, READ_BACK, RELAY_CONFIRM, RELAY_INTERVAL,
    RIGHT_TIME, SHARE_TIME, TARGET_GONE,
};
