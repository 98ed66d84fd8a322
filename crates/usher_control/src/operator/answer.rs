//! Error and redirect answers shared by all operator requests. Not for: their contents.

use axum::{response, response::IntoResponse as _};

use crate::{error, operator::api};

/// Returns an error answer with a status and a text.
pub(crate) fn refuse(status: http::StatusCode, text: &str) -> response::Response {
    (status, axum::Json(serde_json::json!({ "error": text }))).into_response()
}

/// Redirects the operator to the leader, or answers that none is known.
pub(crate) fn redirect<C>(api: &api::OperatorApi<C>, path: &str) -> response::Response
where
    C: usher_types::ClockSource,
{
    let leader = api.access.status().leader;
    let address = leader.and_then(|(name, _)| api.operator_addresses.get(&name).copied());
    match address {
        Some(address) if address != api.address => (
            http::StatusCode::TEMPORARY_REDIRECT,
            [(http::header::LOCATION, format!("http://{address}{path}"))],
        )
            .into_response(),
        _ => refuse(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "no leader is known; try again",
        ),
    }
}

/// Answers a command without an outcome; `run` in the body says whether it may take effect.
pub(crate) fn no_outcome(error: &error::CommandError) -> response::Response {
    let run = match error {
        error::CommandError::Unknown(_) => usher_types::RunState::Unknown,
        _ => usher_types::RunState::NotRun,
    };
    let status = match error {
        error::CommandError::Invalid(_) => http::StatusCode::BAD_REQUEST,
        _ => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = serde_json::json!({ "error": error.to_string(), "run": run });
    (status, axum::Json(body)).into_response()
}
