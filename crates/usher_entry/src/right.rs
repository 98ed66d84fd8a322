//! The routing right, a lease that starts when the heartbeat that renewed it was sent.
//!
//! Not for: heartbeats.

use std::{sync::atomic, time};

/// Maximum duration of a right, so that a wrong reply can't grant one for hours.
const MAX_RIGHT: time::Duration = time::Duration::from_secs(3);

/// The lease that allows the entry to start new work on targets.
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
    // Expiry in nanoseconds after `base`; atomic, as each request reads it without a lock.
    until: atomic::AtomicU64,
}

impl RoutingRight {
    /// Creates an expired right; times before `base` count as `base`.
    pub fn new(base: time::Instant) -> Self {
        Self {
            base,
            until: atomic::AtomicU64::new(0),
        }
    }

    /// Extends the right until `length` after the heartbeat was sent; never shortens it.
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
