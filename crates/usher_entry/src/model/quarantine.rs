//! Records the calls that break at engines, and refuses those whose prompts crash engines.
//!
//! Not for: the decision, which is in `usher_quarantine`.

use std::{sync, time};

use usher_quarantine::{
    BrokenCall, CallPhase, EngineProcess, PartId, PartQuarantine, QuarantineChange,
};
use usher_types::RunState;

use crate::{core, error::CallError, model::prompt, types};

/// A send of a call to an engine, as far as it matters when it breaks.
#[derive(Clone, Debug)]
pub(crate) struct SentCall {
    /// Id of the call on the engine.
    pub(crate) id: usher_types::RequestId,
    /// Parts of its prompt.
    pub(crate) parts: sync::Arc<Vec<PartId>>,
    pub(crate) target: usher_types::TargetName,
    pub(crate) incarnation: usher_types::IncarnationId,
    pub(crate) sent_at: time::Instant,
}

impl<P> core::EntryCore<P>
where
    P: types::EntryTypes,
{
    /// Records that the connection to an engine broke while it had a call.
    pub(crate) fn record_broken_call(&self, call: &SentCall, phase: CallPhase) {
        let now = self.now();
        let process = EngineProcess {
            engine: prompt::text_hash(call.target.as_str()),
            incarnation: call.incarnation.get(),
        };
        let send = format!("{} {} {}", call.id, call.target, call.incarnation);
        let times = (call.sent_at, now);
        let parts = call.parts.iter().copied();
        let broken = BrokenCall::new(prompt::text_hash(&send), process, parts, phase, times);
        tracing::info!(
            request = %call.id,
            target_name = %call.target,
            incarnation = %call.incarnation,
            %phase,
            elapsed_ms = now.saturating_duration_since(call.sent_at).as_millis(),
            "connection to an engine broke while it had a call"
        );
        self.change_quarantine(|quarantine| quarantine.record(broken, now));
    }

    /// Records that a call was answered completely: its parts crash no engine.
    pub(crate) fn record_complete_answer(&self, parts: &[PartId]) {
        let now = self.now();
        self.change_quarantine(|quarantine| quarantine.clear(parts, now));
    }

    /// Returns an error if a prompt has parts that crash engines; `run` says whether the call may
    /// have run.
    pub(crate) fn check_prompt(&self, parts: &[PartId], run: RunState) -> Result<(), CallError> {
        let now = self.now();
        self.change_quarantine(|quarantine| quarantine.expire(now));
        let quarantine = self.lock_quarantine();
        let Some(quarantined) = quarantine.find(parts) else {
            return Ok(());
        };
        self.metrics.add("entry.quarantined");
        let left = quarantined.until.saturating_duration_since(now);
        let message = "the prompt has parts that crash engines; calls with them are refused";
        Err(match run {
            RunState::NotRun => {
                CallError::unavailable("quarantined", message).with_retry_after(left)
            }
            _ => CallError::target("quarantined", message, run),
        })
    }

    fn change_quarantine(&self, change: impl FnOnce(&mut PartQuarantine) -> QuarantineChange) {
        let change = change(&mut self.lock_quarantine());
        for began in change.began {
            tracing::warn!(
                parts = began.to_text(),
                crashes = began.crashes,
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

    fn lock_quarantine(&self) -> sync::MutexGuard<'_, PartQuarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
