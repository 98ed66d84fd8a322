//! Hands a stream over from its prefill engine to its decode engine.
//!
//! Not for: resuming a stream after a fault.

use std::{net, sync, time};

use usher_policy::TargetSlot;

use crate::{
    attempt::AttemptGuard,
    core,
    model::{relay, stream},
    policy::DecisionPolicy as _,
    types,
};

/// Time limit for transferring the KV cache of one stream; after it the stream continues on its
/// prefill engine.
const HANDOVER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Parameters of one handover.
pub(super) struct HandoverPlan {
    /// Engine that holds the KV cache.
    source: usher_types::TargetName,
    from: net::SocketAddr,
    request: stream::EngineRequest,
    stall: time::Duration,
    decode_slot: TargetSlot,
    incarnation: usher_types::IncarnationId,
}

impl<P> relay::Relay<P>
where
    P: types::EntryTypes,
{
    /// Remembers the decode engine that takes over after the first token.
    pub(super) fn plan_handover(&mut self, decision: &usher_policy::RouteDecision) {
        self.decode_target = None;
        let (Some(prefill), Ok(decode)) = (decision.prefill, decision.target) else {
            return;
        };
        let routing = self.core.routing();
        let name = routing.policy.target(prefill).map(|info| &info.name);
        let current = self.live.as_ref().map(|live| live.target().0);
        if name.is_some() && name == current {
            self.decode_target = Some(decode);
        }
    }

    /// Starts the handover if the first token was delivered and the entry holds the routing right.
    pub(super) fn begin_handover(&mut self) {
        if self.delivered == 0 || !self.core.has_right() {
            return;
        }
        let Some(slot) = self.decode_target.take() else {
            return;
        };
        let Some(live) = self.live.as_ref() else {
            return;
        };
        let (source, from) = (live.target().0.clone(), live.address());
        let incarnation = {
            let routing = self.core.routing();
            routing.policy.target(slot).map(|info| info.incarnation)
        };
        let (Some(incarnation), Some(guard)) = (incarnation, self.begin_decode(slot)) else {
            return;
        };
        let plan = HandoverPlan {
            source,
            from,
            request: stream::EngineRequest {
                resume_from: self.delivered,
                ..self.engine.clone()
            },
            stall: self.stall_timeout(),
            decode_slot: slot,
            incarnation,
        };
        self.core.metrics.add("entry.handovers");
        self.handover_tasks
            .spawn(hand_over_stream(self.core.clone(), guard, plan));
    }

    fn begin_decode(&mut self, slot: TargetSlot) -> Option<AttemptGuard<P>> {
        self.request.delivered = usher_types::TokenCount::new(self.delivered);
        self.begin(slot)
    }

    /// Switches to the stream of the decode engine, or keeps the current one if the handover
    /// failed.
    pub(super) fn end_handover(&mut self, result: Result<stream::LiveStream<P>, String>) {
        match result {
            Ok(live) => {
                self.handed_over = true;
                if let Some(old) = self.live.replace(live) {
                    old.hand_over();
                }
            }
            Err(message) => {
                self.core.metrics.add("entry.handovers.failed");
                tracing::info!(
                    request = %self.identity.id, message,
                    "handover failed; the stream stays on its prefill engine"
                );
            }
        }
    }
}

/// Transfers the KV cache to the decode engine and opens the stream there.
async fn hand_over_stream<P>(
    core: sync::Arc<core::EntryCore<P>>,
    guard: AttemptGuard<P>,
    plan: HandoverPlan,
) -> Result<stream::LiveStream<P>, String>
where
    P: types::EntryTypes,
{
    let transferred =
        tokio::time::timeout(HANDOVER_TIMEOUT, transfer_cache(&core, &guard, &plan)).await;
    transferred.unwrap_or_else(|_| {
        Err(format!(
            "KV cache transfer timed out after {HANDOVER_TIMEOUT:?}"
        ))
    })?;
    check_target(&core, &guard, &plan)?;
    let opened = stream::LiveStream::open(core, guard, plan.request, plan.stall).await;
    opened.map_err(|failure| failure.message)
}

/// Checks that the decode engine may still receive new work. The transfer can outlast the routing
/// right, and the engine can start leaving or restart during it.
fn check_target<P>(
    core: &core::EntryCore<P>,
    guard: &AttemptGuard<P>,
    plan: &HandoverPlan,
) -> Result<(), String>
where
    P: types::EntryTypes,
{
    if !core.has_right() {
        return Err("routing right expired during the KV cache transfer".to_owned());
    }
    let routing = core.routing();
    let unchanged = routing.policy.target(plan.decode_slot).is_some_and(|info| {
        info.name == guard.name && info.incarnation == plan.incarnation && !info.leaving
    });
    let live = routing.live_engines(guard.region.as_str());
    if unchanged && live.contains(&(guard.name.clone(), guard.address)) {
        Ok(())
    } else {
        Err("decode engine left or restarted during the KV cache transfer".to_owned())
    }
}

/// Exports the KV cache on the prefill engine and imports it on the decode engine.
///
/// The cache goes directly between the engines; only its description passes through the entry.
async fn transfer_cache<P>(
    core: &core::EntryCore<P>,
    guard: &AttemptGuard<P>,
    plan: &HandoverPlan,
) -> Result<(), String>
where
    P: types::EntryTypes,
{
    let export_body = serde_json::json!({ "request": plan.request.id });
    let exported = post(core, &plan.source, plan.from, "/v1/kv/export", &export_body).await?;
    let mut description: serde_json::Value =
        serde_json::from_slice(&exported).map_err(|error| error.to_string())?;
    if let Some(fields) = description.as_object_mut() {
        fields.insert("from".to_owned(), plan.from.to_string().into());
    }
    post(
        core,
        &guard.name,
        guard.address,
        "/v1/kv/import",
        &description,
    )
    .await?;
    Ok(())
}

async fn post<P>(
    core: &core::EntryCore<P>,
    engine: &usher_types::TargetName,
    address: net::SocketAddr,
    path: &str,
    body: &serde_json::Value,
) -> Result<bytes::Bytes, String>
where
    P: types::EntryTypes,
{
    let incarnation = core.open_incarnation(engine);
    let incarnation = incarnation.ok_or_else(|| format!("{engine} wants a pause or has left"))?;
    let request = http::Request::post(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(http_body_util::Full::from(body.to_string()))
        .map_err(|error| error.to_string())?;
    let answer = core.client.exchange(request).await;
    let answer = answer.map_err(|error| error.to_string())?;
    core.record_head(engine, incarnation, &answer);
    match answer.status() {
        http::StatusCode::OK => Ok(answer.into_body()),
        status => Err(format!("engine answered {path} with status {status}")),
    }
}
