//! Records what the heads of answers say of the targets themselves.
//!
//! Not for: announcements, nor for reading bodies.

use usher_types::{IncarnationId, TargetName};

use crate::{core, types};

/// Header in which a target that is leaving says so in all its answers.
const LEAVING_HEADER: &str = "x-leaving";

impl<P> core::EntryCore<P>
where
    P: types::EntryTypes,
{
    /// Records what the head of an answer says of an incarnation of a target: that it is leaving,
    /// or that it wants a pause.
    pub(crate) fn record_head<B>(
        &self,
        target: &TargetName,
        incarnation: IncarnationId,
        answer: &http::Response<B>,
    ) {
        let leaving = answer.headers().get(LEAVING_HEADER);
        if leaving.is_some_and(|value| value.as_bytes().trim_ascii() == b"1") {
            let now = self.now();
            if self.routing().mark_leaving(target, incarnation, now) {
                tracing::info!(target_name = %target, %incarnation, "target said in an answer that it is leaving");
            }
        }
        let pause = usher_answer::PauseRequest::of_head(answer.status(), answer.headers());
        if let Some(pause) = pause {
            let now = self.now();
            let length = pause.length();
            self.routing()
                .request_pause(target, incarnation, length, now);
            let pause_ms = length.as_millis();
            tracing::info!(target_name = %target, %incarnation, pause_ms, "target asked for a pause");
        }
    }

    /// Returns the registered incarnation of a target, unless it wants a pause at present.
    pub(crate) fn open_incarnation(&self, target: &TargetName) -> Option<IncarnationId> {
        let now = self.now();
        let routing = self.routing();
        if routing.wants_pause(target, now) {
            return None;
        }
        routing.incarnation(target)
    }
}
