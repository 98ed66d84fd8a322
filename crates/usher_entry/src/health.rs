//! Health and readiness. Not for: metrics.

use axum::{extract, response, response::IntoResponse as _};

use crate::{core, parts};

/// Answers `GET /healthz`: the process runs.
pub(crate) async fn healthz() -> &'static str {
    "ok\n"
}

/// Answers `GET /readyz`: the load balancer may send callers here.
pub(crate) async fn readyz<P>(extract::State(core): core::CoreState<P>) -> response::Response
where
    P: parts::EntryParts,
{
    let reason = if core.stop.is_draining() {
        "draining\n"
    } else if !core.config.is_known() {
        "configuration is not known yet\n"
    } else if !core.has_right() {
        "no routing right\n"
    } else {
        return "ready\n".into_response();
    };
    (http::StatusCode::SERVICE_UNAVAILABLE, reason).into_response()
}
