//! Identifiers of targets and attempts inside one process. Not for: the wire.

use std::fmt;

/// Identifies a target in one [`TargetTable`](crate::TargetTable); cheap to copy and compare.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TargetSlot(pub(crate) u32);

impl TargetSlot {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for TargetSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "#{}", self.0)
    }
}

/// Identifies one attempt to run a call on a target.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptId(pub(crate) u64);

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "attempt-{}", self.0)
    }
}
