//! Sums up the load that gateways cause at targets, so that each gateway knows the load of all
//! others. Not for: choosing targets.

use std::{collections, sync, time};

use usher_wire::message::{self, envelope};

use crate::fleet;

/// Age at which a report expires. The calls of a disconnected gateway are answered or abandoned by
/// then, and reports arrive more than ten times as often.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1_500);

/// Interval at which changed load of this registrar's gateways is sent to the other registrars.
const SEND_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval at which unchanged load is sent, so that it does not expire at the other registrars.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(900);

type UseTable = collections::BTreeMap<u64, message::TargetUse>;

#[derive(Clone, Debug)]
struct StoredReport {
    uses: Vec<message::TargetUse>,
    received_at: time::Instant,
    /// Number of gateways in the report of a registrar; 0 for the report of a gateway.
    gateways: u32,
}

/// The newest load report of each sender; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct LoadAggregator<C> {
    reports: sync::Arc<sync::Mutex<collections::HashMap<usher_types::NodeName, StoredReport>>>,
    reads: sync::Arc<sync::Mutex<usher_roster::PrefixLog>>,
    clock: C,
}

impl<C> LoadAggregator<C>
where
    C: usher_types::ClockSource,
{
    pub(crate) fn new(clock: C) -> Self {
        Self {
            reports: sync::Arc::default(),
            reads: sync::Arc::default(),
            clock,
        }
    }

    /// Stores a report and returns the load of all other senders.
    pub(crate) fn record(
        &self,
        sender: &usher_types::NodeName,
        report: message::UseReport,
    ) -> message::UseTotals {
        let is_registrar = report.gateways > 0;
        let reads = {
            let mut log = self.lock_reads();
            log.add(sender, is_registrar, report.reads);
            if is_registrar {
                Vec::new()
            } else {
                log.take_unsent(sender)
            }
        };
        let stored = StoredReport {
            uses: report.uses,
            received_at: self.clock.now(),
            gateways: report.gateways,
        };
        self.lock().insert(sender.clone(), stored);
        let uses = self.total(|name, _| name != sender);
        let gateways = self.gateways(|_| true);
        message::UseTotals {
            uses,
            gateways,
            reads,
            ..Default::default()
        }
    }

    /// Returns the reads of shared prefixes that this registrar's gateways have reported since
    /// the last call.
    fn take_own_reads(&self) -> Vec<message::PartsRead> {
        self.lock_reads().take_unforwarded()
    }

    fn lock_reads(&self) -> sync::MutexGuard<'_, usher_roster::PrefixLog> {
        self.reads
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns whether calls run at targets.
    pub(crate) fn has_calls(&self) -> bool {
        self.total(|_, _| true).iter().any(|used| used.running > 0)
    }

    /// Returns the number of gateways covered by the matching reports.
    fn gateways(&self, matches: impl Fn(&StoredReport) -> bool) -> u32 {
        let reports = self.lock();
        let matching = reports.values().filter(|stored| matches(stored));
        matching.map(|stored| stored.gateways.max(1)).sum()
    }

    /// Sums up the matching reports by target, without expired ones.
    fn total(
        &self,
        matches: impl Fn(&usher_types::NodeName, &StoredReport) -> bool,
    ) -> Vec<message::TargetUse> {
        let now = self.clock.now();
        let mut reports = self.lock();
        reports
            .retain(|_, stored| now.saturating_duration_since(stored.received_at) < MAX_REPORT_AGE);
        let mut table = UseTable::new();
        let matching = reports
            .iter()
            .filter(|(name, stored)| matches(name, stored));
        for used in matching.flat_map(|(_, stored)| &stored.uses) {
            let sum = table.entry(used.target).or_default();
            sum.target = used.target;
            sum.running = sum.running.saturating_add(used.running);
            sum.failing = sum.failing.saturating_add(used.failing);
            if sum.prefill_tokens.len() < used.prefill_tokens.len() {
                sum.prefill_tokens.resize(used.prefill_tokens.len(), 0);
            }
            for (class, tokens) in sum.prefill_tokens.iter_mut().zip(&used.prefill_tokens) {
                *class = class.saturating_add(*tokens);
            }
        }
        table.into_values().collect()
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<usher_types::NodeName, StoredReport>> {
        self.reports
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Sends the load of this registrar's gateways to the other registrars until the task is aborted.
pub(crate) async fn run<C>(
    aggregator: LoadAggregator<C>,
    access: fleet::FleetAccess,
    clients: sync::Arc<fleet::PeerClients>,
    own_address: std::net::SocketAddr,
) where
    C: usher_types::ClockSource,
{
    let mut sent_uses = Vec::new();
    let mut sent_at = aggregator.clock.now();
    loop {
        tokio::time::sleep(SEND_INTERVAL).await;
        let now = aggregator.clock.now();
        let uses = aggregator.total(|_, stored| stored.gateways == 0);
        let gateways = aggregator.gateways(|stored| stored.gateways == 0);
        let is_due = gateways > 0 && now.saturating_duration_since(sent_at) >= REFRESH_INTERVAL;
        let reads = aggregator.take_own_reads();
        if uses == sent_uses && reads.is_empty() && !is_due {
            continue;
        }
        sent_uses.clone_from(&uses);
        sent_at = now;
        let (_, members) = access.member_addresses(0);
        let others = members.iter().filter_map(|text| text.parse().ok());
        for address in others.filter(|address| *address != own_address) {
            let report = message::UseReport {
                uses: uses.clone(),
                gateways,
                reads: reads.clone(),
                // Registrars learn of leaving targets by watching each other.
                leaving: Vec::new(),
                ..Default::default()
            };
            clients
                .find(address)
                .send_one_way(envelope::Body::UseReport(report));
        }
    }
}
