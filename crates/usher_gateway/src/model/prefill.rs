//! Has an engine read the prompt of a model call. Not for: generating the answer.

use std::{sync, time};

use usher_quarantine::CallPhase;
use usher_roster::TargetEntry;

use crate::{
    call, core, dialect,
    model::{admission, placement},
    send,
};

/// A failed prefill.
pub(super) struct FailedPrefill {
    pub(super) text: String,
    /// Whether the engine has received the call.
    pub(super) reached: bool,
}

/// Sends the prompt to an engine, and returns the handle under which it is held there.
pub(super) async fn prefill<D, C>(
    core: &sync::Arc<core::GatewayCore<D, C>>,
    call: &call::RoutedCall,
    log: &mut call::CallLog,
    placed: &placement::PlacedCall,
) -> Result<String, FailedPrefill>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let failed = |reached| move |text| FailedPrefill { text, reached };
    let options = send::SendOptions {
        urgency: Some(placed.urgency),
        copy_from: placed.copy_from,
        ..send::SendOptions::new(dialect::SendStep::Prefill)
    };
    let target = &placed.target;
    let mut wait = admission::WaitGuard::start(core, call, placed);
    let result = send::send(core, call, target, options).await;
    let answer = match result {
        send::SendResult::Answer(answer) => answer,
        send::SendResult::NotSent(text) => return Err(failed(false)(text)),
        send::SendResult::NotRun(text) | send::SendResult::Broken(text) => {
            return Err(failed(true)(text));
        }
    };
    let sent_at = answer.sent_at;
    let read = answer.read_own().await.map_err(|fault| {
        core.record_lost(&target.name);
        if fault.is_cut_off() {
            core.record_broken_call(call, target, CallPhase::Prefill, sent_at);
        }
        failed(true)(fault.to_string())
    });
    let (status, body) = read?;
    if !status.is_success() {
        let text = format!("prefill failed with status {}", status.as_u16());
        return Err(failed(true)(text));
    }
    let handle = core.dialect.read_handle(&body);
    let handle =
        handle.ok_or_else(|| failed(true)("the prefill answer has no KV handle".to_owned()))?;
    log.record_send(&target.name, "prompt read");
    if let Some(wait) = &mut wait {
        wait.served = true;
    }
    if let Some(sample) = &placed.sample {
        record_time(core, call, sample, sent_at);
    }
    record_read(core, call, target);
    Ok(handle)
}

pub(super) fn record_read<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    target: &TargetEntry,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    if let Some(work) = &call.metadata.work {
        let now = core.clock.now();
        core.with_engine_policy(|policy| policy.record_read(&target.name, work, now));
    }
}

/// Records how long an engine took, for the expected times of later calls.
pub(super) fn record_time<D, C>(
    core: &core::GatewayCore<D, C>,
    call: &call::RoutedCall,
    sample: &usher_place::PlannedSample,
    sent_at: time::Instant,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let elapsed = core.clock.now().saturating_duration_since(sent_at);
    core.with_engine_policy(|policy| policy.record_time(&call.service, sample, elapsed));
}
