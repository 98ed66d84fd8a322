//! Decides whether this node may renew routing rights. Not for: which entries ask.

use std::{collections, time};

use crate::plan::timing;

/// How many confirmations are kept; a node with a backlog uses an older one.
const MAX_CONFIRMATIONS: usize = 8;

/// A node's own confirmations of the leader.
///
/// A confirmation names the leader's commit index: a node that has applied less could renew a
/// right without the change that the entry must know, so it doesn't count.
///
/// ```
/// use std::time::{Duration, Instant};
/// use usher_control::plan::{RightIssuer, RIGHT_TIME};
/// let start = Instant::now();
/// let mut issuer = RightIssuer::new();
/// issuer.confirm(start, 7);
/// assert_eq!(issuer.right(start, 7), RIGHT_TIME);
/// assert_eq!(issuer.right(start, 6), Duration::ZERO);
/// assert_eq!(issuer.right(start + Duration::from_secs(1), 7), Duration::ZERO);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RightIssuer {
    confirmations: collections::VecDeque<(time::Instant, u64)>,
    ignores_commit: bool,
}

impl RightIssuer {
    /// Makes an issuer without a confirmation.
    pub fn new() -> Self {
        Self::default()
    }

    /// Makes an issuer that renews rights with any state, for tests of the bound.
    #[doc(hidden)]
    pub fn without_commit_check() -> Self {
        Self {
            ignores_commit: true,
            ..Self::default()
        }
    }

    /// Records that the leader held its lease when it answered a request sent at `sent`.
    pub fn confirm(&mut self, sent: time::Instant, commit: u64) {
        if self.confirmations.len() == MAX_CONFIRMATIONS {
            self.confirmations.pop_front();
        }
        self.confirmations.push_back((sent, commit));
    }

    /// Returns the right to give to an entry now; zero gives none.
    pub fn right(&self, now: time::Instant, applied: u64) -> time::Duration {
        let fresh = self.confirmations.iter().any(|(sent, commit)| {
            let known = applied >= *commit || self.ignores_commit;
            now.saturating_duration_since(*sent) < timing::RELAY_CONFIRM && known
        });
        if fresh {
            timing::RIGHT_TIME
        } else {
            time::Duration::ZERO
        }
    }
}
