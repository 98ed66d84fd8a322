//! Bounds the log lines on callers that are refused for what they send. Not for: other calls.

use std::{sync, time};

/// Shortest time between two lines.
const LINE_INTERVAL: time::Duration = time::Duration::from_secs(1);

#[derive(Debug, Default)]
struct LineState {
    written: Option<time::Instant>,
    skipped: u64,
}

/// Says which lines are written; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct LineLimit(sync::Arc<sync::Mutex<LineState>>);

impl LineLimit {
    /// Returns the number of lines that were skipped since the last one if a line may be written now.
    pub(crate) fn take(&self, now: time::Instant) -> Option<u64> {
        let mut state = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let is_due = |written| now.saturating_duration_since(written) >= LINE_INTERVAL;
        if state.written.is_none_or(is_due) {
            state.written = Some(now);
            return Some(std::mem::take(&mut state.skipped));
        }
        state.skipped += 1;
        None
    }
}
