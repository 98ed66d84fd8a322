//! Virtual time in integer nanoseconds, so that runs are exactly reproducible. Not for: clocks.

use std::time;

const NANOS_PER_SECOND: f64 = 1e9;

/// Converts milliseconds to nanoseconds.
pub(crate) const fn from_millis(millis: u64) -> u64 {
    millis * 1_000_000
}

/// Converts seconds to nanoseconds, rounded.
pub(crate) fn from_seconds(seconds: f64) -> u64 {
    (seconds * NANOS_PER_SECOND).round() as u64
}

/// Converts nanoseconds to seconds.
pub(crate) fn to_seconds(nanos: u64) -> f64 {
    nanos as f64 / NANOS_PER_SECOND
}

/// Converts a duration to nanoseconds, saturating at the largest value.
pub(crate) fn from_duration(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
