//! The violated invariants of one state machine. Not for: errors of callers.

/// The maximum number of violations that are kept by name; the process-wide count has no limit.
const MAX_KEPT: usize = 64;

/// The invariant violations that one state machine has detected; not part of the replicated state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ViolationLog {
    names: Vec<&'static str>,
}

impl ViolationLog {
    /// Records a violation of the invariant if `held` is false.
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

/// Checks an invariant of the state with [`usher_types::invariant!`] and records a violation.
macro_rules! check {
    ($violations:expr, $name:literal, $condition:expr, $($message:tt)+) => {
        let held = usher_types::invariant!($name, $condition, $($message)+);
        $violations.record($name, held);
    };
}

pub(crate) use check;
