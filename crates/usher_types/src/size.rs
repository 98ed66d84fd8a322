//! Sizes in bytes, tokens and pieces (blocks) of KV cache. Not for: rates.

use crate::macros;

/// The number of tokens that fit in one piece of KV cache memory.
pub const TOKENS_PER_PIECE: u64 = 1_024;

/// The error for a text that isn't a valid size.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{what} {text:?} is not valid: expected a whole number")]
pub struct ParseSizeError {
    what: &'static str,
    text: String,
}

impl ParseSizeError {
    pub(crate) fn new(what: &'static str, text: &str) -> Self {
        Self {
            what,
            text: text.to_owned(),
        }
    }
}

macros::number_type!(
    /// A size in bytes.
    ByteSize,
    u64,
    ParseSizeError
);
macros::number_type!(
    /// A number of tokens.
    TokenCount,
    u64,
    ParseSizeError
);
macros::number_type!(
    /// A number of pieces of KV cache memory, each for 1,024 tokens.
    PieceCount,
    u64,
    ParseSizeError
);

impl TokenCount {
    /// Returns the number of pieces of KV cache memory that this many tokens need.
    ///
    /// ```
    /// use usher_types::{PieceCount, TokenCount};
    /// assert_eq!(TokenCount::new(1_025).pieces(), PieceCount::new(2));
    /// ```
    pub const fn pieces(self) -> PieceCount {
        PieceCount::new(self.0.div_ceil(TOKENS_PER_PIECE))
    }
}
