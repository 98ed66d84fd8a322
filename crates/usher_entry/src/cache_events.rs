//! Polls the cache events of engines.
//!
//! Not for: their effect on routing.

use std::{net, sync, time};

use futures_util::StreamExt as _;
use usher_policy::{CacheEvent, CacheEventKind};

use crate::{core, policy::DecisionPolicy as _, types};

/// Timeout of one poll; the next poll returns the events that this one missed.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Maximum number of engines polled concurrently.
const MAX_PARALLEL_READS: usize = 8;

#[derive(serde::Deserialize)]
struct EventPage {
    next: u64,
    events: Vec<EventView>,
}

#[derive(serde::Deserialize)]
struct EventView {
    seq: u64,
    kind: String,
    prefix: String,
}

/// Polls the engines in the entry's region until the process stops.
pub(crate) async fn poll_cache_events<P>(core: sync::Arc<core::EntryCore<P>>)
where
    P: types::EntryTypes,
{
    let interval = core.options.cache_poll;
    if interval.is_zero() {
        return;
    }
    loop {
        tokio::select! {
            () = core.stop.stopped() => return,
            () = tokio::time::sleep(interval) => {}
        }
        let engines = core.routing().live_engines(core.options.region.as_str());
        let core = &core;
        futures_util::stream::iter(engines)
            .for_each_concurrent(MAX_PARALLEL_READS, |(name, address)| async move {
                poll_engine(core, &name, address).await;
            })
            .await;
    }
}

async fn poll_engine<P>(
    core: &core::EntryCore<P>,
    name: &usher_types::TargetName,
    address: net::SocketAddr,
) where
    P: types::EntryTypes,
{
    let Some(incarnation) = core.open_incarnation(name) else {
        return;
    };
    let since = core.routing().policy.next_cache_event(name);
    let uri = format!("http://{address}/v1/cache/events?since={since}");
    let request = http::Request::get(uri).body(http_body_util::Full::default());
    let Ok(request) = request else {
        return;
    };
    let read = tokio::time::timeout(READ_TIMEOUT, core.client.exchange(request)).await;
    let Ok(Ok(answer)) = read else {
        return;
    };
    core.record_head(name, incarnation, &answer);
    if answer.status() != http::StatusCode::OK {
        return;
    }
    let Ok(page) = serde_json::from_slice::<EventPage>(answer.body()) else {
        tracing::debug!(target = %name, "failed to parse cache events");
        return;
    };
    let events: Vec<_> = page.events.iter().filter_map(to_event).collect();
    let mut routing = core.routing();
    routing.policy.on_cache_events(name, &events, page.next);
}

fn to_event(view: &EventView) -> Option<CacheEvent> {
    let kind = match view.kind.as_str() {
        "add" => CacheEventKind::Add,
        "evict" => CacheEventKind::Evict,
        _ => return None,
    };
    Some(CacheEvent {
        seq: view.seq,
        kind,
        hash: u64::from_str_radix(&view.prefix, 16).ok()?,
    })
}
