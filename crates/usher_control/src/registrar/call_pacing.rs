//! When the next call to an API may be sent. Not for: clocks, or sending calls.

use std::time;

/// Divisor of the rate that the API accepts: the calls of two holders in succession fit in one
/// second.
const RATE_DIVISOR: f64 = 2.0;

/// Pause after the first failure.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest pause; a duty that is due every few seconds can still be served after it.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Spaces calls evenly below a rate, and pauses after failures for a time that doubles.
///
/// ```
/// use std::time::{Duration, Instant};
/// let mut pacing = usher_control::CallPacing::new(50.0);
/// let now = Instant::now();
/// assert_eq!(pacing.begin_call(now), Ok(()));
/// assert_eq!(pacing.begin_call(now), Err(Duration::from_millis(40)));
/// ```
#[derive(Clone, Debug)]
pub struct CallPacing {
    interval: time::Duration,
    next_call: Option<time::Instant>,
    /// Length of the last pause; zero after a success.
    pause: time::Duration,
    paused_until: Option<time::Instant>,
}

impl CallPacing {
    /// Creates a pacing for an API that accepts this many calls per second.
    pub fn new(accepted_per_second: f64) -> Self {
        let per_second = accepted_per_second.max(f64::MIN_POSITIVE);
        let interval = time::Duration::try_from_secs_f64(RATE_DIVISOR / per_second);
        Self {
            interval: interval.unwrap_or(LONGEST_PAUSE),
            next_call: None,
            pause: time::Duration::ZERO,
            paused_until: None,
        }
    }

    /// Takes the turn of a call.
    ///
    /// # Errors
    ///
    /// Returns the time to wait when no call may be sent at `now`.
    pub fn begin_call(&mut self, now: time::Instant) -> Result<(), time::Duration> {
        let start = self.next_call.max(self.paused_until);
        if let Some(start) = start.filter(|start| *start > now) {
            return Err(start - now);
        }
        self.next_call = Some(now + self.interval);
        Ok(())
    }

    /// Records the end of a call; `random` spreads the ends of pauses.
    pub fn end_call(&mut self, is_served: bool, random: u64, now: time::Instant) {
        if is_served {
            self.pause = time::Duration::ZERO;
            self.paused_until = None;
            return;
        }
        // Of several calls that fail together, only the first lengthens the pause.
        if self.paused_until.is_some_and(|until| now < until) {
            return;
        }
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        let jitter = u32::try_from(random % 512).unwrap_or_default();
        let length = self.pause / 2 + self.pause / 1_024 * jitter;
        self.paused_until = Some(now + length);
    }
}
