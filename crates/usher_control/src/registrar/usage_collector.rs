//! The usage that gateways have reported to this registrar, and the agreed time. Not for: fixing and
//! sending reports.

use std::{sync, time};

use usher_usage::{AgreedTime, GatewayRun, UsageTable, UsageTiming};
use usher_wire::message;

use crate::{fleet, registrar::metrics};

/// Time after the start of a registrar within which its gateways have reported all open windows
/// again: they notice that it restarted, connect, and send two reports.
const RESYNC_TIME: time::Duration = time::Duration::from_millis(2_500);

/// Counts and time of a registrar; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct UsageCollector<C> {
    timing: UsageTiming,
    started_at: time::Instant,
    table: sync::Arc<sync::Mutex<UsageTable>>,
    agreed_time: sync::Arc<sync::Mutex<AgreedTime>>,
    access: fleet::FleetAccess,
    metrics: metrics::RegistrarMetrics,
    clock: C,
}

impl<C> UsageCollector<C>
where
    C: usher_types::ClockSource,
{
    /// Makes an empty collector in a group with a number of registrars.
    pub(crate) fn new(
        timing: UsageTiming,
        registrars: usize,
        access: fleet::FleetAccess,
        metrics: metrics::RegistrarMetrics,
        clock: C,
    ) -> Self {
        let agreed_time = AgreedTime::new(registrars);
        Self {
            timing,
            started_at: clock.now(),
            table: sync::Arc::default(),
            agreed_time: sync::Arc::new(sync::Mutex::new(agreed_time)),
            access,
            metrics,
            clock,
        }
    }

    /// Returns the windows of the reports.
    pub(crate) fn timing(&self) -> &UsageTiming {
        &self.timing
    }

    /// Merges the counts of a gateway; returns a reply with the agreed time and the newest window
    /// whose counts are fixed.
    pub(crate) fn record(
        &self,
        gateway: &usher_wire::WireIdentity,
        counts: &[message::UsageCount],
    ) -> message::UseTotals {
        let run = GatewayRun {
            node: gateway.node.to_string(),
            incarnation: gateway.incarnation.get(),
        };
        let fixed_through = self.fixed_through();
        let mut table = self.lock_table();
        table.forget_through(fixed_through);
        let late = table.merge(&run, counts);
        drop(table);
        self.metrics
            .late_counts
            .inc_by(u64::try_from(late).unwrap_or(u64::MAX));
        let agreed = self.since_1970().unwrap_or_default();
        message::UseTotals {
            agreed_ms: u64::try_from(agreed.as_millis()).unwrap_or_default(),
            usage_fixed_through: fixed_through,
            ..Default::default()
        }
    }

    /// Returns the counts of a window for the leader.
    pub(crate) fn answer(&self, request: &message::UsageRequest) -> message::UsageReply {
        message::UsageReply {
            gateways: self.lock_table().gateways(request.window),
            running_ms: u64::try_from(self.running_time().as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns whether the gateways of this registrar have had the time to report.
    pub(crate) fn is_complete(&self) -> bool {
        self.running_time() >= RESYNC_TIME
    }

    fn running_time(&self) -> time::Duration {
        self.clock.now().saturating_duration_since(self.started_at)
    }

    /// Merges the counts of another registrar; returns whether its gateways have had the time to
    /// report.
    pub(crate) fn merge(&self, reply: &message::UsageReply) -> bool {
        let mut table = self.lock_table();
        for gateway in &reply.gateways {
            let run = GatewayRun {
                node: gateway.node.clone(),
                incarnation: gateway.incarnation,
            };
            table.merge(&run, &gateway.counts);
        }
        time::Duration::from_millis(reply.running_ms) >= RESYNC_TIME
    }

    /// Returns the sum of a window.
    pub(crate) fn totals(&self, window: u64) -> Vec<message::UsageCount> {
        let totals = self.lock_table().totals(window);
        let counts = totals.into_iter().map(|(team, count)| message::UsageCount {
            window,
            team: team.to_string(),
            count,
        });
        counts.collect()
    }

    /// Records the time of day of a registrar.
    pub(crate) fn record_clock(
        &self,
        registrar: &usher_types::NodeName,
        reading: &message::ClockReading,
    ) {
        let since_1970 = time::Duration::from_millis(reading.since_1970_ms);
        let now = self.clock.now();
        self.lock_time().record(registrar.as_str(), since_1970, now);
    }

    /// Reads the own time of day, and records it.
    pub(crate) fn read_clock(&self) -> message::ClockReading {
        let since_1970 = self.clock.wall().duration_since(time::UNIX_EPOCH);
        let since_1970 = since_1970.unwrap_or_default();
        let reading = message::ClockReading {
            since_1970_ms: u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX),
        };
        self.record_clock(&self.access.name(), &reading);
        reading
    }

    /// Returns the agreed time since 1970, once it is known.
    pub(crate) fn since_1970(&self) -> Option<time::Duration> {
        self.lock_time().since_1970(self.clock.now())
    }

    fn fixed_through(&self) -> u64 {
        self.access.view(|state| state.usage().newest())
    }

    fn lock_table(&self) -> sync::MutexGuard<'_, UsageTable> {
        self.table
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_time(&self) -> sync::MutexGuard<'_, AgreedTime> {
        self.agreed_time
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
