//! Reads the body of an answer up to its end. Not for: connections.

use std::error;

use http_body_util::BodyExt as _;

use crate::{AnswerCheck, AnswerFault, AnswerFraming, RequestProgress};

/// Reads the body of an answer; its end is reported only when the answer is complete.
#[derive(Debug)]
pub struct AnswerReader<B> {
    body: B,
    check: AnswerCheck,
}

impl<B> AnswerReader<B>
where
    B: http_body::Body<Data = bytes::Bytes> + Unpin,
    B::Error: error::Error,
{
    /// Makes the reader of an answer with a head and a body.
    pub fn new(headers: &http::HeaderMap, body: B) -> Self {
        let check = AnswerCheck::new(headers);
        // Answers to HEAD, and those with 204 or 304, have no body whatever their head states.
        let check = if body.is_end_stream() {
            check.with_framing(AnswerFraming::Length)
        } else {
            check
        };
        Self { body, check }
    }

    /// Sets the request that is answered.
    #[must_use]
    pub fn with_request(mut self, request: RequestProgress) -> Self {
        self.check = self.check.with_request(request);
        self
    }

    /// Takes a body without a stated type for an event stream.
    #[must_use]
    pub fn with_default_events(mut self) -> Self {
        self.check = self.check.with_default_events();
        self
    }

    /// Returns what has been read so far.
    pub fn check(&self) -> &AnswerCheck {
        &self.check
    }

    /// Returns the body, of which the part that was read is gone.
    pub fn into_body(self) -> B {
        self.body
    }

    /// Returns the length of the body, if its head states one.
    pub fn stated_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads the next bytes; returns `None` at the end of a complete answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer was broken off.
    pub async fn next(&mut self) -> Result<Option<bytes::Bytes>, AnswerFault> {
        let frame = self.body.frame().await;
        self.check.read_frame(frame)
    }

    /// Reads all that is left of an answer.
    ///
    /// # Errors
    ///
    /// Fails when the answer was broken off or is longer than `limit` bytes.
    pub async fn read_all(&mut self, limit: usize) -> Result<bytes::Bytes, AnswerFault> {
        let mut content = bytes::BytesMut::new();
        while let Some(bytes) = self.next().await? {
            if content.len() + bytes.len() > limit {
                return Err(AnswerFault::TooLong { limit });
            }
            content.extend_from_slice(&bytes);
        }
        Ok(content.freeze())
    }
}
