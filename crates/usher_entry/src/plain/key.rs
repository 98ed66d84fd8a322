//! Reads and generates the idempotency keys of calls.
//!
//! Not for: the claims of keys.

use std::time;

use crate::{error::CallError, identity};

/// Maximum length of a caller's key.
const MAX_KEY_BYTES: usize = 200;

/// Returns the caller's key after validation.
pub(crate) fn caller_key(headers: &http::HeaderMap) -> Result<Option<String>, CallError> {
    const NAME: &str = "idempotency-key";
    if !headers.contains_key(NAME) {
        return Ok(None);
    }
    let key = identity::header(headers, NAME)
        .map(str::trim)
        .unwrap_or_default();
    let valid = !key.is_empty()
        && key.len() <= MAX_KEY_BYTES
        && key.bytes().all(|byte| byte.is_ascii_graphic());
    if valid {
        return Ok(Some(key.to_owned()));
    }
    let message = "idempotency-key must be 1 to 200 printable ASCII characters without spaces";
    Err(CallError::invalid(Some(NAME), message))
}

/// Generates a key for a call without one; it starts with the time, so that control can expire it
/// after a day.
pub(crate) fn make_key(wall: time::SystemTime, id: &usher_types::RequestId) -> String {
    format!("{}-{id}", format_timestamp(wall))
}

/// Returns the key under which control stores the claim; it includes firm and team, as two teams
/// may choose equal keys.
pub(crate) fn scoped_key(key: &str, identity: &identity::CallIdentity) -> String {
    format!("{key}@{}/{}", identity.firm, identity.team)
}

/// Formats a time as `20261204T061500Z`.
fn format_timestamp(wall: time::SystemTime) -> String {
    let since = wall.duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let seconds = since.as_secs();
    let (year, month, day) = civil_date(seconds / 86_400);
    let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
    format!("{year:04}{month:02}{day:02}T{hour:02}{minute:02}{second:02}Z")
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // Years are counted from March, so that the leap day is the last day; the calendar repeats
    // every 400 years (an era).
    let shifted = days + 719_468;
    let (era, day_of_era) = (shifted / 146_097, shifted % 146_097);
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days.min(day_of_era)) / 365;
    let before = 365 * year_of_era + year_of_era / 4 - year_of_era / 100;
    let day_of_year = day_of_era - before;
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
