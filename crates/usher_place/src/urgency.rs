//! The urgency of a call among those queued at one engine. Not for: admission.

use std::fmt;

/// Number of ranks of routes, and of teams, that are distinguished; higher ones count as the last.
const RANKS: u8 = 3;

/// Highest rank of a call.
const MAX_RANK: u8 = RANKS * RANKS - 1;

/// The urgency of calls that can't be on time any more: they get the capacity that the others don't
/// use.
const LATE_URGENCY: u8 = 9;

/// Number of urgency classes whose load is counted separately: the ranks, and late calls.
pub const URGENCY_CLASSES: usize = MAX_RANK as usize + 2;

/// The urgency of each class. Those of calls without the rank of a team come first, so that loads
/// without others are told in a few numbers.
const CLASS_URGENCIES: [u8; URGENCY_CLASSES] = [0, 1, 2, LATE_URGENCY, 3, 4, 5, 6, 7, 8];

/// Returns the rank of a call: that of its team goes first, and that of its route decides between
/// calls of teams with the same rank. 0 is the most urgent.
///
/// ```
/// use usher_place::call_rank;
/// assert!(call_rank(Some(0), 2) < call_rank(Some(1), 0));
/// assert!(call_rank(Some(1), 0) < call_rank(Some(1), 1));
/// assert_eq!(call_rank(None, 1), 1);
/// ```
pub fn call_rank(team: Option<u8>, route: u8) -> u8 {
    let last = RANKS - 1;
    team.unwrap_or_default().min(last) * RANKS + route.min(last)
}

/// Urgency of a call at an engine; 0 is the most urgent, 9 the least.
///
/// ```
/// use usher_place::SendUrgency;
/// assert!(SendUrgency::of_rank(0) < SendUrgency::of_rank(1));
/// assert!(SendUrgency::of_rank(7) < SendUrgency::late());
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SendUrgency(u8);

impl SendUrgency {
    /// Returns the urgency of calls of a rank that are on time.
    pub fn of_rank(rank: u8) -> Self {
        Self(rank.min(MAX_RANK))
    }

    /// Returns the urgency of calls that can't be on time any more.
    pub const fn late() -> Self {
        Self(LATE_URGENCY)
    }

    /// Returns the class in which the load of the call is counted.
    pub fn class(self) -> usize {
        let class = CLASS_URGENCIES
            .iter()
            .position(|urgency| *urgency == self.0);
        class.unwrap_or_default()
    }

    /// Returns whether a call waits for the work of a class: one that is at least as urgent.
    pub(crate) fn waits_for(self, class: usize) -> bool {
        let urgency = CLASS_URGENCIES.get(class);
        urgency.is_some_and(|urgency| *urgency <= self.0)
    }
}

impl fmt::Display for SendUrgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
