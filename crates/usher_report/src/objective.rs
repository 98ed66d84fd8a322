//! Objectives and what counts as bad under each. Not for: reading them from settings.

use std::{fmt, time};

use crate::bucket;

usher_types::value_type! {
    /// What an objective is about.
    #[derive(serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum ObjectiveKind {
        /// Requests that are accepted and answered whole.
        Availability,
        /// Answers whose first token comes within the goal.
        FirstToken,
        /// Requests that are answered whole and in time.
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
    /// The objectives of an installation; shares are numbers between 0 and 1.
    #[derive(Copy, serde::Serialize)]
    pub struct ObjectiveSet {
        /// Share of requests that are accepted and answered whole.
        pub availability: f64,
        /// Share of answers whose first token comes within `first_token`.
        pub first_token_share: f64,
        /// Time to first token that counts as good.
        pub first_token: time::Duration,
        /// Share of requests that are answered whole and in time.
        pub in_time: f64,
        /// Time over which the budget is counted.
        pub window: time::Duration,
    }
}

/// Counts of all requests and of the bad ones under one objective.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct BadCount {
    pub(crate) bad: u64,
    pub(crate) total: u64,
}

impl ObjectiveSet {
    /// Returns the share that an objective asks for.
    pub fn share(&self, kind: ObjectiveKind) -> f64 {
        match kind {
            ObjectiveKind::Availability => self.availability,
            ObjectiveKind::FirstToken => self.first_token_share,
            ObjectiveKind::InTime => self.in_time,
        }
    }

    /// Returns whether a cause is bad under an objective; first tokens are judged by their time.
    pub(crate) fn is_bad(kind: ObjectiveKind, cause: bucket::BurnCause) -> bool {
        match kind {
            ObjectiveKind::Availability => !cause.is_answered(),
            ObjectiveKind::InTime => cause != bucket::BurnCause::Ok,
            ObjectiveKind::FirstToken => false,
        }
    }

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

    /// Returns how many times faster than allowed the budget is used; no requests use none.
    pub(crate) fn burn_rate(&self, kind: ObjectiveKind, count: BadCount) -> f64 {
        if count.total == 0 {
            return 0.0;
        }
        // Below 100% by the check of the settings; the floor keeps the division safe.
        let allowed = (1.0 - self.share(kind)).max(1e-9);
        count.bad as f64 / count.total as f64 / allowed
    }
}
