//! Counts of teams' calls in windows of time, for usage reports.
//!
//! For: counting at gateways, merging reports that are repeated or late, agreeing on the time, and
//! deciding when the counts of a window are fixed. Not for: I/O, clocks, or the replicated state.

mod agreed_time;
mod time_anchor;
mod usage_counter;
mod usage_schedule;
mod usage_table;
mod usage_window;

pub use agreed_time::AgreedTime;
pub use time_anchor::TimeAnchor;
pub use usage_counter::UsageCounter;
pub use usage_schedule::{UsageSchedule, WindowStep};
pub use usage_table::{GatewayRun, UsageTable};
pub use usage_window::{UsageTiming, MAX_WINDOWS};
