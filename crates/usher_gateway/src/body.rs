//! Bodies of answers to callers. Not for: their contents.

use std::{io, pin, task};

/// Number of chunks of a stream that are queued for a slow caller.
const STREAM_QUEUE: usize = 16;

/// The body of an answer: complete, or a stream of chunks.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// A complete body; `None` after it was sent.
    Complete(Option<bytes::Bytes>),
    /// Chunks as they arrive.
    Stream(usher_answer::StreamBody),
}

impl AnswerBody {
    pub(crate) fn complete(bytes: impl Into<bytes::Bytes>) -> Self {
        Self::Complete(Some(bytes.into()))
    }

    pub(crate) fn stream() -> (usher_answer::StreamSender, Self) {
        let (sender, body) = usher_answer::StreamBody::new(STREAM_QUEUE);
        (sender, Self::Stream(body))
    }
}

impl http_body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<http_body::Frame<bytes::Bytes>>>> {
        match self.get_mut() {
            Self::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                task::Poll::Ready(bytes.map(|bytes| Ok(http_body::Frame::data(bytes))))
            }
            Self::Stream(body) => pin::Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(bytes) if bytes.as_ref().is_none_or(bytes::Bytes::is_empty))
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Self::Complete(bytes) => {
                let length = bytes.as_ref().map_or(0, bytes::Bytes::len);
                http_body::SizeHint::with_exact(length as u64)
            }
            Self::Stream(_) => http_body::SizeHint::default(),
        }
    }
}
