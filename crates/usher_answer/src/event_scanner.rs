//! Finds the ends of events in an event stream. Not for: their contents.

/// The part of the current line that has been read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum LineState {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Finds the ends of events in a stream that arrives in parts.
///
/// Lines end with a line feed, a carriage return or both; an empty line ends an event (WHATWG HTML,
/// section 9.2.6).
///
/// ```
/// let mut scanner = usher_answer::EventScanner::default();
/// assert_eq!(scanner.next_end(b"id: 1\r"), None);
/// assert!(scanner.is_inside_event());
/// assert_eq!(scanner.next_end(b"\n\r\nid"), Some(3));
/// assert_eq!(scanner.next_end(b"id"), None);
/// assert_eq!(scanner.events(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    line: LineState,
    /// Whether a field was read since the last empty line.
    has_field: bool,
    /// Whether the last byte was a carriage return, which a line feed may follow.
    after_return: bool,
    events: u64,
}

impl EventScanner {
    /// Reads bytes up to and including the next empty line; returns their number, or `None` when
    /// all bytes were read and contain no empty line.
    pub fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            let after_return = std::mem::replace(&mut self.after_return, *byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' if self.end_line() => {
                    let end = index + 1;
                    if self.after_return && bytes.get(end) == Some(&b'\n') {
                        self.after_return = false;
                        return Some(end + 1);
                    }
                    return Some(end);
                }
                b'\n' | b'\r' => {}
                b':' if self.line == LineState::Empty => self.line = LineState::Comment,
                _ if self.line == LineState::Empty => self.line = LineState::Field,
                _ => {}
            }
        }
        None
    }

    /// Returns whether the stream would be broken off if it ended here: inside a line, or behind a
    /// field without the empty line that ends its event.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != LineState::Empty
    }

    /// Returns the number of complete events; comments don't count.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Ends the current line; returns whether it was empty.
    fn end_line(&mut self) -> bool {
        match std::mem::take(&mut self.line) {
            LineState::Empty => {
                self.events += u64::from(std::mem::take(&mut self.has_field));
                true
            }
            LineState::Comment => false,
            LineState::Field => {
                self.has_field = true;
                false
            }
        }
    }
}
