//! Tests of the pauses that targets ask for.

use std::time;

use usher_answer::PauseRequest;

/// Checks the length of the pause, in ms, that a head with these values of `Retry-After` asks for.
fn check_pause(status: u16, values: &[&str], expected: Option<u128>) {
    let mut headers = http::HeaderMap::new();
    for value in values {
        headers.append("retry-after", http::HeaderValue::from_str(value).unwrap());
    }
    let status = http::StatusCode::from_u16(status).unwrap();
    let pause = PauseRequest::of_head(status, &headers);
    let length = pause.map(|pause| pause.length().as_millis());
    assert_eq!(length, expected);
}

// Guards against a pause that is read from other answers, and against absurd values that end a
// daemon or take a target out of service for good.
usher_types::cases! { check_pause:
    whole_seconds_are_read(503, &["3"], Some(3_000));
    fractions_are_read(503, &[" 0.25 "], Some(250));
    longest_value_holds(503, &["1", "x", "2"], Some(2_000));
    other_status_asks_for_nothing(429, &["3"], None);
    success_asks_for_nothing(200, &["3"], None);
    missing_value_asks_for_nothing(503, &[], None);
    huge_number_is_limited(503, &["1e300"], Some(300_000));
    infinity_is_limited(503, &["inf"], Some(300_000));
    many_digits_are_limited(503, &["99999999999999999999999999999"], Some(300_000));
    zero_is_ignored(503, &["0"], None);
    negative_number_is_ignored(503, &["-5"], None);
    nan_is_ignored(503, &["NaN"], None);
    date_is_ignored(503, &["Fri, 04 Dec 2026 23:59:59 GMT"], None);
    empty_value_is_ignored(503, &[""], None);
}

/// Guards against a limit below the pauses that operators configure.
#[test]
fn pause_of_minutes_is_kept() {
    let mut headers = http::HeaderMap::new();
    headers.insert("retry-after", http::HeaderValue::from_static("120"));
    let pause = PauseRequest::of_head(http::StatusCode::SERVICE_UNAVAILABLE, &headers);
    assert_eq!(pause.unwrap().length(), time::Duration::from_secs(120));
}
