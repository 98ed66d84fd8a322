//! Shares of capacity leased from control to entries. Not for: fairness between firms.

use std::time;

use crate::share;

/// Work that may be done at once when a share allows this many seconds of it.
const BURST: time::Duration = time::Duration::from_millis(500);
/// Calls of the largest size lately that a share may save up for.
const BURST_CALLS: f64 = 2.0;
/// Part of the largest work that remains with each call.
const LARGEST_MEMORY: f64 = 0.99;
/// Share of the last grant that remains when the lease has expired, so that a partitioned entry
/// still serves a little.
const FLOOR: f64 = 0.1;
/// Time over which the own demand is averaged.
const DEMAND_MEMORY: time::Duration = time::Duration::from_secs(2);
/// Share of the capacity that is divided equally, so that an entry whose demand just rose isn't
/// held to nothing until the next grant.
const EQUAL_SHARE: f64 = 0.1;

usher_types::value_type! {
    /// A share of the capacity for one entry.
    #[derive(Copy)]
    pub struct ShareGrant {
        /// Work per second that the entry may accept.
        pub rate: f64,
        /// When the share ends, by the entry's own clock.
        pub until: time::Instant,
    }
}

/// The capacity share of one entry, as a token bucket.
///
/// Without any grant ever, everything is allowed: limits begin with the first grant.
#[derive(Clone, Debug, Default)]
pub struct CapacityLease {
    grant: Option<ShareGrant>,
    tokens: f64,
    filled_at: Option<time::Instant>,
    demand: f64,
    demand_at: Option<time::Instant>,
    /// Largest work seen lately.
    largest: f64,
}

impl CapacityLease {
    /// Makes a lease without a grant.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a grant.
    pub fn on_grant(&mut self, grant: ShareGrant, now: time::Instant) {
        self.fill(now);
        if self.grant.is_none() {
            self.tokens = grant.rate * BURST.as_secs_f64();
        }
        self.grant = Some(grant);
    }

    /// Notes that work was asked for.
    pub fn on_demand(&mut self, work: f64, now: time::Instant) {
        self.fade(now);
        self.largest = work.max(self.largest * LARGEST_MEMORY);
        self.demand += work / DEMAND_MEMORY.as_secs_f64();
    }

    /// Returns the demand in work per second, to be reported to control.
    pub fn demand(&mut self, now: time::Instant) -> f64 {
        self.fade(now);
        self.demand
    }

    /// Takes work out of the share, or returns false when it is used up.
    pub fn take(&mut self, work: f64, now: time::Instant) -> bool {
        if self.grant.is_none() {
            return true;
        }
        self.fill(now);
        if self.tokens <= 0.0 {
            return false;
        }
        // The last call may overdraw: long calls would never be accepted otherwise.
        self.tokens -= work;
        true
    }

    fn rate(&self, now: time::Instant) -> f64 {
        match self.grant {
            Some(grant) if now < grant.until => grant.rate,
            Some(grant) => grant.rate * FLOOR,
            None => 0.0,
        }
    }

    fn fill(&mut self, now: time::Instant) {
        let since = self.filled_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let rate = self.rate(now);
        // A share smaller than a call must still save up for one.
        let burst = (rate * BURST.as_secs_f64()).max(self.largest * BURST_CALLS);
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.filled_at = Some(now);
    }

    fn fade(&mut self, now: time::Instant) {
        let since = self.demand_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_MEMORY.as_secs_f64()).exp();
        self.demand_at = Some(now);
    }
}

/// Divides the capacity among entries by their demand; what isn't asked for is divided equally.
///
/// ```
/// let rates = usher_policy::divide_capacity(100.0, &[10.0, 30.0]);
/// assert!((rates.iter().sum::<f64>() - 100.0).abs() < 1e-9);
/// ```
pub fn divide_capacity(capacity: f64, demands: &[f64]) -> Vec<f64> {
    if demands.is_empty() {
        return Vec::new();
    }
    let count = demands.len() as f64;
    let base = capacity * EQUAL_SHARE / count;
    let wanted: Vec<(f64, f64)> = demands.iter().map(|demand| (*demand, 1.0)).collect();
    let parts = share::max_min_shares(capacity * (1.0 - EQUAL_SHARE), &wanted);
    let left = capacity * (1.0 - EQUAL_SHARE) - parts.iter().sum::<f64>();
    let parts = parts.into_iter();
    parts.map(|part| part + base + left / count).collect()
}
