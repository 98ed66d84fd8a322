//! How an answer shows where its body ends. Not for: reading the body.

use std::fmt;

usher_types::value_type! {
    /// The way in which an answer shows where its body ends (RFC 9112, section 6.3).
    pub enum AnswerFraming {
        /// The head states a length.
        Length,
        /// The body consists of chunks, of which the last one is empty.
        Chunked,
        /// The body ends with its connection.
        ConnectionEnd,
    }
}

impl AnswerFraming {
    /// Returns the framing of an answer that has a body.
    ///
    /// ```
    /// use usher_answer::AnswerFraming;
    ///
    /// let mut headers = http::HeaderMap::new();
    /// assert_eq!(AnswerFraming::of_head(&headers), AnswerFraming::ConnectionEnd);
    /// headers.insert("content-length", http::HeaderValue::from_static("12"));
    /// assert_eq!(AnswerFraming::of_head(&headers), AnswerFraming::Length);
    /// headers.insert("transfer-encoding", http::HeaderValue::from_static("gzip, Chunked"));
    /// assert_eq!(AnswerFraming::of_head(&headers), AnswerFraming::Chunked);
    /// ```
    pub fn of_head(headers: &http::HeaderMap) -> Self {
        // The transfer coding has precedence over a length, and only the last coding frames the
        // body.
        let codings = headers.get_all(http::header::TRANSFER_ENCODING);
        if let Some(coding) = codings.iter().next_back() {
            let last = coding.as_bytes().rsplit(|byte| *byte == b',').next();
            let is_chunked = |name: &[u8]| name.trim_ascii().eq_ignore_ascii_case(b"chunked");
            return if last.is_some_and(is_chunked) {
                Self::Chunked
            } else {
                Self::ConnectionEnd
            };
        }
        if headers.contains_key(http::header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::ConnectionEnd
        }
    }
}

impl fmt::Display for AnswerFraming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::ConnectionEnd => "connection-end",
        })
    }
}
