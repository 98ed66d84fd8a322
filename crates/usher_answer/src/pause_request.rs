//! The pause that a target asks for when it turns a request away. Not for: keeping the pause.

use std::time;

/// Longest accepted pause. A larger value comes from a damaged or misconfigured target, which would
/// otherwise get no work until its next start.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(300);

usher_types::value_type! {
    /// The pause that a target asks for: it wants no request of this daemon for so long.
    #[derive(Copy)]
    pub struct PauseRequest {
        length: time::Duration,
    }
}

impl PauseRequest {
    /// Reads the request for a pause from the head of an answer: status 503 with `Retry-After` in
    /// seconds, which may include fractions.
    ///
    /// The longest of several values holds, up to a limit. Dates, and numbers that aren't positive,
    /// are ignored.
    ///
    /// ```
    /// use usher_answer::PauseRequest;
    ///
    /// let mut headers = http::HeaderMap::new();
    /// headers.insert("retry-after", http::HeaderValue::from_static("1.5"));
    /// let pause = PauseRequest::of_head(http::StatusCode::SERVICE_UNAVAILABLE, &headers);
    /// assert_eq!(pause.unwrap().length().as_millis(), 1_500);
    /// assert_eq!(PauseRequest::of_head(http::StatusCode::OK, &headers), None);
    /// ```
    pub fn of_head(status: http::StatusCode, headers: &http::HeaderMap) -> Option<Self> {
        if status != http::StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        let values = headers.get_all(http::header::RETRY_AFTER);
        let seconds = values.iter().filter_map(|value| {
            let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
            (seconds > 0.0).then_some(seconds.min(MAX_PAUSE.as_secs_f64()))
        });
        let longest = seconds.max_by(f64::total_cmp)?;
        let length = time::Duration::try_from_secs_f64(longest).ok()?;
        Some(Self { length })
    }

    /// Returns the length of the pause.
    pub fn length(&self) -> time::Duration {
        self.length
    }
}
