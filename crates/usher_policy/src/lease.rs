//! Leases of capacity shares from the control node to the entries. Not for: fairness between
//! firms.

use std::time;

use crate::share;

/// Depth of the token bucket, as the time in which the granted rate fills it.
const BURST_TIME: time::Duration = time::Duration::from_millis(500);
/// Smallest depth of the token bucket, in calls of the largest recent size.
const BURST_CALLS: f64 = 2.0;
/// Factor by which the largest recent work decays with each call.
const LARGEST_DECAY: f64 = 0.99;
/// Share of the last granted rate that remains after the lease has expired, so that a partitioned
/// entry still serves a few calls.
const EXPIRED_RATE_SHARE: f64 = 0.1;
/// Time constant over which the demand of the entry is averaged.
const DEMAND_TIME_CONSTANT: time::Duration = time::Duration::from_secs(2);
/// Share of the capacity that is divided equally, so that an entry whose demand has just risen can
/// serve calls before the next grant.
const EQUAL_SHARE: f64 = 0.1;

usher_types::value_type! {
    /// A share of the capacity that is granted to one entry.
    #[derive(Copy)]
    pub struct ShareGrant {
        /// Engine-seconds of work per second that the entry may accept.
        pub rate: f64,
        /// When the grant expires, by the clock of the entry.
        pub until: time::Instant,
    }
}

/// Capacity share of one entry, enforced as a token bucket.
///
/// Before the first grant every call is allowed.
#[derive(Clone, Debug, Default)]
pub struct CapacityLease {
    grant: Option<ShareGrant>,
    tokens: f64,
    refilled_at: Option<time::Instant>,
    demand: f64,
    demand_at: Option<time::Instant>,
    /// Decaying maximum of the work of recent calls.
    largest_work: f64,
}

impl CapacityLease {
    /// Creates a lease without a grant.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a grant.
    pub fn on_grant(&mut self, grant: ShareGrant, now: time::Instant) {
        self.refill(now);
        if self.grant.is_none() {
            self.tokens = grant.rate * BURST_TIME.as_secs_f64();
        }
        self.grant = Some(grant);
    }

    /// Records that work was requested.
    pub fn on_demand(&mut self, work: f64, now: time::Instant) {
        self.decay(now);
        self.largest_work = work.max(self.largest_work * LARGEST_DECAY);
        self.demand += work / DEMAND_TIME_CONSTANT.as_secs_f64();
    }

    /// Returns the demand in work per second, which the entry reports to the control node.
    pub fn demand(&mut self, now: time::Instant) -> f64 {
        self.decay(now);
        self.demand
    }

    /// Takes work from the bucket, or returns false when the bucket is empty.
    pub fn try_take(&mut self, work: f64, now: time::Instant) -> bool {
        if self.grant.is_none() {
            return true;
        }
        self.refill(now);
        if self.tokens <= 0.0 {
            return false;
        }
        // The last call may overdraw the bucket; otherwise long calls would never be accepted.
        self.tokens -= work;
        true
    }

    fn rate(&self, now: time::Instant) -> f64 {
        match self.grant {
            Some(grant) if now < grant.until => grant.rate,
            Some(grant) => grant.rate * EXPIRED_RATE_SHARE,
            None => 0.0,
        }
    }

    fn refill(&mut self, now: time::Instant) {
        let since = self.refilled_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        let rate = self.rate(now);
        // A share that is smaller than one call must be able to save up for a call.
        let burst = (rate * BURST_TIME.as_secs_f64()).max(self.largest_work * BURST_CALLS);
        self.tokens = (self.tokens + rate * elapsed).min(burst);
        self.refilled_at = Some(now);
    }

    fn decay(&mut self, now: time::Instant) {
        let since = self.demand_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.demand_at = Some(now);
    }
}

/// Divides the capacity among entries by demand; the capacity that is left over is divided
/// equally.
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
    let weighted_demands: Vec<(f64, f64)> = demands.iter().map(|demand| (*demand, 1.0)).collect();
    let parts = share::max_min_shares(capacity * (1.0 - EQUAL_SHARE), &weighted_demands);
    let unused = capacity * (1.0 - EQUAL_SHARE) - parts.iter().sum::<f64>();
    let parts = parts.into_iter();
    parts.map(|part| part + base + unused / count).collect()
}
