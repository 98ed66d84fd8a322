//! Splits an event stream into complete events. Not for: their contents.

use bytes::Buf as _;

use crate::{AnswerFault, EventScanner};

/// Buffers the bytes of a stream and returns its complete events.
///
/// ```
/// let mut splitter = usher_answer::EventSplitter::new(1_024);
/// splitter.push(b"data: a\n\ndata: b\n\ndata").unwrap();
/// assert_eq!(&splitter.next_event().unwrap()[..], b"data: a\n\n");
/// assert_eq!(&splitter.take_events().unwrap()[..], b"data: b\n\n");
/// assert_eq!(splitter.next_event(), None);
/// assert_eq!(&splitter.take_rest()[..], b"data");
/// ```
#[derive(Debug)]
pub struct EventSplitter {
    scanner: EventScanner,
    buffer: bytes::BytesMut,
    /// Number of buffered bytes that were scanned and contain no end of an event.
    scanned: usize,
    max_event: usize,
}

impl EventSplitter {
    /// Makes a splitter for events of at most `max_event` bytes.
    pub fn new(max_event: usize) -> Self {
        Self {
            scanner: EventScanner::default(),
            buffer: bytes::BytesMut::new(),
            scanned: 0,
            max_event,
        }
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Fails when an incomplete event is already too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), AnswerFault> {
        if self.scanned > self.max_event {
            return Err(AnswerFault::TooLong {
                limit: self.max_event,
            });
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the memory that the buffered bytes take.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the number of complete events since the last [`Self::take_rest`]; comments don't
    /// count.
    pub fn events(&self) -> u64 {
        self.scanner.events()
    }

    /// Returns the next complete event with its empty line.
    pub fn next_event(&mut self) -> Option<bytes::Bytes> {
        let length = self.scan(0)?;
        Some(self.buffer.split_to(length).freeze())
    }

    /// Returns all complete events at once.
    pub fn take_events(&mut self) -> Option<bytes::Bytes> {
        let mut length = self.scan(0)?;
        while let Some(next) = self.scan(length) {
            length = next;
        }
        let events = self.buffer.split_to(length).freeze();
        self.scanned = self.buffer.len();
        Some(events)
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> bytes::Bytes {
        self.scanner = EventScanner::default();
        self.scanned = 0;
        self.buffer.copy_to_bytes(self.buffer.len())
    }

    /// Returns the end of the first event that ends behind `from`; scans no byte twice.
    fn scan(&mut self, from: usize) -> Option<usize> {
        let from = from.max(self.scanned);
        let end = self.scanner.next_end(&self.buffer[from..]);
        self.scanned = if end.is_some() { 0 } else { self.buffer.len() };
        end.map(|end| from + end)
    }
}
