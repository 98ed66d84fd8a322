//! The identity of a prompt part. Not for: its length.

use std::{fmt, num, str};

/// Identity of a part of a prompt; calls whose prompts have the same content there have the same one.
///
/// ```
/// use usher_quarantine::PartId;
/// let part: PartId = "5c1e07a2".parse().unwrap();
/// assert_eq!(part, PartId::new(0x5c1e_07a2));
/// assert_eq!(part.to_string(), "5c1e07a2");
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartId(u64);

impl PartId {
    /// Makes the identity from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl str::FromStr for PartId {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
