//! Outcome counts and latency percentiles of the demo's requests. Not for: sending them (`load`).

use std::time;

/// Percentiles of durations, in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct TimeFigures {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl TimeFigures {
    /// Computes percentiles by the nearest-rank method; they are 0 if there are no durations.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pimentousher::demo::TimeFigures;
    /// let mut times: Vec<_> = (1..=200).map(Duration::from_millis).collect();
    /// let figures = TimeFigures::from_durations(&mut times);
    /// assert_eq!((figures.p50, figures.p95, figures.p99), (100.0, 190.0, 198.0));
    /// ```
    pub fn from_durations(durations: &mut [time::Duration]) -> Self {
        durations.sort_unstable();
        let at = |percent: usize| {
            let rank = (durations.len() * percent).div_ceil(100).max(1);
            let duration = durations.get(rank - 1).copied().unwrap_or_default();
            (duration.as_secs_f64() * 1e5).round() / 1e2
        };
        Self {
            p50: at(50),
            p95: at(95),
            p99: at(99),
        }
    }
}

/// Outcomes of all requests of a run.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct DemoCount {
    /// Requests of the plan; retries aren't counted.
    pub requests: u64,
    /// Requests with a complete and correct answer.
    pub whole: u64,
    /// Requests that were refused as not run at every attempt.
    pub refused: u64,
    /// Non-idempotent calls that the service ran more than once.
    pub doubled: u64,
    /// Accepted requests without a complete and correct answer.
    pub lost: u64,
    /// Requests that were resent after a refusal or a broken connection.
    pub resent: u64,
    /// Time to the first token (TTFT).
    pub first_token_ms: TimeFigures,
    /// Time between consecutive tokens of a stream.
    pub inter_token_ms: TimeFigures,
    /// Invariant violations detected in this process.
    pub invariants_violated: u64,
    /// Descriptions of the first few failures.
    pub examples: Vec<String>,
}

impl DemoCount {
    /// Returns whether no request was doubled or lost and no invariant was violated.
    pub fn is_good(&self) -> bool {
        self.doubled == 0 && self.lost == 0 && self.invariants_violated == 0
    }
}
