//! Tells the nearest registrar the work of this gateway, and learns that of the others.
//! Not for: choosing targets.

use std::{collections, sync, time};

use usher_wire::message::{self, envelope};

use crate::{core, dialect};

/// How often the work is told. The queues of engines that gateways must see last for a second.
const TELL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// How long the registrar may take; it is near and keeps the totals in memory.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Reports until the task is aborted.
pub(crate) async fn run<D, C>(core: sync::Arc<core::GatewayCore<D, C>>)
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    loop {
        tokio::time::sleep(TELL_INTERVAL).await;
        let client = {
            let nearest = core.nearest.lock();
            nearest
                .unwrap_or_else(sync::PoisonError::into_inner)
                .clone()
        };
        let Some(client) = client else {
            continue;
        };
        let report = message::UseReport {
            uses: own_loads(&core),
            gateways: 0,
            reads: own_reads(&core),
        };
        let body = envelope::Body::UseReport(report);
        match client.call(body, REPLY_TIMEOUT).await {
            Ok(envelope::Body::UseTotals(totals)) => {
                let others: collections::HashMap<_, _> = totals
                    .uses
                    .iter()
                    .map(|used| {
                        let mut tokens = usher_place::ClassTokens::default();
                        for (class, told) in tokens.iter_mut().zip(&used.prefill_tokens) {
                            *class = u64::from(*told);
                        }
                        let used_there = usher_place::GatewayLoad {
                            running: used.running,
                            prefill_tokens: tokens,
                            failing: used.failing,
                        };
                        (used.target, used_there)
                    })
                    .collect();
                core.loads.set_other_loads(&others);
                core.set_gateways(totals.gateways);
                let now = core.clock.now();
                let reads = totals.reads.iter().map(|read| usher_place::PartsRead {
                    parts: read.parts,
                    target: read.target,
                });
                core.with_engines(|policy| policy.merge_reads(reads, now));
            }
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(%error, "the work of other gateways is not known");
                core.loads.set_other_loads(&collections::HashMap::new());
            }
        }
    }
}

fn own_reads<D, C>(core: &core::GatewayCore<D, C>) -> Vec<message::PartsRead>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let reads = core.with_engines(usher_place::EnginePolicy::take_unreported);
    let reads = reads.into_iter().map(|read| message::PartsRead {
        parts: read.parts,
        target: read.target,
    });
    reads.collect()
}

fn own_loads<D, C>(core: &core::GatewayCore<D, C>) -> Vec<message::TargetUse>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let uses = core.loads.own_loads(core.clock.now()).into_iter();
    uses.map(|(name, used)| message::TargetUse {
        target: usher_place::text_key(name.as_str()),
        running: used.running,
        failing: used.failing,
        prefill_tokens: used
            .prefill_tokens
            .map(|tokens| u32::try_from(tokens).unwrap_or(u32::MAX))
            .to_vec(),
    })
    .collect()
}
