//! Virtual time in whole nanoseconds, so that runs repeat to the last digit. Not for: clocks.

use std::time;

const NANOS_PER_SECOND: f64 = 1e9;

/// Converts milliseconds.
pub(crate) const fn from_millis(millis: u64) -> u64 {
    millis * 1_000_000
}

/// Converts seconds, rounded to a nanosecond.
pub(crate) fn from_seconds(seconds: f64) -> u64 {
    (seconds * NANOS_PER_SECOND).round() as u64
}

/// Converts to seconds.
pub(crate) fn to_seconds(nanos: u64) -> f64 {
    nanos as f64 / NANOS_PER_SECOND
}

/// Converts a duration; one that is too long becomes the longest.
pub(crate) fn from_duration(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
