//! Splits a stream into complete events. Not for: their contents.

use bytes::Buf as _;

/// Buffers the bytes of a stream and returns complete events with their ids.
///
/// A target may stop in the middle of an event; only complete events are delivered, so that another
/// target can resume after the last one.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: bytes::BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<bytes::Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer)?;
        let events = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns the id of the last event that was returned.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the bytes after the last complete event.
    pub(crate) fn take_rest(&mut self) -> bytes::Bytes {
        self.buffer.copy_to_bytes(self.buffer.len())
    }
}

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
