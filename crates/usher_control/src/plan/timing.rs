//! The durations that the decisions depend on. Not for: timeouts of single calls.

use std::time::Duration;

/// How long an entry may start new work after it sent an answered heartbeat.
pub const RIGHT_TIME: Duration = Duration::from_secs(3);

/// How old a node's confirmation of the leader may be when it renews a routing right.
pub const RELAY_CONFIRM: Duration = Duration::from_secs(1);

/// How often a node relays to the leader; four times within [`RELAY_CONFIRM`], so that one lost
/// message doesn't end the rights.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(250);

/// Bound of how much clocks differ over the longest duration here (10% of a right).
pub const CLOCK_DRIFT: Duration = Duration::from_millis(300);

/// How long a capacity share is reserved: the age that a relay may give it, the right that it is
/// used under, and drift.
pub const SHARE_TIME: Duration = Duration::from_millis(4_300);

/// When an entry that no node reports has certainly lost its right: relay confirmation, right,
/// drift, and a relay interval for a report on its way.
pub const ENTRY_GONE: Duration = Duration::from_millis(4_550);

/// When a target that nobody reports is gone.
pub const TARGET_GONE: Duration = Duration::from_secs(10);

/// How long a new leader sends no orders: the old leader's lease of 0.9 s, drift, and 2 s for
/// bytes in flight, bounded by the TCP user timeout.
pub const ORDER_WAIT: Duration = Duration::from_millis(3_200);

/// How long after a leaving mark the drain order is given: by then no entry starts new work.
pub const DRAIN_WAIT: Duration = Duration::from_millis(4_300);

/// How often the state of an engine that ignores fencing numbers is read back.
pub const READ_BACK: Duration = Duration::from_secs(10);
