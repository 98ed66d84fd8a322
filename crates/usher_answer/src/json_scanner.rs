//! Detects the end of JSON text that arrives in parts. Not for: its validity.

/// Follows the nesting of JSON text.
#[derive(Clone, Debug, Default)]
pub(crate) struct JsonScanner {
    depth: usize,
    in_string: bool,
    /// Whether the next byte of a string belongs to an escape sequence.
    escaped: bool,
    has_value: bool,
}

impl JsonScanner {
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.in_string {
                let escaped = std::mem::take(&mut self.escaped);
                match byte {
                    b'"' if !escaped => self.in_string = false,
                    b'\\' => self.escaped = !escaped,
                    _ => {}
                }
                continue;
            }
            match byte {
                b'"' => self.in_string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            self.has_value |= !byte.is_ascii_whitespace();
        }
    }

    /// Returns whether the text would be cut off if it ended here. A number or a word without
    /// brackets can't be told from its beginning.
    pub(crate) fn is_inside_value(&self) -> bool {
        self.in_string || self.depth > 0 || !self.has_value
    }
}
