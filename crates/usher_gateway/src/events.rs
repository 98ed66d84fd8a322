//! Splits a stream into complete events. Not for: their contents.

use bytes::Buf as _;

/// Largest event, in bytes; events hold a few tokens.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// The stream has an event that is too long.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub(crate) struct EventTooLong;

/// Buffers the bytes of a stream and returns complete events with their ids.
///
/// A target may stop in the middle of an event; only complete events are delivered, so that another
/// target can resume after the last one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: bytes::BytesMut,
    /// Number of buffered bytes in which no event ends.
    scanned: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now.
    ///
    /// # Errors
    ///
    /// Fails when the last event is incomplete and already too long.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<bytes::Bytes>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        // The end of an event may have arrived in part.
        let from = self.scanned.saturating_sub(END_BYTES - 1);
        let end = last_event_end(&self.buffer[from..]).map(|end| from + end);
        let events = end.map(|end| self.buffer.split_to(end).freeze());
        self.scanned = self.buffer.len();
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        if let Some(id) = events.as_ref().and_then(|events| last_id(events)) {
            self.last_id = Some(id);
        }
        Ok(events)
    }

    /// Returns the id of the last event that was returned.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the bytes after the last complete event.
    pub(crate) fn take_rest(&mut self) -> bytes::Bytes {
        self.scanned = 0;
        self.buffer.copy_to_bytes(self.buffer.len())
    }
}

/// Length of the longest end of an event.
const END_BYTES: usize = b"\r\n\r\n".len();

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let ends = [plain.map(|at| at + 2), crlf.map(|at| at + 4)];
    ends.into_iter().flatten().max()
}

fn last_id(events: &[u8]) -> Option<u64> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
