//! Passes broken calls on between gateways and registrars. Not for: refusing calls.

use std::{sync, time};

use tokio::sync::watch;
use usher_quarantine::{BrokenCall, PartQuarantine, QuarantineChange};
use usher_wire::message;

/// The broken calls known to this registrar; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct BrokenCallRegistry<C> {
    quarantine: sync::Arc<sync::Mutex<PartQuarantine>>,
    /// Number of the last change of the calls.
    changes: sync::Arc<watch::Sender<u64>>,
    /// The calls that show why prompt parts are in quarantine, as of the last change of these parts.
    evidence: sync::Arc<watch::Sender<Vec<message::BrokenCall>>>,
    /// Identifies the run of this process; a cursor of another run is not valid here.
    epoch: u64,
    clock: C,
}

impl<C> BrokenCallRegistry<C>
where
    C: usher_types::ClockSource,
{
    /// Makes a registry with the calls that were known before a restart.
    pub(crate) fn new(lifetime: time::Duration, clock: C, last_known: &message::LastKnown) -> Self {
        let registry = Self {
            quarantine: sync::Arc::new(sync::Mutex::new(PartQuarantine::new(lifetime))),
            changes: sync::Arc::new(watch::Sender::new(0)),
            evidence: sync::Arc::new(watch::Sender::new(Vec::new())),
            epoch: usher_types::IncarnationSource::random().get(),
            clock,
        };
        registry.merge(&last_known.broken_calls);
        registry
    }

    /// Merges calls that a gateway or another registrar has sent.
    pub(crate) fn merge(&self, calls: &[message::BrokenCall]) {
        let now = self.clock.now();
        let calls = calls.iter();
        let calls = calls.map(|call| BrokenCall::from_message(call, now));
        self.change(|quarantine| quarantine.merge(calls, now));
    }

    /// Forgets calls whose lifetime is over.
    pub(crate) fn expire(&self) {
        let now = self.clock.now();
        self.change(|quarantine| quarantine.expire(now));
    }

    /// Merges the calls of a gateway's report; returns a reply with those that changed behind the
    /// position of the gateway.
    pub(crate) fn exchange(&self, report: &message::UseReport) -> message::UseTotals {
        self.merge(&report.broken_calls);
        let is_known = report.broken_calls_epoch == self.epoch;
        let cursor = is_known.then_some(report.broken_calls_cursor);
        let (broken_calls, broken_calls_cursor) = self.changes_since(cursor.unwrap_or_default());
        message::UseTotals {
            broken_calls,
            broken_calls_cursor,
            broken_calls_epoch: self.epoch,
            ..Default::default()
        }
    }

    /// Returns the calls that changed behind a position, and the new position.
    pub(crate) fn changes_since(&self, cursor: u64) -> (Vec<message::BrokenCall>, u64) {
        let now = self.clock.now();
        let quarantine = self.lock();
        let calls = quarantine.changes_since(cursor);
        let calls = calls.map(|call| call.to_message(now)).collect();
        (calls, quarantine.last_change())
    }

    /// Returns a receiver that is notified of each change.
    pub(crate) fn watch_changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns a receiver of the calls that a restart must not forget.
    pub(crate) fn watch_evidence(&self) -> watch::Receiver<Vec<message::BrokenCall>> {
        self.evidence.subscribe()
    }

    fn change(&self, change: impl FnOnce(&mut PartQuarantine) -> QuarantineChange) {
        let now = self.clock.now();
        let mut quarantine = self.lock();
        let change = change(&mut quarantine);
        if change != QuarantineChange::default() {
            let calls = quarantine.evidence();
            let calls = calls.map(|call| call.to_message(now)).collect();
            self.evidence.send_replace(calls);
        }
        let last_change = quarantine.last_change();
        drop(quarantine);
        self.changes.send_if_modified(|known| {
            let newer = last_change > *known;
            *known = last_change.max(*known);
            newer
        });
        for began in change.began {
            let (parts, crashes) = (began.to_text(), began.crashes);
            tracing::warn!(parts, crashes, "prompt parts crash engines");
        }
        for ended in change.ended {
            tracing::info!(
                parts = ended.to_text(),
                "prompt parts no longer count as crashing"
            );
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, PartQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
