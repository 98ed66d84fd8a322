//! Faults that are injected into a running engine. Not for: its normal delays.

use std::sync;

/// A change of the faults, also the body of `POST /v1/faults`.
///
/// Fields that are absent stay as they are; a count of tokens is that of one stream.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRequest {
    /// Every step takes this many times longer.
    pub slowdown: Option<f64>,
    /// No stream makes progress.
    pub stalled: Option<bool>,
    /// A stream that has this many tokens makes no more progress.
    pub stall_after: Option<u64>,
    /// The process dies with reset connections when a stream has this many tokens.
    pub crash_after: Option<u64>,
    /// A stream that has this many tokens goes on with bytes that aren't SSE.
    pub garbage_after: Option<u64>,
    /// A stream that has this many tokens ends without its last event.
    pub cut_after: Option<u64>,
    /// New requests are answered with status 500.
    pub failing: Option<bool>,
    /// The process dies while it carries out the next order.
    pub crash_in_order: Option<bool>,
    /// Removes all faults before the other fields are set.
    pub clear: bool,
}

/// The faults of one engine; cheap to clone, changed while it runs.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    state: sync::Arc<sync::Mutex<FaultRequest>>,
}

macro_rules! fault_setters {
    ($($(#[$meta:meta])* $method:ident($field:ident: $type:ty);)+) => {
        $(
            $(#[$meta])*
            pub fn $method(&self, $field: $type) {
                self.lock().$field = Some($field);
            }
        )+
    };
}

impl EngineFaults {
    fault_setters! {
        /// Makes every step take this many times longer.
        slow_by(slowdown: f64);
        /// Stops or restarts the progress of all streams.
        stall(stalled: bool);
        /// Stops the progress of each stream that has this many tokens.
        stall_after(stall_after: u64);
        /// Kills the process when a stream has this many tokens.
        crash_after(crash_after: u64);
        /// Sends bytes that aren't SSE when a stream has this many tokens.
        garbage_after(garbage_after: u64);
        /// Ends each stream early, when it has this many tokens.
        cut_after(cut_after: u64);
        /// Answers new requests with status 500.
        fail(failing: bool);
        /// Kills the process while it carries out the next order.
        crash_in_order(crash_in_order: bool);
    }

    /// Removes all faults.
    pub fn clear(&self) {
        *self.lock() = FaultRequest::default();
    }

    /// Applies a change.
    pub fn apply(&self, request: FaultRequest) {
        let mut state = self.lock();
        if request.clear {
            *state = FaultRequest::default();
        }
        let old = state.clone();
        *state = FaultRequest {
            slowdown: request.slowdown.or(old.slowdown),
            stalled: request.stalled.or(old.stalled),
            stall_after: request.stall_after.or(old.stall_after),
            crash_after: request.crash_after.or(old.crash_after),
            garbage_after: request.garbage_after.or(old.garbage_after),
            cut_after: request.cut_after.or(old.cut_after),
            failing: request.failing.or(old.failing),
            crash_in_order: request.crash_in_order.or(old.crash_in_order),
            clear: false,
        };
    }

    /// Returns the faults as they are now.
    pub fn current(&self) -> FaultRequest {
        self.lock().clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, FaultRequest> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
