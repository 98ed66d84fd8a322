//! Changes by operators: configuration changes and drains. Not for: reading status.

use axum::{extract, response, response::IntoResponse as _};
use usher_wire::message::{self, state_command, state_outcome};

use crate::operator::{answer, api};

/// Body of `POST /v1/config`.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct ChangeRequest {
    operator: String,
    request_id: String,
    base_version: u64,
    sheet: String,
}

/// Body of `POST /v1/drain`.
#[derive(Debug, serde::Deserialize)]
pub(crate) struct DrainRequest {
    operator: String,
    target: String,
}

/// Returns the configuration with all accepted changes.
pub(crate) async fn read_config<C>(extract::State(api): api::ApiState<C>) -> response::Response
where
    C: usher_types::ClockSource,
{
    let read = api.access.read(|state| {
        let config = state.config();
        serde_json::json!({
            "version": config.version(),
            "operator": config.operator(),
            "sheet": config.sheet(),
        })
    });
    match read.await {
        Ok(body) => axum::Json(body).into_response(),
        Err(_) => answer::redirect(&api, "/v1/config"),
    }
}

/// Validates and proposes a configuration change.
pub(crate) async fn change_config<C>(
    extract::State(api): api::ApiState<C>,
    axum::Json(request): axum::Json<ChangeRequest>,
) -> response::Response
where
    C: usher_types::ClockSource,
{
    if let Err(errors) = usher_config::FleetSheet::parse(&request.sheet) {
        return answer::refuse(http::StatusCode::BAD_REQUEST, &errors.to_string());
    }
    if !api.access.leads() {
        return answer::redirect(&api, "/v1/config");
    }
    let kind = state_command::Kind::ConfigChange(message::ConfigChange {
        operator: request.operator,
        request_id: request.request_id,
        base_version: request.base_version,
        sheet: request.sheet,
    });
    match api.router.propose(kind).await {
        Ok(outcome) => config_answer(outcome.kind),
        Err(error) => answer::no_outcome(&error),
    }
}

fn config_answer(outcome: Option<state_outcome::Kind>) -> response::Response {
    match outcome {
        Some(state_outcome::Kind::Config(outcome)) => {
            let status = if outcome.accepted {
                http::StatusCode::OK
            } else {
                http::StatusCode::CONFLICT
            };
            let body = serde_json::json!({
                "accepted": outcome.accepted,
                "version": outcome.version,
                "operator": outcome.operator,
                "repeated": outcome.repeated,
            });
            (status, axum::Json(body)).into_response()
        }
        other => refused(other),
    }
}

/// Marks a target as leaving; if it is an engine, the leader sends it a drain order later.
pub(crate) async fn drain<C>(
    extract::State(api): api::ApiState<C>,
    axum::Json(request): axum::Json<DrainRequest>,
) -> response::Response
where
    C: usher_types::ClockSource,
{
    if request.operator.is_empty() {
        return answer::refuse(
            http::StatusCode::BAD_REQUEST,
            "the field `operator` is empty",
        );
    }
    if !api.access.leads() {
        return answer::redirect(&api, "/v1/drain");
    }
    let kind = state_command::Kind::MarkTarget(message::TargetMark {
        name: request.target.clone(),
        incarnation: 0,
        leaving: true,
        gone: false,
        operator: request.operator,
    });
    match api.router.propose(kind).await {
        Ok(message::StateOutcome {
            kind: Some(state_outcome::Kind::Done(_)),
        }) => {
            let body = serde_json::json!({ "target": request.target, "leaving": true });
            (http::StatusCode::ACCEPTED, axum::Json(body)).into_response()
        }
        Ok(outcome) => refused(outcome.kind),
        Err(error) => answer::no_outcome(&error),
    }
}

fn refused(outcome: Option<state_outcome::Kind>) -> response::Response {
    match outcome {
        Some(state_outcome::Kind::Refused(text)) => {
            answer::refuse(http::StatusCode::BAD_REQUEST, &text)
        }
        _ => answer::refuse(
            http::StatusCode::INTERNAL_SERVER_ERROR,
            "unexpected outcome of the command",
        ),
    }
}
