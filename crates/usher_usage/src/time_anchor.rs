//! The time since 1970 at one instant of the steady clock. Not for: agreeing on it.

use std::time;

/// Ties the steady clock to the time since 1970.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TimeAnchor {
    at: time::Instant,
    since_1970: time::Duration,
}

impl TimeAnchor {
    /// Creates an anchor.
    pub fn new(at: time::Instant, since_1970: time::Duration) -> Self {
        Self { at, since_1970 }
    }

    /// Creates an anchor from a wall clock.
    pub fn of_wall(at: time::Instant, wall: time::SystemTime) -> Self {
        let since_1970 = wall.duration_since(time::UNIX_EPOCH);
        Self::new(at, since_1970.unwrap_or_default())
    }

    /// Returns the time since 1970 at an instant.
    pub fn since_1970(&self, now: time::Instant) -> time::Duration {
        match now.checked_duration_since(self.at) {
            Some(age) => self.since_1970 + age,
            None => self.since_1970.saturating_sub(self.at - now),
        }
    }
}
