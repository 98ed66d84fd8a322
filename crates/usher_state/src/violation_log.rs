//! Collects violated invariants of one state machine. Not for: errors of callers.

/// How many violations are kept by name; the process-wide count goes on.
const MAX_KEPT: usize = 64;

/// The violations that one state machine has seen; not part of the replicated state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViolationLog {
    names: Vec<&'static str>,
}

impl ViolationLog {
    /// Records a violation when `held` is false.
    pub(crate) fn record(&mut self, name: &'static str, held: bool) {
        if !held && self.names.len() < MAX_KEPT {
            self.names.push(name);
        }
    }

    /// Returns the names of the violated invariants.
    pub(crate) fn names(&self) -> &[&'static str] {
        &self.names
    }
}

/// Checks an invariant of the state through [`usher_types::invariant!`] and notes a violation.
macro_rules! check {
    ($violations:expr, $name:literal, $condition:expr, $($message:tt)+) => {
        let held = usher_types::invariant!($name, $condition, $($message)+);
        $violations.record($name, held);
    };
}

pub(crate) use check;
