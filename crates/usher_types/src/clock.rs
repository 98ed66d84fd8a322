//! The clock interface and its implementations. Not for: timers, which the async runtime provides.

use std::{sync, time};

/// A source of the current time, passed to all code that depends on time.
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

    /// Returns the wall-clock time, only for timestamps of records.
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

/// The clock of the operating system, including the time that the machine is suspended.
///
/// The monotonic clock stops during a suspend, so a lease that is measured with it would seem to
/// be still valid when the machine resumes.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: time::Instant,
    boot_time_at_start: Option<time::Duration>,
}

impl BootClock {
    /// Creates a clock that starts at the current time of the monotonic clock.
    pub fn new() -> Self {
        Self {
            start: time::Instant::now(),
            boot_time_at_start: time_since_boot(),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for BootClock {
    fn now(&self) -> time::Instant {
        match (time_since_boot(), self.boot_time_at_start) {
            (Some(now), Some(boot)) => self.start + now.saturating_sub(boot),
            // Falls back to the monotonic clock: a kernel without CLOCK_BOOTTIME doesn't suspend
            // the machine unnoticed.
            _ => time::Instant::now(),
        }
    }

    fn wall(&self) -> time::SystemTime {
        time::SystemTime::now()
    }
}

fn time_since_boot() -> Option<time::Duration> {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    now.ok().map(time::Duration::from)
}

/// A clock that advances only on request, for tests and experiments in virtual time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: time::Instant,
    elapsed: sync::Arc<sync::Mutex<time::Duration>>,
}

impl ManualClock {
    /// Creates a clock with no elapsed time.
    pub fn new() -> Self {
        Self {
            start: time::Instant::now(),
            elapsed: sync::Arc::default(),
        }
    }

    /// Advances the clock.
    pub fn advance(&self, step: time::Duration) {
        *self.lock() += step;
    }

    /// Returns the time since the creation of the clock.
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
