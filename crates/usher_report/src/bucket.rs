//! Counts of requests in one time bucket. Not for: which bucket a request belongs to.

use std::{fmt, time};

/// Upper bounds of the histogram of the time to first token, in ms; 510 is the usual objective.
pub const FIRST_TOKEN_BOUNDS_MS: [u64; 14] = [
    25, 50, 100, 150, 200, 300, 400, 510, 750, 1_000, 1_500, 2_500, 5_000, 10_000,
];

usher_types::value_type! {
    /// Outcome of a request, by the cause of a bad one.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum BurnCause {
        /// The complete answer arrived in time.
        Ok,
        /// The request was refused before anything ran.
        Refused,
        /// The complete answer arrived after the deadline.
        Late,
        /// A slow or stalled target delayed the request.
        SlowTarget,
        /// A planned stop refused or ended the request.
        Drain,
        /// The request was refused because its region had no contact with the control nodes.
        Region,
        /// The request ended without a complete answer.
        Failed,
    }
}

impl BurnCause {
    /// All causes, in the order in which the counts are stored.
    pub const ALL: [Self; 7] = [
        Self::Ok,
        Self::Refused,
        Self::Late,
        Self::SlowTarget,
        Self::Drain,
        Self::Region,
        Self::Failed,
    ];

    /// Returns whether the caller got a complete answer, in time or not.
    pub const fn is_answered(self) -> bool {
        matches!(self, Self::Ok | Self::Late | Self::SlowTarget)
    }
}

impl fmt::Display for BurnCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ok => "ok",
            Self::Refused => "refused",
            Self::Late => "late",
            Self::SlowTarget => "slow target",
            Self::Drain => "drain",
            Self::Region => "region",
            Self::Failed => "failed",
        })
    }
}

/// Counts by cause and by time to first token.
///
/// ```
/// use usher_report::{BurnCause, CountBucket};
/// let mut bucket = CountBucket::default();
/// bucket.record(BurnCause::Late, None);
/// assert_eq!(bucket.total(), 1);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CountBucket {
    #[serde(rename = "n")]
    causes: [u32; BurnCause::ALL.len()],
    // The additional element counts times above the last bound.
    #[serde(rename = "t")]
    first_tokens: [u32; FIRST_TOKEN_BOUNDS_MS.len() + 1],
}

impl CountBucket {
    /// Counts one request.
    pub fn record(&mut self, cause: BurnCause, first_token: Option<time::Duration>) {
        add(&mut self.causes, cause as usize, 1);
        if let Some(duration) = first_token {
            let fits = |bound: &u64| duration <= time::Duration::from_millis(*bound);
            let index = FIRST_TOKEN_BOUNDS_MS.iter().position(fits);
            add(
                &mut self.first_tokens,
                index.unwrap_or(FIRST_TOKEN_BOUNDS_MS.len()),
                1,
            );
        }
    }

    /// Adds the counts of another bucket.
    pub fn merge(&mut self, other: &Self) {
        for (index, count) in other.causes.iter().enumerate() {
            add(&mut self.causes, index, *count);
        }
        for (index, count) in other.first_tokens.iter().enumerate() {
            add(&mut self.first_tokens, index, *count);
        }
    }

    /// Returns the number of requests with a cause.
    pub fn count(&self, cause: BurnCause) -> u64 {
        self.causes
            .get(cause as usize)
            .copied()
            .map_or(0, u64::from)
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.causes.iter().copied().map(u64::from).sum()
    }

    /// Returns the number of requests with a first token.
    pub fn first_tokens(&self) -> u64 {
        self.first_tokens.iter().copied().map(u64::from).sum()
    }

    /// Returns the number of first tokens that certainly arrived within a time. A bucket whose
    /// upper bound exceeds the goal counts as late, so a goal between two bounds is judged
    /// strictly.
    pub fn first_tokens_within(&self, goal: time::Duration) -> u64 {
        FIRST_TOKEN_BOUNDS_MS
            .iter()
            .zip(&self.first_tokens)
            .filter(|(bound, _)| time::Duration::from_millis(**bound) <= goal)
            .map(|(_, count)| u64::from(*count))
            .sum()
    }
}

fn add(counts: &mut [u32], index: usize, amount: u32) {
    if let Some(count) = counts.get_mut(index) {
        *count = count.saturating_add(amount);
    }
}
