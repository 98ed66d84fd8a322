//! The clock as an interface. Not for: timers, which belong to the runtime.

use std::{sync, time};

/// Gives the time; passed in wherever code depends on time.
///
/// ```
/// use std::time::Duration;
/// use usher_types::{ClockSource, ManualClock};
/// let clock = ManualClock::new();
/// let start = clock.now();
/// clock.advance(Duration::from_secs(1));
/// assert_eq!(clock.now() - start, Duration::from_secs(1));
/// ```
pub trait ClockSource: Clone + Send + Sync + 'static {
    /// Returns the monotonic time, for durations and timeouts.
    fn now(&self) -> time::Instant;

    /// Returns the wall time, only for stamping records.
    fn wall(&self) -> time::SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn now(&self) -> time::Instant {
        time::Instant::now()
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::now()
    }
}

/// A clock that moves only when told to, for tests and experiments in virtual time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: time::Instant,
    elapsed: sync::Arc<sync::Mutex<time::Duration>>,
}

impl ManualClock {
    /// Makes a clock that stands at its start.
    pub fn new() -> Self {
        Self {
            start: time::Instant::now(),
            elapsed: sync::Arc::default(),
        }
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: time::Duration) {
        *self.lock() += step;
    }

    /// Returns the time since the start of the clock.
    pub fn elapsed(&self) -> time::Duration {
        *self.lock()
    }

    fn lock(&self) -> sync::MutexGuard<'_, time::Duration> {
        self.elapsed
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> time::Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
