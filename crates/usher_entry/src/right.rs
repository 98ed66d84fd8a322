//! The routing right, measured from the sending of a heartbeat. Not for: heartbeats.

use std::{sync::atomic, time};

/// The longest right that is believed, so that a wrong answer can't give a right for hours.
const MAX_RIGHT: time::Duration = time::Duration::from_secs(3);

/// Tells whether the entry may start new work on targets.
///
/// ```
/// use std::time::{Duration, Instant};
/// use usher_entry::RoutingRight;
/// let start = Instant::now();
/// let right = RoutingRight::new(start);
/// assert!(!right.holds(start));
/// right.renew(start, Duration::from_secs(3));
/// assert!(right.holds(start + Duration::from_secs(2)));
/// assert!(!right.holds(start + Duration::from_secs(3)));
/// ```
#[derive(Debug)]
pub struct RoutingRight {
    base: time::Instant,
    // Nanoseconds after the base; read for each request without a lock.
    until: atomic::AtomicU64,
}

impl RoutingRight {
    /// Makes an expired right; times before `base` count as `base`.
    pub fn new(base: time::Instant) -> Self {
        Self {
            base,
            until: atomic::AtomicU64::new(0),
        }
    }

    /// Extends the right to `length` after the heartbeat was sent; never shortens it.
    pub fn renew(&self, sent_at: time::Instant, length: time::Duration) {
        let until = self.nanos(sent_at + length.min(MAX_RIGHT));
        self.until.fetch_max(until, atomic::Ordering::SeqCst);
    }

    /// Returns whether the right holds at `now`.
    pub fn holds(&self, now: time::Instant) -> bool {
        self.nanos(now) < self.until.load(atomic::Ordering::SeqCst)
    }

    fn nanos(&self, at: time::Instant) -> u64 {
        let since = at.saturating_duration_since(self.base);
        u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
    }
}
