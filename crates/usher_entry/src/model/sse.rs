//! Splits an engine's response body into SSE events.
//!
//! Not for: the meaning of an event.

use crate::stream_pool;

/// Maximum length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The reason why a stream can't be read any further.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum StreamFault {
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The stream ended before its last event.
    #[error("stream ended before its last event")]
    Truncated,
    /// The data isn't a valid engine stream.
    #[error("invalid data in stream: {0}")]
    Malformed(&'static str),
    /// No event arrived within the stall timeout.
    #[error("stream stalled")]
    Stalled,
    /// The engine sent an error event.
    #[error("engine reported an error")]
    Error,
    /// The entry ends its streams because it is stopping.
    #[error("entry is stopping")]
    Stopping,
}

/// Reads SSE events from a response body; reads another frame only while no complete event is
/// buffered.
#[derive(Debug)]
pub(crate) struct SseReader {
    connection: stream_pool::EngineConnection,
    body: hyper::body::Incoming,
    buffer: bytes::BytesMut,
    // Length of the buffer already searched for the end of an event.
    searched: usize,
}

impl SseReader {
    pub(crate) fn new(
        connection: stream_pool::EngineConnection,
        body: hyper::body::Incoming,
    ) -> Self {
        Self {
            connection,
            body,
            buffer: bytes::BytesMut::new(),
            searched: 0,
        }
    }

    /// Returns the next event with its terminating empty line, or `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Result<Option<bytes::Bytes>, StreamFault> {
        loop {
            if let Some(event) = self.split() {
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(StreamFault::Malformed("event exceeds the maximum length"));
            }
            match self.connection.frame(&mut self.body).await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(StreamFault::Broken(error.to_string())),
                None if self.buffer.iter().all(u8::is_ascii_whitespace) => return Ok(None),
                None => return Err(StreamFault::Truncated),
            }
        }
    }

    /// Returns the connection and the unread rest of the body.
    pub(crate) fn into_parts(self) -> (stream_pool::EngineConnection, hyper::body::Incoming) {
        (self.connection, self.body)
    }

    fn split(&mut self) -> Option<bytes::Bytes> {
        // The line feed and the empty line that end an event may arrive in different frames.
        let start = self.searched.saturating_sub(3);
        let found = find_event_end(self.buffer.get(start..)?);
        match found {
            Some(length) => {
                self.searched = 0;
                Some(self.buffer.split_to(start + length).freeze())
            }
            None => {
                self.searched = self.buffer.len();
                None
            }
        }
    }
}

/// Returns the length up to and including the first empty line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = bytes.get(from..)?.iter().position(|byte| *byte == b'\n') {
        let next = from + at + 1;
        match bytes.get(next..)? {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => from = next,
        }
    }
    None
}

/// Returns the data of an event, or `None` if it has none, such as a comment.
pub(crate) fn event_data(event: &[u8]) -> Result<Option<&str>, StreamFault> {
    let text = std::str::from_utf8(event).map_err(|_| StreamFault::Malformed("not UTF-8"))?;
    let mut data = None;
    for line in text.lines() {
        if let Some(value) = line.strip_prefix("data:") {
            if data.replace(value.trim_start()).is_some() {
                return Err(StreamFault::Malformed("event has more than one data line"));
            }
            continue;
        }
        let known = line.is_empty()
            || line.starts_with(':')
            || ["event:", "id:", "retry:"]
                .iter()
                .any(|name| line.starts_with(name));
        if !known {
            return Err(StreamFault::Malformed("line is not an SSE field"));
        }
    }
    Ok(data)
}
