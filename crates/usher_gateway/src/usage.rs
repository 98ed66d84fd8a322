//! Counts the calls of teams at this gateway. Not for: deciding when a call counts.

use std::{sync, time};

use usher_usage::{TimeAnchor, UsageCounter, UsageTiming};
use usher_wire::message;

/// Counts by window of the time on which the registrars agree.
#[derive(Debug)]
pub(crate) struct GatewayUsage {
    timing: UsageTiming,
    counter: sync::Mutex<UsageCounter>,
    anchor: sync::Mutex<Option<TimeAnchor>>,
}

impl GatewayUsage {
    /// Creates counts in windows of a length.
    pub(crate) fn new(window: time::Duration) -> Self {
        Self {
            timing: UsageTiming {
                window,
                due: time::Duration::ZERO,
            },
            counter: sync::Mutex::default(),
            anchor: sync::Mutex::default(),
        }
    }

    /// Counts a call of a team that begins to run now.
    pub(crate) fn count(
        &self,
        team: &usher_types::TeamName,
        clock: &impl usher_types::ClockSource,
    ) {
        let now = clock.now();
        let anchor = *self.lock_anchor();
        let anchor = anchor.unwrap_or_else(|| TimeAnchor::of_wall(now, clock.wall()));
        let window = self.timing.window_at(anchor.since_1970(now));
        self.lock_counter().count(window, team);
    }

    /// Returns the counts that the registrar doesn't know.
    pub(crate) fn unconfirmed(&self) -> Vec<message::UsageCount> {
        self.lock_counter().unconfirmed()
    }

    /// Applies the reply to a report that was sent and answered at these instants.
    pub(crate) fn apply_reply(
        &self,
        reported: &[message::UsageCount],
        totals: &message::UseTotals,
        sent_at: time::Instant,
        now: time::Instant,
    ) {
        let mut counter = self.lock_counter();
        counter.confirm(totals.broken_calls_epoch, reported);
        counter.forget_through(totals.usage_fixed_through);
        drop(counter);
        if totals.agreed_ms > 0 {
            let half_way = now.saturating_duration_since(sent_at) / 2;
            let since_1970 = time::Duration::from_millis(totals.agreed_ms) + half_way;
            *self.lock_anchor() = Some(TimeAnchor::new(now, since_1970));
        }
    }

    fn lock_counter(&self) -> sync::MutexGuard<'_, UsageCounter> {
        self.counter
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_anchor(&self) -> sync::MutexGuard<'_, Option<TimeAnchor>> {
        self.anchor
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
