//! Target counts and count ranges in a sheet row. Not for: the number of running targets.

use std::{fmt, str};

/// Largest count that a cell may hold; the design target is a fleet of 760 engines.
const MAX_COUNT: u32 = 10_000;

/// Error for a cell that is not a valid count or range.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a count: expected a whole number up to 10000, or a range such as 1..4")]
pub struct ParseCountError(String);

/// The minimum and maximum number of targets of a role; equal for a fixed number.
///
/// A range is written with two dots, because spreadsheets turn `1-4` into a date.
///
/// ```
/// use usher_config::CountRange;
/// let range: CountRange = "1..4".parse().unwrap();
/// assert!(range.contains(4));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct CountRange {
    /// Minimum number of targets.
    pub min: u32,
    /// Maximum number of targets.
    pub max: u32,
}

impl CountRange {
    /// Creates a range that contains only `count`.
    pub const fn fixed(count: u32) -> Self {
        Self {
            min: count,
            max: count,
        }
    }

    /// Returns whether `count` is within the range.
    pub const fn contains(self, count: u32) -> bool {
        self.min <= count && count <= self.max
    }
}

impl fmt::Display for CountRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.min == self.max {
            write!(f, "{}", self.min)
        } else {
            write!(f, "{}..{}", self.min, self.max)
        }
    }
}

impl str::FromStr for CountRange {
    type Err = ParseCountError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let range = match text.split_once("..") {
            None => parse_count(text).map(Self::fixed),
            Some((min, max)) => parse_count(min)
                .zip(parse_count(max))
                .map(|(min, max)| Self { min, max }),
        };
        range
            .filter(|range| range.min <= range.max)
            .ok_or_else(|| ParseCountError(text.chars().take(40).collect()))
    }
}

/// Parses an unsigned integer up to [`MAX_COUNT`]; returns `None` for any other text, including
/// an empty cell.
pub(crate) fn parse_count(text: &str) -> Option<u32> {
    let text = text.trim();
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let count = text.parse().ok().filter(|_| digits)?;
    Some(count).filter(|count| *count <= MAX_COUNT)
}
