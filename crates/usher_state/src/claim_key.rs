//! Idempotency keys of non-idempotent calls, and the timestamp that some of them carry.
//! Not for: claims.

use std::time;

use sha2::Digest as _;

use crate::claim_holder;

/// How long a key is accepted after its timestamp, and how long the record of an ended claim is
/// kept: counted from the timestamp of the key or, without one, from the end of the claim.
pub const KEY_RETENTION: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// How far in the future the timestamp of a key may be; the clocks of callers differ by less.
pub const MAX_KEY_LEAD: time::Duration = time::Duration::from_secs(5 * 60);

/// The length of a timestamp prefix such as `20261204T061500Z-`.
const TIME_PREFIX_BYTES: usize = 17;

/// A key as the claim table stores it: its digest, and its timestamp if it has one.
///
/// ```
/// use usher_state::ClaimKey;
/// assert_eq!(ClaimKey::parse("19700102T000001Z-a").time_ms, Some(86_401_000));
/// assert_eq!(ClaimKey::parse("order-7").time_ms, None);
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    /// The first half of the SHA-256 digest of the key.
    pub digest: [u8; 16],
    /// The timestamp of the key, in ms since 1970.
    pub time_ms: Option<u64>,
}

impl ClaimKey {
    /// Parses a key; a key with an invalid timestamp prefix counts as a key without a timestamp.
    pub fn parse(key: &str) -> Self {
        let mut hasher = sha2::Sha256::new();
        hasher.update(key);
        Self {
            digest: claim_holder::truncated_digest(hasher),
            time_ms: parse_time(key),
        }
    }

    /// Returns whether the timestamp of the key is older than [`KEY_RETENTION`].
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.time_ms
            .is_some_and(|time_ms| is_past_retention(time_ms, now_ms))
    }

    /// Returns whether the timestamp of the key is more than [`MAX_KEY_LEAD`] in the future.
    pub fn is_too_far_ahead(&self, now_ms: u64) -> bool {
        let limit = now_ms.saturating_add(MAX_KEY_LEAD.as_millis() as u64);
        self.time_ms.is_some_and(|time_ms| time_ms > limit)
    }
}

/// Returns whether `time_ms` is more than [`KEY_RETENTION`] before `now_ms`.
pub(crate) fn is_past_retention(time_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(time_ms) > KEY_RETENTION.as_millis() as u64
}

/// Parses the timestamp prefix `YYYYMMDDTHHMMSSZ-` into ms since 1970.
fn parse_time(key: &str) -> Option<u64> {
    let prefix = key.as_bytes().get(..TIME_PREFIX_BYTES)?;
    let separators = [(8, b'T'), (15, b'Z'), (16, b'-')];
    if separators
        .iter()
        .any(|(position, separator)| prefix[*position] != *separator)
    {
        return None;
    }
    let part = |from: usize, to: usize| parse_digits(&prefix[from..to]);
    let (year, month, day) = (part(0, 4)?, part(4, 6)?, part(6, 8)?);
    let (hour, minute, second) = (part(9, 11)?, part(11, 13)?, part(13, 15)?);
    let in_range = year >= 1970
        && (1..=12).contains(&month)
        && (1..=days_in_month(year, month)).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60;
    if !in_range {
        return None;
    }
    let days = days_since_1970(year, month, day);
    Some((((days * 24 + hour) * 60 + minute) * 60 + second) * 1_000)
}

fn parse_digits(digits: &[u8]) -> Option<u64> {
    digits.iter().try_fold(0, |number, digit| {
        digit
            .is_ascii_digit()
            .then(|| number * 10 + u64::from(digit - b'0'))
    })
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn days_in_month(year: u64, month: u64) -> u64 {
    match month {
        2 if is_leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}

fn days_since_1970(year: u64, month: u64, day: u64) -> u64 {
    // The number of leap days from year 1 to the end of the given year.
    let leaps = |year: u64| year / 4 - year / 100 + year / 400;
    let years = (year - 1970) * 365 + leaps(year - 1) - leaps(1969);
    let months: u64 = (1..month).map(|month| days_in_month(year, month)).sum();
    years + months + day - 1
}
