//! Records what ran at engines whose connections broke, and refuses calls that crash engines. Not
//! for: the decision, which is in `usher_quarantine`.

use std::{sync, time};

use usher_quarantine::{
    BrokenCall, CallPhase, EngineProcess, PartId, PartQuarantine, QuarantineChange,
};
use usher_roster::TargetEntry;

use crate::{answer, call, core, dialect};

impl<D, C> core::GatewayCore<D, C>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    /// Records that the connection to an engine broke while it had a model call, which was sent at
    /// `sent_at`.
    pub(crate) fn record_broken_call(
        &self,
        call: &call::RoutedCall,
        target: &TargetEntry,
        phase: CallPhase,
        sent_at: time::Instant,
    ) {
        if call.metadata.work.is_none() {
            return;
        }
        self.metrics.call_broken(&call.service, phase);
        let now = self.clock.now();
        let parts: Vec<_> = call.shared_parts.iter().map(PartId::to_string).collect();
        tracing::info!(
            request = %call.id,
            route = %call.route.name,
            target_name = %target.name,
            born_ms = target.born_ms,
            %phase,
            parts = parts.join(","),
            elapsed_ms = now.saturating_duration_since(sent_at).as_millis(),
            "connection to an engine broke while it had a call"
        );
        let process = EngineProcess {
            engine: usher_place::text_key(target.name.as_str()),
            incarnation: target.born_ms,
        };
        let send = format!("{} {} {}", call.id, target.name, target.born_ms);
        let broken = BrokenCall::new(
            usher_place::text_key(&send),
            process,
            call.shared_parts.iter().copied(),
            phase,
            (sent_at, now),
        );
        self.change_quarantine(|quarantine, now| quarantine.record(broken, now));
    }

    /// Records that a model call was answered completely: its parts crash no engine.
    pub(crate) fn record_complete_answer(&self, call: &call::RoutedCall) {
        if !call.shared_parts.is_empty() {
            self.change_quarantine(|quarantine, now| quarantine.clear(&call.shared_parts, now));
        }
    }

    /// Returns the refusal of a call whose prompt crashes engines.
    pub(crate) fn quarantine_refusal(
        &self,
        call: &call::RoutedCall,
    ) -> Option<answer::CallRefusal> {
        let quarantine = self.lock_quarantine();
        let quarantined = quarantine.find(&call.shared_parts)?;
        self.metrics.call_quarantined(&call.service);
        let left = quarantined
            .until
            .saturating_duration_since(self.clock.now());
        Some(answer::CallRefusal::Quarantined {
            parts: quarantined.to_text(),
            left,
        })
    }

    /// Changes the broken calls that are known, and logs what follows from that.
    pub(crate) fn change_quarantine(
        &self,
        change: impl FnOnce(&mut PartQuarantine, time::Instant) -> QuarantineChange,
    ) {
        let now = self.clock.now();
        let mut quarantine = self.lock_quarantine();
        let change = change(&mut quarantine, now);
        let count = quarantine.quarantined().len();
        drop(quarantine);
        self.metrics
            .quarantined
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        for began in change.began {
            tracing::warn!(
                parts = began.to_text(),
                crashes = began.crashes,
                left_ms = began.until.saturating_duration_since(now).as_millis(),
                "prompt parts crash engines; their calls are refused"
            );
        }
        for ended in change.ended {
            tracing::info!(
                parts = ended.to_text(),
                "calls with prompt parts are no longer refused"
            );
        }
    }

    pub(crate) fn lock_quarantine(&self) -> sync::MutexGuard<'_, PartQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
