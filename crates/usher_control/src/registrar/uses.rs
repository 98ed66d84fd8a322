//! Adds up the work that gateways have at targets, so that each knows that of the others.
//! Not for: choosing targets.

use std::{collections, sync, time};

use usher_wire::message::{self, envelope};

use crate::fleet;

/// How long a report counts. A gateway that is cut off has its calls answered or given up by then,
/// and reports come ten times as often.
const REPORT_LIFE: time::Duration = time::Duration::from_millis(1_500);

/// How often the work of the own gateways is told to other registrars when it changed.
const TELL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How often it is told when it didn't change, so that it still counts there.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(900);

type UseTable = collections::BTreeMap<u64, message::TargetUse>;

#[derive(Clone, Debug)]
struct HeldReport {
    uses: Vec<message::TargetUse>,
    at: time::Instant,
    /// Gateways whose work a registrar added up; 0 for the report of a gateway itself.
    gateways: u32,
}

/// The newest report of each sender; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct UseDesk<C> {
    reports: sync::Arc<sync::Mutex<collections::HashMap<usher_types::NodeName, HeldReport>>>,
    reads: sync::Arc<sync::Mutex<usher_roster::ReadLog>>,
    clock: C,
}

impl<C> UseDesk<C>
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

    /// Takes a report; returns the work of all other gateways.
    pub(crate) fn take(
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
        let held = HeldReport {
            uses: report.uses,
            at: self.clock.now(),
            gateways: report.gateways,
        };
        self.lock().insert(sender.clone(), held);
        let uses = self.total(|name, _| name != sender);
        let gateways = self.gateways(|_| true);
        message::UseTotals {
            uses,
            gateways,
            reads,
        }
    }

    /// Returns what the gateways that report here have read since this was last asked for.
    fn own_reads(&self) -> Vec<message::PartsRead> {
        self.lock_reads().take_unforwarded()
    }

    fn lock_reads(&self) -> sync::MutexGuard<'_, usher_roster::ReadLog> {
        self.reads
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Counts the gateways behind reports.
    fn gateways(&self, counts: impl Fn(&HeldReport) -> bool) -> u32 {
        let reports = self.lock();
        let counted = reports.values().filter(|held| counts(held));
        counted.map(|held| held.gateways.max(1)).sum()
    }

    /// Adds up the reports that count.
    fn total(
        &self,
        counts: impl Fn(&usher_types::NodeName, &HeldReport) -> bool,
    ) -> Vec<message::TargetUse> {
        let now = self.clock.now();
        let mut reports = self.lock();
        reports.retain(|_, held| now.saturating_duration_since(held.at) < REPORT_LIFE);
        let mut table = UseTable::new();
        let counted = reports.iter().filter(|(name, held)| counts(name, held));
        for used in counted.flat_map(|(_, held)| &held.uses) {
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
    ) -> sync::MutexGuard<'_, collections::HashMap<usher_types::NodeName, HeldReport>> {
        self.reports
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Tells the other registrars the work of the gateways that report here, until it is aborted.
pub(crate) async fn run<C>(
    desk: UseDesk<C>,
    access: fleet::FleetAccess,
    clients: sync::Arc<fleet::PeerClients>,
    own: std::net::SocketAddr,
) where
    C: usher_types::ClockSource,
{
    let mut told = Vec::new();
    let mut told_at = desk.clock.now();
    loop {
        tokio::time::sleep(TELL_INTERVAL).await;
        let now = desk.clock.now();
        let uses = desk.total(|_, held| held.gateways == 0);
        let gateways = desk.gateways(|held| held.gateways == 0);
        let is_due = gateways > 0 && now.saturating_duration_since(told_at) >= REPEAT_INTERVAL;
        let reads = desk.own_reads();
        if uses == told && reads.is_empty() && !is_due {
            continue;
        }
        told.clone_from(&uses);
        told_at = now;
        let (_, members) = access.member_addresses(0);
        let others = members.iter().filter_map(|text| text.parse().ok());
        for address in others.filter(|address| *address != own) {
            let report = message::UseReport {
                uses: uses.clone(),
                gateways,
                reads: reads.clone(),
            };
            clients
                .find(address)
                .send_one_way(envelope::Body::UseReport(report));
        }
    }
}
