//! Reports the load of this gateway to the nearest registrar and gets that of the other gateways.
//! Not for: choosing targets.

use std::{collections, sync, time};

use usher_quarantine::BrokenCall;
use usher_wire::message::{self, envelope};

use crate::{core, dialect, usage};

/// Interval between reports. The engine queues that gateways must detect last for about a second.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time within which the registrar must reply; it is near and keeps the totals in memory.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Exchanges loads until the task is aborted.
pub(crate) async fn run<D, C>(core: sync::Arc<core::GatewayCore<D, C>>)
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let mut position = CallPosition::default();
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        core.change_quarantine(usher_quarantine::PartQuarantine::expire);
        let client = {
            let nearest_registrar = core.nearest_registrar.lock();
            nearest_registrar
                .unwrap_or_else(sync::PoisonError::into_inner)
                .clone()
        };
        let Some(client) = client else {
            continue;
        };
        let reads = own_reads(&core);
        let reported = reads.len();
        let (broken_calls, last_change) = own_broken_calls(&core, &position);
        let usage = core.usage.as_ref();
        let usage = usage
            .map(usage::GatewayUsage::unconfirmed)
            .unwrap_or_default();
        let report = message::UseReport {
            uses: own_loads(&core),
            gateways: 0,
            reads,
            leaving: leaving_targets(&core),
            broken_calls,
            broken_calls_epoch: position.epoch,
            broken_calls_cursor: position.cursor,
            usage: usage.clone(),
        };
        let sent_at = core.clock.now();
        let body = envelope::Body::UseReport(report);
        match client.call(body, REPLY_TIMEOUT).await {
            Ok(envelope::Body::UseTotals(totals)) => {
                let others: collections::HashMap<_, _> = totals
                    .uses
                    .iter()
                    .map(|total| {
                        let mut tokens = usher_place::ClassTokens::default();
                        for (class, reported) in tokens.iter_mut().zip(&total.prefill_tokens) {
                            *class = u64::from(*reported);
                        }
                        let load = usher_place::GatewayLoad {
                            running: total.running,
                            prefill_tokens: tokens,
                            failing: total.failing,
                        };
                        (total.target, load)
                    })
                    .collect();
                core.loads.set_other_loads(&others);
                core.loads.record_exchange(core.clock.now());
                core.set_gateways(totals.gateways);
                position.advance(&totals, last_change);
                core.change_quarantine(|quarantine, now| {
                    let calls = totals.broken_calls.iter();
                    quarantine.merge(calls.map(|call| BrokenCall::from_message(call, now)), now)
                });
                let now = core.clock.now();
                if let Some(counts) = &core.usage {
                    counts.apply_reply(&usage, &totals, sent_at, now);
                }
                let reads = totals.reads.iter().map(|read| usher_place::PrefixRead {
                    prefix: read.parts,
                    target: read.target,
                });
                core.with_engine_policy(|policy| {
                    policy.mark_reported(reported);
                    policy.merge_reads(reads, now);
                });
            }
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(%error, "load exchange with the registrar failed; the load of other gateways is unknown");
                core.loads.set_other_loads(&collections::HashMap::new());
            }
        }
    }
}

/// How far this gateway and a registrar know each other's broken calls.
#[derive(Clone, Copy, Debug, Default)]
struct CallPosition {
    /// Run of the registrar.
    epoch: u64,
    /// Position in the changes of the registrar.
    cursor: u64,
    /// Number of the last own change that the registrar knows.
    acknowledged: u64,
}

impl CallPosition {
    /// Moves to the position of a reply to a report with the own changes up to `last_change`. A
    /// registrar of another run gets all own ones again.
    fn advance(&mut self, totals: &message::UseTotals, last_change: u64) {
        let is_known = self.epoch == totals.broken_calls_epoch;
        *self = Self {
            epoch: totals.broken_calls_epoch,
            cursor: totals.broken_calls_cursor,
            acknowledged: if is_known { last_change } else { 0 },
        };
    }
}

/// Returns the broken calls that this gateway has to report, and the number of the last change.
fn own_broken_calls<D, C>(
    core: &core::GatewayCore<D, C>,
    position: &CallPosition,
) -> (Vec<message::BrokenCall>, u64)
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let now = core.clock.now();
    let quarantine = core.lock_quarantine();
    let calls = quarantine.own_changes_since(position.acknowledged);
    let calls = calls.map(|call| call.to_message(now)).collect();
    (calls, quarantine.last_change())
}

fn own_reads<D, C>(core: &core::GatewayCore<D, C>) -> Vec<message::PartsRead>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let reads = core.with_engine_policy(usher_place::EnginePolicy::unreported);
    let reads = reads.into_iter().map(|read| message::PartsRead {
        parts: read.prefix,
        target: read.target,
    });
    reads.collect()
}

fn leaving_targets<D, C>(core: &core::GatewayCore<D, C>) -> Vec<message::LeavingTarget>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let targets = core.leaving_targets().into_iter();
    let targets = targets.map(|(name, born_ms)| message::LeavingTarget {
        name: name.to_string(),
        born_ms,
    });
    targets.collect()
}

fn own_loads<D, C>(core: &core::GatewayCore<D, C>) -> Vec<message::TargetUse>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let loads = core.loads.own_loads(core.clock.now()).into_iter();
    loads
        .map(|(name, load)| message::TargetUse {
            target: usher_place::text_key(name.as_str()),
            running: load.running,
            failing: load.failing,
            prefill_tokens: class_tokens(&load.prefill_tokens),
        })
        .collect()
}

/// Returns the tokens of each class up to the last one that has any.
fn class_tokens(tokens: &usher_place::ClassTokens) -> Vec<u32> {
    let used = tokens.iter().rposition(|tokens| *tokens > 0);
    let used = tokens.iter().take(used.map_or(0, |last| last + 1));
    used.map(|tokens| u32::try_from(*tokens).unwrap_or(u32::MAX))
        .collect()
}
