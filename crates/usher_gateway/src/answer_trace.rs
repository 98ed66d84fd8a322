//! Counts what arrives of the answer of a target, for logs and metrics. Not for: decisions.

use std::fmt;

/// The extent of an answer, as far as it has arrived.
#[derive(Clone, Debug)]
pub(crate) struct AnswerTrace {
    framing: usher_answer::AnswerFraming,
    version: http::Version,
    bytes: u64,
    /// Bytes after the last complete event.
    rest: u64,
    scanner: usher_answer::EventScanner,
}

impl AnswerTrace {
    pub(crate) fn new(framing: usher_answer::AnswerFraming, version: http::Version) -> Self {
        Self {
            framing,
            version,
            bytes: 0,
            rest: 0,
            scanner: usher_answer::EventScanner::default(),
        }
    }

    pub(crate) fn framing(&self) -> usher_answer::AnswerFraming {
        self.framing
    }

    /// Counts bytes of the body.
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len() as u64;
        let mut left = bytes;
        while let Some(end) = self.scanner.next_end(left) {
            left = &left[end..];
            self.rest = 0;
        }
        self.rest += left.len() as u64;
    }
}

impl fmt::Display for AnswerTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} events, {} bytes after the last one, {} bytes in all, {:?} {}",
            self.scanner.events(),
            self.rest,
            self.bytes,
            self.version,
            self.framing
        )
    }
}
