//! Service-level objectives and the requests that are bad under each. Not for: reading them from
//! settings.

use std::{fmt, time};

use crate::bucket;

usher_types::value_type! {
    /// Kind of an objective.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum ObjectiveKind {
        /// Requests that are accepted and answered completely.
        Availability,
        /// Answers whose first token arrives within the goal.
        FirstToken,
        /// Requests that are answered completely and in time.
        InTime,
    }
}

impl ObjectiveKind {
    /// All objectives, in the order of the report.
    pub const ALL: [Self; 3] = [Self::Availability, Self::FirstToken, Self::InTime];
}

impl fmt::Display for ObjectiveKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Availability => "availability",
            Self::FirstToken => "first token",
            Self::InTime => "in time",
        })
    }
}

usher_types::value_type! {
    /// Objectives of an installation; shares are numbers between 0 and 1.
    #[derive(Copy, serde::Serialize)]
    pub struct ObjectiveSet {
        /// Share of requests that are accepted and answered completely.
        pub availability: f64,
        /// Share of answers whose first token arrives within `first_token`.
        pub first_token_share: f64,
        /// Longest good time to first token.
        pub first_token: time::Duration,
        /// Share of requests that are answered completely and in time.
        pub in_time: f64,
        /// Window of the error budget.
        pub window: time::Duration,
    }
}

/// Number of bad requests, and of all requests that an objective applies to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct BadCount {
    pub(crate) bad: u64,
    pub(crate) total: u64,
}

impl ObjectiveSet {
    /// Returns the share of good requests that an objective requires.
    pub fn share(&self, kind: ObjectiveKind) -> f64 {
        match kind {
            ObjectiveKind::Availability => self.availability,
            ObjectiveKind::FirstToken => self.first_token_share,
            ObjectiveKind::InTime => self.in_time,
        }
    }

    /// Returns whether a cause is bad under an objective. First tokens are judged by their time
    /// instead.
    pub(crate) fn is_bad(kind: ObjectiveKind, cause: bucket::BurnCause) -> bool {
        match kind {
            ObjectiveKind::Availability => !cause.is_answered(),
            ObjectiveKind::InTime => cause != bucket::BurnCause::Ok,
            ObjectiveKind::FirstToken => false,
        }
    }

    /// Returns the requests that an objective applies to, and the bad ones among them.
    pub(crate) fn count_bad(&self, kind: ObjectiveKind, counts: &bucket::CountBucket) -> BadCount {
        if kind == ObjectiveKind::FirstToken {
            let total = counts.first_tokens();
            let bad = total - counts.first_tokens_within(self.first_token);
            return BadCount { bad, total };
        }
        let causes = bucket::BurnCause::ALL.into_iter();
        let bad = causes
            .filter(|cause| Self::is_bad(kind, *cause))
            .map(|cause| counts.count(cause))
            .sum();
        let total = counts.total();
        BadCount { bad, total }
    }

    /// Returns the rate at which the budget is used, relative to the allowed rate; 0 without
    /// requests.
    pub(crate) fn burn_rate(&self, kind: ObjectiveKind, count: BadCount) -> f64 {
        if count.total == 0 {
            return 0.0;
        }
        // The settings check keeps the share below 100%; the lower bound guards the division.
        let allowed = (1.0 - self.share(kind)).max(1e-9);
        count.bad as f64 / count.total as f64 / allowed
    }
}
