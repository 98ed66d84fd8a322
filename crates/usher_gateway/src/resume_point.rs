//! Where another engine may go on with a stream, and whether it does. Not for: choosing the engine.

use usher_answer::AnswerFault;

/// Largest event that is buffered, in bytes; events hold a few tokens.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Passes on complete events only, so that another engine can resume after the last one.
pub(crate) struct ResumePoint {
    splitter: usher_answer::EventSplitter,
    has_events: bool,
    /// Id of the last event that was passed on.
    last_id: Option<u64>,
    /// Id behind which the next event must come, as another engine goes on with the stream.
    expected_after: Option<u64>,
}

/// The stream has no event to go on from.
pub(crate) struct NoResumePoint;

impl ResumePoint {
    pub(crate) fn new() -> Self {
        Self {
            splitter: usher_answer::EventSplitter::new(MAX_EVENT_BYTES),
            has_events: false,
            last_id: None,
            expected_after: None,
        }
    }

    /// Adds bytes of the stream; returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// Fails when an event is too long, or the first one of an engine that goes on with the stream
    /// isn't a later one.
    pub(crate) fn add(&mut self, bytes: &[u8]) -> Result<bytes::Bytes, AnswerFault> {
        self.splitter.push(bytes)?;
        let events = self.splitter.take_events().unwrap_or_default();
        if let Some(after) = self.expected_after {
            if let Some(id) = first_event_id(&events) {
                if id.is_none_or(|id| id <= after) {
                    return Err(AnswerFault::NotContinued { after });
                }
                self.expected_after = None;
            }
        }
        self.has_events |= self.splitter.events() > 0;
        self.last_id = last_id(&events).or(self.last_id);
        Ok(events)
    }

    /// Returns the memory of an incomplete event and of those that wait for it.
    pub(crate) fn held_bytes(&self) -> usize {
        self.splitter.held_bytes()
    }

    /// Returns the bytes behind the last event.
    pub(crate) fn take_rest(&mut self) -> bytes::Bytes {
        self.splitter.take_rest()
    }

    /// Drops an incomplete event; returns the id of the event behind which another engine is to go
    /// on. `received` is the one that the caller already had before this call.
    ///
    /// # Errors
    ///
    /// Fails when the events have no ids: another engine would repeat those that the caller has.
    pub(crate) fn begin_resume(
        &mut self,
        received: Option<u64>,
    ) -> Result<Option<u64>, NoResumePoint> {
        let _ = self.splitter.take_rest();
        if self.has_events && self.last_id.is_none() {
            return Err(NoResumePoint);
        }
        self.expected_after = self.last_id.or(received);
        Ok(self.expected_after)
    }
}

fn last_id(events: &[u8]) -> Option<u64> {
    lines(events).rev().find_map(event_id)
}

/// Returns the id of the first event with data, `Some(None)` if that has none.
fn first_event_id(events: &[u8]) -> Option<Option<u64>> {
    // An empty line must not be seen inside a line end of two bytes.
    let events = String::from_utf8_lossy(events).replace("\r\n", "\n");
    let mut id = None;
    let mut has_data = false;
    for line in lines(events.as_bytes()) {
        if has_data && line.is_empty() {
            return Some(id);
        }
        has_data |= line.starts_with(b"data");
        id = event_id(line).or(id);
    }
    has_data.then_some(id)
}

fn lines(events: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    events.split(|byte| matches!(byte, b'\n' | b'\r'))
}

fn event_id(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
