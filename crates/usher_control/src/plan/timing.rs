//! Durations on which the decisions depend. Not for: timeouts of single calls.

use std::time::Duration;

/// Time for which an entry may start new calls after it sent a heartbeat that was answered.
pub const RIGHT_DURATION: Duration = Duration::from_secs(3);

/// Largest age of a leader's confirmation with which a node may renew a routing right.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(1);

/// Interval at which a node relays to the leader: four times within [`MAX_CONFIRMATION_AGE`], so
/// that a lost message doesn't end the rights.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(250);

/// Upper bound of the drift between clocks over the longest duration here (10% of a right).
pub const CLOCK_DRIFT: Duration = Duration::from_millis(300);

/// Time for which a capacity share is reserved: the age at which a relay may still pass it on, the
/// duration of the right under which it is used, and drift.
pub const SHARE_DURATION: Duration = Duration::from_millis(4_300);

/// Time after which an entry that no node reports has certainly lost its right: the age of a
/// confirmation, the right, drift, and a relay interval for a report in transit.
pub const ENTRY_GONE_AFTER: Duration = Duration::from_millis(4_550);

/// Time after which a target that no entry reports counts as gone.
pub const TARGET_GONE_AFTER: Duration = Duration::from_secs(10);

/// Time for which a new leader sends no orders: the previous leader's lease of 0.9 s, drift, and
/// 2 s for bytes in flight, limited by the TCP user timeout.
pub const NEW_LEADER_ORDER_DELAY: Duration = Duration::from_millis(3_200);

/// Delay between marking a target as leaving and its drain order; no entry starts new calls on the
/// target after that.
pub const DRAIN_ORDER_DELAY: Duration = Duration::from_millis(4_300);

/// Interval at which the state of engines that ignore fencing numbers is read back.
pub const READ_BACK_INTERVAL: Duration = Duration::from_secs(10);
