//! Health and readiness endpoints.
//!
//! Not for: metrics.

use axum::{extract, response, response::IntoResponse as _};

use crate::{core, types};

/// The body of `GET /readyz`.
#[derive(Debug, serde::Serialize)]
struct ReadyBody {
    ready: bool,
    /// Why the entry isn't ready.
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'static str>,
    /// Version of the configuration in use.
    config_version: usher_types::ConfigVersion,
}

/// Answers `GET /healthz`: the process is running.
pub(crate) async fn healthz() -> &'static str {
    "ok\n"
}

/// Answers `GET /readyz`: whether the load balancer may send callers to this entry.
pub(crate) async fn readyz<P>(extract::State(core): core::CoreState<P>) -> response::Response
where
    P: types::EntryTypes,
{
    let reason = if core.stop.is_draining() {
        Some("draining")
    } else if !core.config.is_known() {
        Some("configuration is not known yet")
    } else if !core.has_right() {
        Some("no routing right")
    } else {
        None
    };
    let status = match reason {
        None => http::StatusCode::OK,
        Some(_) => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = ReadyBody {
        ready: reason.is_none(),
        reason,
        config_version: core.config.current().version,
    };
    (status, axum::Json(body)).into_response()
}
