//! The windows of usage reports. Not for: counts.

use std::time;

/// Windows that are kept at once, the newest ones; older ones are overdue.
pub const MAX_WINDOWS: usize = 16;

usher_types::value_type! {
    /// Length of the windows, and when their reports are due.
    pub struct UsageTiming {
        /// Length of a window; window `n` begins `n` lengths after the start of 1970.
        pub window: time::Duration,
        /// Time after the end of a window at which its report is overdue.
        pub due: time::Duration,
    }
}

impl UsageTiming {
    /// Returns the window of a time since 1970.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (window, due) = (Duration::from_secs(5), Duration::from_secs(10));
    /// let timing = usher_usage::UsageTiming { window, due };
    /// assert_eq!(timing.window_at(Duration::from_millis(9_999)), 1);
    /// assert_eq!(timing.end_of(1), Duration::from_secs(10));
    /// ```
    pub fn window_at(&self, since_1970: time::Duration) -> u64 {
        let length = self.window.as_millis().max(1);
        u64::try_from(since_1970.as_millis() / length).unwrap_or(u64::MAX)
    }

    /// Returns the end of a window since 1970.
    pub fn end_of(&self, window: u64) -> time::Duration {
        let length = u64::try_from(self.window.as_millis().max(1)).unwrap_or(u64::MAX);
        time::Duration::from_millis(window.saturating_add(1).saturating_mul(length))
    }

    /// Returns whether the report of a window is overdue.
    pub fn is_overdue(&self, window: u64, since_1970: time::Duration) -> bool {
        self.end_of(window) + self.due <= since_1970
    }
}
