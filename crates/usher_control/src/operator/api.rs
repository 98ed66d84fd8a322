//! The routes of the operators' interface. Not for: what they answer.

use std::{collections, net, sync};

use axum::{extract, response, response::IntoResponse as _, routing};

use crate::{
    fleet, grant,
    operator::{answer, change, status},
};

/// The largest body: a sheet of 1 MiB as JSON text.
const MAX_BODY_BYTES: usize = 2 * 1_024 * 1_024 + 65_536;

/// What the operators' requests work with.
pub(crate) struct OperatorApi<C> {
    pub(crate) node: usher_types::NodeName,
    pub(crate) address: net::SocketAddr,
    pub(crate) operators: collections::BTreeMap<usher_types::NodeName, net::SocketAddr>,
    pub(crate) access: fleet::FleetAccess,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) service: sync::Arc<grant::SyncService<C>>,
    pub(crate) desk: sync::Arc<sync::Mutex<grant::LeaderDesk>>,
    pub(crate) stop: usher_kernel::StopSignal,
    pub(crate) clock: C,
}

/// Shared state of the routes.
pub(crate) type ApiState<C> = extract::State<sync::Arc<OperatorApi<C>>>;

/// Makes the routes.
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

/// Answers 200 while this node may renew rights, which needs a leader that it has confirmed.
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
            "the leader isn't confirmed",
        );
    }
    "ready\n".into_response()
}
