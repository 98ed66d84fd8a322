//! Which window the leader fixes next. Not for: collecting its counts.

use std::time;

use crate::usage_window::UsageTiming;

/// Time after the end of a window at which its counts are collected: gateways report every 100 ms,
/// and again at another registrar when theirs has stopped.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);

/// Divisor of the due time until which registrars that don't answer are waited for.
const WAIT_DIVISOR: u32 = 2;

usher_types::value_type! {
    /// What the leader does next.
    pub struct WindowStep {
        /// Window whose counts are to be fixed.
        pub window: u64,
        /// Windows before it that are overdue and were never fixed.
        pub missed: u64,
        /// Whether its counts are fixed although registrars have not answered.
        pub is_last_chance: bool,
    }
}

/// Decides from the agreed time and the newest fixed window which one is next.
#[derive(Clone, Debug)]
pub struct UsageSchedule {
    timing: UsageTiming,
    /// Window in which an installation without any fixed window was first seen.
    first: Option<u64>,
}

impl UsageSchedule {
    /// Creates a schedule.
    pub fn new(timing: UsageTiming) -> Self {
        Self {
            timing,
            first: None,
        }
    }

    /// Returns the window to fix at a time; `newest` is the newest fixed one, 0 for none.
    pub fn next(&mut self, newest: u64, since_1970: time::Duration) -> Option<WindowStep> {
        let current = self.timing.window_at(since_1970);
        let wanted = match newest {
            0 => *self.first.get_or_insert(current),
            newest => newest.saturating_add(1),
        };
        let mut window = wanted;
        if self.timing.is_overdue(window, since_1970) {
            let overdue = since_1970.saturating_sub(self.timing.due);
            window = self.timing.window_at(overdue).max(wanted);
        }
        let end = self.timing.end_of(window);
        if since_1970 < end + SETTLE_TIME.min(self.timing.due / WAIT_DIVISOR) {
            return None;
        }
        Some(WindowStep {
            window,
            missed: window - wanted,
            is_last_chance: since_1970 >= end + self.timing.due / WAIT_DIVISOR,
        })
    }
}
