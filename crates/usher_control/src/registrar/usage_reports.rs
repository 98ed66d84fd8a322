//! Fixes the usage of each window and reports it, on the leader only. Not for: counting.

use std::{collections, net, sync, time};

use usher_wire::message::{self, envelope, state_command};

use crate::{
    fleet,
    registrar::{
        duty_dialect::{DutyDialect, UsageReport},
        metrics,
        outside_client::{OutsideClient, OutsideError},
        usage_collector::UsageCollector,
    },
};

/// Interval at which registrars tell each other their time of day.
const CLOCK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval at which the leader checks whether a window can be fixed or sent.
const STEP_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Timeout of asking another registrar for its counts.
const COLLECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Windows whose report was accepted, until the replicated state knows it.
type AcceptedWindows = sync::Arc<sync::Mutex<collections::BTreeSet<u64>>>;

/// What the tasks of usage reports share.
#[derive(Clone, Debug)]
pub(crate) struct UsageReporter<D, C> {
    pub(crate) dialect: D,
    pub(crate) collector: UsageCollector<C>,
    pub(crate) client: OutsideClient<C>,
    pub(crate) access: fleet::FleetAccess,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) clients: sync::Arc<fleet::PeerClients>,
    pub(crate) own_address: net::SocketAddr,
    pub(crate) metrics: metrics::RegistrarMetrics,
    pub(crate) accepted: AcceptedWindows,
}

impl<D, C> UsageReporter<D, C>
where
    D: DutyDialect,
    C: usher_types::ClockSource,
{
    /// Exchanges clock readings, fixes windows and sends reports until the task is aborted.
    pub(crate) async fn run(self) {
        tokio::join!(
            self.exchange_clocks(),
            self.fix_windows(),
            self.send_reports()
        );
    }

    async fn exchange_clocks(&self) {
        loop {
            let reading = self.collector.read_clock();
            for address in self.other_registrars() {
                let client = self.clients.find(address);
                client.send_one_way(envelope::Body::ClockReading(reading));
            }
            tokio::time::sleep(CLOCK_INTERVAL).await;
        }
    }

    async fn fix_windows(&self) {
        let mut schedule = usher_usage::UsageSchedule::new(self.collector.timing().clone());
        loop {
            tokio::time::sleep(STEP_INTERVAL).await;
            if !self.access.leads() {
                continue;
            }
            let Some(now) = self.collector.since_1970() else {
                continue;
            };
            let newest = self.access.read(|state| state.usage().newest()).await;
            let Ok(newest) = newest else {
                continue;
            };
            let Some(step) = schedule.next(newest, now) else {
                continue;
            };
            let incomplete = self.collect(step.window).await;
            if incomplete > 0 && !step.is_last_chance {
                continue;
            }
            self.fix(&step, incomplete).await;
        }
    }

    /// Merges the counts of all registrars; returns how many did not answer, or may not have all
    /// counts because they have just started.
    async fn collect(&self, window: u64) -> usize {
        let requests = self
            .other_registrars()
            .into_iter()
            .map(|address| async move {
                let body = envelope::Body::UsageRequest(message::UsageRequest { window });
                match self.clients.find(address).call(body, COLLECT_TIMEOUT).await {
                    Ok(envelope::Body::UsageReply(reply)) => self.collector.merge(&reply),
                    _ => false,
                }
            });
        let mut complete = futures_util::future::join_all(requests).await;
        complete.push(self.collector.is_complete());
        complete.into_iter().filter(|complete| !complete).count()
    }

    async fn fix(&self, step: &usher_usage::WindowStep, incomplete: usize) {
        let window = step.window;
        let accepted: Vec<_> = self.lock_accepted().iter().copied().collect();
        let fix = message::UsageFix {
            window,
            counts: self.collector.totals(window),
            accepted: accepted.clone(),
        };
        let (teams, calls) = (fix.counts.len(), total(&fix.counts));
        let fixed = self
            .router
            .propose_locally(state_command::Kind::FixUsage(fix));
        match fixed.await {
            Ok(_) => {
                self.lock_accepted()
                    .retain(|window| !accepted.contains(window));
                self.metrics.windows_missed("not-fixed", step.missed);
                tracing::info!(
                    window,
                    teams,
                    calls,
                    incomplete,
                    missed = step.missed,
                    "usage fixed"
                );
            }
            // The command may take effect; its window is then no longer the next one.
            Err(error) => tracing::info!(window, %error, "failed to fix usage"),
        }
    }

    async fn send_reports(&self) {
        // Windows that this holder has still to report.
        let mut pending = collections::BTreeSet::new();
        let mut held = None;
        loop {
            tokio::time::sleep(STEP_INTERVAL).await;
            let stamp = self.client.holder().may_act();
            let fence = stamp.map(|stamp| stamp.fence);
            if fence != held {
                tracing::info!(
                    fence = fence.map(usher_types::FenceNumber::get),
                    last_fence = held.map(usher_types::FenceNumber::get),
                    "holder of the duties changed"
                );
                held = fence;
            }
            let Some(now) = self.collector.since_1970().filter(|_| fence.is_some()) else {
                pending.clear();
                continue;
            };
            let accepted = self.lock_accepted().clone();
            // Counts of a fixed window never change, so a state that is behind does no harm.
            let unreported: Vec<_> = self.access.view(|state| {
                let windows = state.usage().unreported();
                let windows = windows.filter(|fixed| !accepted.contains(&fixed.window));
                windows.cloned().collect()
            });
            let timing = self.collector.timing();
            let (overdue, due): (Vec<_>, Vec<_>) = unreported
                .into_iter()
                .partition(|fixed| timing.is_overdue(fixed.window, now));
            for fixed in overdue {
                if pending.remove(&fixed.window) {
                    self.metrics.windows_missed("not-accepted", 1);
                    tracing::warn!(window = fixed.window, "usage report is overdue");
                }
            }
            pending.extend(due.iter().map(|fixed| fixed.window));
            let Some(fixed) = due.first() else {
                continue;
            };
            if self.send(fixed).await {
                pending.remove(&fixed.window);
            }
        }
    }

    /// Sends the report of a window; returns whether it needs no repetition.
    async fn send(&self, fixed: &usher_state::FixedUsage) -> bool {
        let counts = fixed.counts.iter();
        let counts =
            counts.map(|count| (usher_types::TeamName::new(count.team.clone()), count.count));
        let report = UsageReport {
            window: fixed.window,
            counts: counts.collect(),
        };
        let mut fence = None;
        let build = |stamp: &_| {
            fence = Some(crate::DutyStamp::clone(stamp).fence);
            self.dialect.usage_request(stamp, &report)
        };
        let sent = self.client.send(build).await;
        let (outcome, ends) = match &sent {
            Ok(status) if status.is_success() => ("accepted", true),
            Ok(status)
                if status.is_client_error() && *status != http::StatusCode::TOO_MANY_REQUESTS =>
            {
                ("refused", true)
            }
            Ok(_) => ("busy", false),
            Err(OutsideError::NotHolder) => return false,
            Err(OutsideError::NoAnswer(_)) => ("no-answer", false),
        };
        if ends {
            self.lock_accepted().insert(fixed.window);
        }
        self.metrics.usage_report(outcome);
        let detail = match sent {
            Ok(status) => status.to_string(),
            Err(error) => error.to_string(),
        };
        tracing::info!(
            window = fixed.window,
            teams = report.counts.len(),
            calls = total(&fixed.counts),
            fence = fence.map(usher_types::FenceNumber::get),
            outcome,
            detail,
            "usage reported"
        );
        ends
    }

    fn other_registrars(&self) -> Vec<net::SocketAddr> {
        let (_, members) = self.access.member_addresses(0);
        let members = members.iter().filter_map(|text| text.parse().ok());
        members
            .filter(|address| *address != self.own_address)
            .collect()
    }

    fn lock_accepted(&self) -> sync::MutexGuard<'_, collections::BTreeSet<u64>> {
        self.accepted
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn total(counts: &[message::UsageCount]) -> u64 {
    counts.iter().map(|count| count.count).sum()
}
