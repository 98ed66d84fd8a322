//! Splits an engine's response body into SSE events.
//!
//! Not for: the meaning of an event.

use usher_answer::AnswerFault;

use crate::connection_pool;

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

impl StreamFault {
    /// Returns whether the engine, or the connection to it, ended in the middle of the stream.
    pub(crate) fn is_broken(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Truncated)
    }
}

impl From<AnswerFault> for StreamFault {
    fn from(fault: AnswerFault) -> Self {
        match fault {
            AnswerFault::Connection(text) => Self::Broken(text),
            AnswerFault::TooLong { .. }
            | AnswerFault::NoRoom { .. }
            | AnswerFault::NotContinued { .. } => {
                Self::Malformed("event exceeds the maximum length")
            }
            AnswerFault::InsideEvent { .. }
            | AnswerFault::NoEvent
            | AnswerFault::BeforeRequestEnd
            | AnswerFault::InsideJson { .. } => Self::Truncated,
        }
    }
}

/// Reads SSE events from a response body; reads another frame only while no complete event is
/// buffered.
#[derive(Debug)]
pub(crate) struct SseReader {
    connection: connection_pool::TargetConnection,
    body: hyper::body::Incoming,
    check: usher_answer::AnswerCheck,
    splitter: usher_answer::EventSplitter,
}

impl SseReader {
    pub(crate) fn new(
        connection: connection_pool::TargetConnection,
        response: http::Response<hyper::body::Incoming>,
    ) -> Self {
        let (parts, body) = response.into_parts();
        let check = usher_answer::AnswerCheck::new(&parts.headers)
            .with_default_events()
            .with_request(connection.request_progress());
        Self {
            connection,
            body,
            check,
            splitter: usher_answer::EventSplitter::new(MAX_EVENT_BYTES),
        }
    }

    /// Returns the next event with its terminating empty line, or `None` at the end of the body.
    pub(crate) async fn next(&mut self) -> Result<Option<bytes::Bytes>, StreamFault> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Some(event));
            }
            let frame = self.connection.frame(&mut self.body).await;
            match self.check.read_frame(frame)? {
                Some(bytes) => self.splitter.push(&bytes)?,
                None => return Ok(None),
            }
        }
    }

    /// Returns the connection and the unread rest of the body.
    pub(crate) fn into_parts(self) -> (connection_pool::TargetConnection, hyper::body::Incoming) {
        (self.connection, self.body)
    }
}

/// Returns the data of an event, or `None` if it has none, such as a comment.
pub(crate) fn event_data(event: &[u8]) -> Result<Option<&str>, StreamFault> {
    let text = std::str::from_utf8(event).map_err(|_| StreamFault::Malformed("not UTF-8"))?;
    let mut data = None;
    for line in text.split(['\n', '\r']) {
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
