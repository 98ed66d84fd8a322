//! The urgency of a call among those queued at one engine. Not for: admission.

use std::fmt;

/// Highest rank that is distinguished; less urgent routes count as this one.
const MAX_RANK: u8 = 2;

/// The urgency of calls that can't be on time any more: they get the capacity that the others don't
/// use.
const LATE_URGENCY: u8 = 9;

/// Number of urgency classes whose load is counted separately: the ranks, and late calls.
pub const URGENCY_CLASSES: usize = MAX_RANK as usize + 2;

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

    /// Returns the class in which the load of the call is counted; a call waits for the work of its
    /// own class and of the lower-numbered ones.
    pub fn class(self) -> usize {
        usize::from(self.0.min(MAX_RANK + 1))
    }
}

impl fmt::Display for SendUrgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
