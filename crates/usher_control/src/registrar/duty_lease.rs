//! When a leader may act as the only holder of a duty. Not for: clocks, or sending calls.

use std::time;

/// Part of the leader lease that must be left when a call is written: covers the time from the check
/// of the lease to the write.
const SEND_RESERVE: time::Duration = time::Duration::from_millis(50);

/// Decides from a leader's term and lease whether it may act.
///
/// After its first lease in a term, a leader waits until the calls of the previous leader have
/// arrived and the holder may change; see `docs/design/duties.md`.
///
/// ```
/// use std::time::{Duration, Instant};
/// let (wait, term) = (Duration::from_secs(5), usher_types::TermNumber::new(2));
/// let mut duty_lease = usher_control::DutyLease::new(wait);
/// let start = Instant::now();
/// let lease = Duration::from_millis(400);
/// assert!(!duty_lease.may_act(term, Some(start + lease), start));
/// let later = start + wait;
/// assert!(duty_lease.may_act(term, Some(later + lease), later));
/// assert!(!duty_lease.may_act(term, None, later));
/// ```
#[derive(Clone, Debug)]
pub struct DutyLease {
    wait: time::Duration,
    /// Newest term in which this node held the leader lease, and when that was first seen.
    leading: Option<(usher_types::TermNumber, time::Instant)>,
}

impl DutyLease {
    /// Creates a lease of a node that waits for `wait` after it became the leader.
    pub fn new(wait: time::Duration) -> Self {
        Self {
            wait,
            leading: None,
        }
    }

    /// Returns whether this node may send a call at `now`; `lease_until` is the expiry of its leader
    /// lease in `term`, `None` when it is not the leader.
    pub fn may_act(
        &mut self,
        term: usher_types::TermNumber,
        lease_until: Option<time::Instant>,
        now: time::Instant,
    ) -> bool {
        if lease_until.is_none_or(|until| until < now + SEND_RESERVE) {
            return false;
        }
        let since = match self.leading {
            // A lease that lapses and returns in one term needs no second wait: a leader in between
            // would have raised the term.
            Some((known, since)) if known == term => since,
            _ => now,
        };
        self.leading = Some((term, since));
        now.saturating_duration_since(since) >= self.wait
    }
}
