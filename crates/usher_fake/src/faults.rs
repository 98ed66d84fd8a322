//! Faults injected into a running engine. Not for: its normal delays.

use std::sync;

/// A change to the injected faults; also the body of `POST /v1/faults`.
///
/// Absent fields keep their value. Token counts apply to each stream separately.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRequest {
    /// Factor by which every step takes longer.
    pub slowdown: Option<f64>,
    /// No stream makes progress.
    pub stalled: Option<bool>,
    /// Streams stall after this many tokens.
    pub stall_after: Option<u64>,
    /// The process crashes and resets its connections when a stream has this many tokens.
    pub crash_after: Option<u64>,
    /// Streams continue with bytes that aren't SSE after this many tokens.
    pub garbage_after: Option<u64>,
    /// Streams end without their final event after this many tokens.
    pub cut_after: Option<u64>,
    /// New requests fail with status 500.
    pub failing: Option<bool>,
    /// New requests are turned away, with a pause of so many ms that is asked for; 0 for none.
    pub pause_ms: Option<u64>,
    /// All answers say that the engine is leaving, although its announcements don't.
    pub says_leaving: Option<bool>,
    /// The process crashes while it carries out the next order.
    pub crash_in_order: Option<bool>,
    /// Removes all faults before the other fields are set.
    pub clear: bool,
}

/// A shared handle to the injected faults of one engine; cheap to clone.
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
        /// Sets the factor by which every step takes longer.
        slow_by(slowdown: f64);
        /// Stalls all streams, or lets them continue.
        stall(stalled: bool);
        /// Stalls each stream after this many tokens.
        stall_after(stall_after: u64);
        /// Crashes the process when a stream has this many tokens.
        crash_after(crash_after: u64);
        /// Sends bytes that aren't SSE after this many tokens of a stream.
        garbage_after(garbage_after: u64);
        /// Ends each stream without its final event after this many tokens.
        cut_after(cut_after: u64);
        /// Makes new requests fail with status 500.
        fail(failing: bool);
        /// Turns new requests away and asks for a pause of so many ms; 0 for none.
        ask_for_pause(pause_ms: u64);
        /// Says in all answers that the engine is leaving, although its announcements don't.
        say_leaving(says_leaving: bool);
        /// Crashes the process while it carries out the next order.
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
            pause_ms: request.pause_ms.or(old.pause_ms),
            says_leaving: request.says_leaving.or(old.says_leaving),
            crash_in_order: request.crash_in_order.or(old.crash_in_order),
            clear: false,
        };
    }

    /// Returns the current faults.
    pub fn current(&self) -> FaultRequest {
        self.lock().clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, FaultRequest> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
