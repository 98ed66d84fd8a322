//! Whether targets may have run a call. Not for: whether the call is sent again.

/// The runs of a call at targets.
///
/// A run that has begun stays in progress until its outcome is known, also while the head or body of
/// an answer is read: a call that is given up meanwhile may have run.
#[derive(Debug, Default)]
pub(crate) struct RunRecord {
    ended: u32,
    in_progress: bool,
}

impl RunRecord {
    /// Records that a send begins that may run the call.
    pub(crate) fn begin(&mut self) {
        self.in_progress = true;
    }

    /// Records that the target has not run the call and never will.
    pub(crate) fn end_not_run(&mut self) {
        self.in_progress = false;
    }

    /// Records that the target has failed the call, or has ended its answer early, and may have run
    /// it.
    pub(crate) fn end_failed(&mut self) {
        self.in_progress = false;
        self.ended += 1;
    }

    /// Returns the number of ended runs.
    pub(crate) fn ended(&self) -> u32 {
        self.ended
    }

    /// Returns whether a target may have run the call.
    pub(crate) fn may_have_run(&self) -> bool {
        self.in_progress || self.ended > 0
    }
}
