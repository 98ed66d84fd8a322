//! HTTP routes of the operators' interface. Not for: the answers.

use std::{collections, net, sync};

use axum::{extract, response, response::IntoResponse as _, routing};

use crate::{
    fleet, grant,
    operator::{answer, change, status},
};

/// Largest request body: a sheet of 1 MiB as JSON text.
pub(crate) const MAX_BODY_BYTES: usize = 2 * 1_024 * 1_024 + 65_536;

/// Dependencies of the request handlers.
pub(crate) struct OperatorApi<C> {
    pub(crate) node: usher_types::NodeName,
    pub(crate) address: net::SocketAddr,
    pub(crate) operator_addresses: collections::BTreeMap<usher_types::NodeName, net::SocketAddr>,
    pub(crate) access: fleet::FleetAccess,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) service: sync::Arc<grant::SyncService<C>>,
    pub(crate) leader_state: sync::Arc<sync::Mutex<grant::LeaderState>>,
    pub(crate) stop: usher_kernel::StopSignal,
    pub(crate) clock: C,
}

/// Extractor of the shared state.
pub(crate) type ApiState<C> = extract::State<sync::Arc<OperatorApi<C>>>;

/// Builds the router of the operators' interface.
pub(crate) fn router<C>(api: sync::Arc<OperatorApi<C>>) -> axum::Router
where
    C: usher_types::ClockSource,
{
    axum::Router::new()
        .route("/v1/status", routing::get(status::read_status::<C>))
        .route(
            "/v1/config",
            routing::get(change::read_config::<C>).post(change::change_config::<C>),
        )
        .route("/v1/drain", routing::post(change::drain::<C>))
        .route("/v1/orders", routing::get(status::read_orders::<C>))
        .route("/v1/explain/{id}", routing::get(status::explain::<C>))
        .route("/healthz", routing::get(|| async { "ok\n" }))
        .route("/readyz", routing::get(read_ready::<C>))
        .layer(extract::DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(api)
}

/// Answers 200 while this node can renew routing rights, which requires a recent confirmation by
/// the leader.
async fn read_ready<C>(extract::State(api): ApiState<C>) -> response::Response
where
    C: usher_types::ClockSource,
{
    if api.stop.is_draining() {
        return answer::refuse(http::StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    let index = api.access.view(|state| state.index().get());
    let right = api.service.served().issuer.right(api.clock.now(), index);
    if right.is_zero() {
        return answer::refuse(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "this node has no recent confirmation by a leader",
        );
    }
    "ready\n".into_response()
}
