//! Rate limiter of load orders, which read from the weight store. Not for: limiting requests.

use std::time;

/// Token bucket in which each load order takes one token.
///
/// ```
/// use std::time::{Duration, Instant};
/// use usher_control::plan::LoadOrderLimiter;
/// let start = Instant::now();
/// let mut limiter = LoadOrderLimiter::new(0.5, 1, start);
/// assert!(limiter.take(start));
/// assert!(!limiter.take(start + Duration::from_secs(1)));
/// assert!(limiter.take(start + Duration::from_secs(2)));
/// ```
#[derive(Clone, Debug)]
pub struct LoadOrderLimiter {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: time::Instant,
}

impl LoadOrderLimiter {
    /// Creates a limiter with a full bucket.
    pub fn new(per_second: f64, burst: u32, now: time::Instant) -> Self {
        Self {
            per_second,
            burst: f64::from(burst),
            tokens: f64::from(burst),
            filled_at: now,
        }
    }

    /// Empties the bucket, because a new leader doesn't know which loads the previous one started.
    pub fn empty(&mut self, now: time::Instant) {
        self.tokens = 0.0;
        self.filled_at = now;
    }

    /// Takes a token; returns whether one was available.
    pub fn take(&mut self, now: time::Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.burst);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
