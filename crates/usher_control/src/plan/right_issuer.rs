//! Decides whether this node may renew routing rights. Not for: tracking the entries.

use std::{collections, time};

use crate::plan::timing;

/// Number of confirmations kept, so that a node with a backlog of log entries to apply can use an
/// older one.
const MAX_CONFIRMATIONS: usize = 8;

/// Grants routing rights based on recent confirmations by the leader.
///
/// A confirmation contains the leader's commit index. It counts only after this node has applied
/// that index. Otherwise the node could renew a right without sending a change that the entry must
/// know.
///
/// ```
/// use std::time::{Duration, Instant};
/// use usher_control::plan::{RightIssuer, RIGHT_DURATION};
/// let start = Instant::now();
/// let mut issuer = RightIssuer::new();
/// issuer.confirm(start, 7);
/// assert_eq!(issuer.right(start, 7), RIGHT_DURATION);
/// assert_eq!(issuer.right(start, 6), Duration::ZERO);
/// assert_eq!(issuer.right(start + Duration::from_secs(1), 7), Duration::ZERO);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RightIssuer {
    confirmations: collections::VecDeque<(time::Instant, u64)>,
    ignores_commit: bool,
}

impl RightIssuer {
    /// Creates an issuer without confirmations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an issuer that ignores the commit index, to test that the check is needed.
    #[doc(hidden)]
    pub fn without_commit_check() -> Self {
        Self {
            ignores_commit: true,
            ..Self::default()
        }
    }

    /// Records that the leader held its lease and had committed up to `commit` when it answered a
    /// request sent at `sent`.
    pub fn confirm(&mut self, sent: time::Instant, commit: u64) {
        if self.confirmations.len() == MAX_CONFIRMATIONS {
            self.confirmations.pop_front();
        }
        self.confirmations.push_back((sent, commit));
    }

    /// Returns the duration of a right granted now; zero means no right.
    pub fn right(&self, now: time::Instant, applied: u64) -> time::Duration {
        let fresh = self.confirmations.iter().any(|(sent, commit)| {
            let known = applied >= *commit || self.ignores_commit;
            now.saturating_duration_since(*sent) < timing::MAX_CONFIRMATION_AGE && known
        });
        if fresh {
            timing::RIGHT_DURATION
        } else {
            time::Duration::ZERO
        }
    }
}
