//! The reasons for which an answer isn't complete. Not for: what follows from them.

/// The reason for which an answer isn't complete.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AnswerFault {
    /// The connection broke, or the framing of the body is damaged.
    #[error("the connection broke: {0}")]
    Connection(String),
    /// The stream ended inside an event.
    #[error("the stream ended inside an event, after {events} complete events")]
    InsideEvent {
        /// Number of complete events.
        events: u64,
    },
    /// Neither a length, nor chunks, nor an event: nothing arrived before the connection ended.
    #[error("the stream has no event, and neither a length nor chunks")]
    NoEvent,
    /// The JSON text ended inside a value, and the answer has neither a length nor chunks.
    #[error("the JSON text ended inside a value, after {bytes} bytes")]
    InsideJson {
        /// Number of bytes that arrived.
        bytes: u64,
    },
    /// The connection ended, and with it an answer without length or chunks, before the request was
    /// written.
    #[error("the connection ended before the request was written")]
    BeforeRequestEnd,
    /// The engine that was asked to go on with a stream sent something else first.
    #[error("the answer doesn't go on behind event {after}")]
    NotContinued {
        /// Id of the last event that the caller has.
        after: u64,
    },
    /// The answer, or one of its events, is longer than the limit.
    #[error("the answer is longer than {limit} bytes")]
    TooLong {
        /// Largest accepted size, in bytes.
        limit: usize,
    },
    /// Other calls leave no room to buffer the answer.
    #[error("there is no memory for {bytes} bytes of the answer")]
    NoRoom {
        /// Size of the buffer, in bytes.
        bytes: usize,
    },
}

impl AnswerFault {
    /// Returns whether the target, or the connection to it, ended before the answer did.
    pub fn is_cut_off(&self) -> bool {
        match self {
            Self::Connection(_)
            | Self::InsideEvent { .. }
            | Self::NoEvent
            | Self::BeforeRequestEnd
            | Self::InsideJson { .. } => true,
            Self::NotContinued { .. } | Self::TooLong { .. } | Self::NoRoom { .. } => false,
        }
    }
}
