//! Errors returned to callers, in the OpenAI format.
//!
//! Not for: errors between processes.

use std::time;

use axum::{response, response::IntoResponse};
use usher_types::RunState;

/// A refusal or failure of a call, as reported to its caller.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{message}")]
pub(crate) struct CallError {
    pub(crate) status: http::StatusCode,
    pub(crate) kind: &'static str,
    pub(crate) code: &'static str,
    pub(crate) param: Option<&'static str>,
    pub(crate) message: String,
    pub(crate) run: RunState,
    pub(crate) retry_after: Option<time::Duration>,
}

impl CallError {
    fn new(
        status: http::StatusCode,
        kind: &'static str,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            kind,
            code,
            param: None,
            message: message.into(),
            run: RunState::NotRun,
            retry_after: None,
        }
    }

    /// Returns the error of an invalid request.
    pub(crate) fn invalid(param: Option<&'static str>, message: impl Into<String>) -> Self {
        let status = http::StatusCode::BAD_REQUEST;
        Self {
            param,
            ..Self::new(status, "invalid_request_error", "invalid_request", message)
        }
    }

    pub(crate) fn not_found(message: impl Into<String>) -> Self {
        let status = http::StatusCode::NOT_FOUND;
        Self::new(status, "invalid_request_error", "not_found", message)
    }

    pub(crate) fn unknown_model(model: &str) -> Self {
        let status = http::StatusCode::NOT_FOUND;
        let message = format!("model {model:?} does not exist");
        Self {
            param: Some("model"),
            ..Self::new(status, "invalid_request_error", "model_not_found", message)
        }
    }

    pub(crate) fn too_large(limit: usize) -> Self {
        let status = http::StatusCode::PAYLOAD_TOO_LARGE;
        let message = format!("request body is longer than {limit} bytes");
        Self::new(status, "invalid_request_error", "body_too_large", message)
    }

    pub(crate) fn body_timeout() -> Self {
        let status = http::StatusCode::REQUEST_TIMEOUT;
        let message = "request body did not arrive within the time limit";
        Self::new(status, "invalid_request_error", "body_timeout", message)
    }

    /// Returns the error of a call refused because the entry or its targets are unavailable;
    /// nothing was sent.
    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        let status = http::StatusCode::SERVICE_UNAVAILABLE;
        Self {
            retry_after: Some(time::Duration::from_secs(1)),
            ..Self::new(status, "overloaded_error", code, message)
        }
    }

    /// Returns the error of a call that finds no room beside others; nothing was sent. Connections
    /// without progress for a second end for others.
    pub(crate) fn no_memory() -> Self {
        Self::unavailable("no_memory", "this entry has no memory for the call")
    }

    /// Returns the error of a call refused because a limit was reached.
    pub(crate) fn limited(code: &'static str, message: impl Into<String>) -> Self {
        let status = http::StatusCode::TOO_MANY_REQUESTS;
        Self::new(status, "rate_limit_error", code, message)
    }

    /// Returns the error of a failed target.
    pub(crate) fn target(code: &'static str, message: impl Into<String>, run: RunState) -> Self {
        let status = http::StatusCode::BAD_GATEWAY;
        Self {
            run,
            ..Self::new(status, "server_error", code, message)
        }
    }

    /// Returns the error of a call whose deadline passed while it was running.
    pub(crate) fn deadline() -> Self {
        let status = http::StatusCode::GATEWAY_TIMEOUT;
        let message = "the deadline passed before the answer began";
        Self {
            run: RunState::Unknown,
            ..Self::new(status, "timeout_error", "deadline_passed", message)
        }
    }

    /// Returns the error of a call whose key belongs to a call that can't be run again.
    pub(crate) fn key(
        status: http::StatusCode,
        code: &'static str,
        message: impl Into<String>,
        run: RunState,
    ) -> Self {
        Self {
            run,
            ..Self::new(status, "idempotency_error", code, message)
        }
    }

    pub(crate) fn with_retry_after(mut self, wait: time::Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Reports the call as possibly run if an earlier attempt may have run it.
    pub(crate) fn after_attempts(mut self, may_have_run: bool) -> Self {
        if may_have_run {
            self.run = RunState::Unknown;
        }
        self
    }

    /// Returns the response body, which is also the last event of a broken stream.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": self.kind,
                "code": self.code,
                "param": self.param,
            },
            "run": self.run,
        })
    }
}

impl IntoResponse for CallError {
    fn into_response(self) -> response::Response {
        let mut response = (self.status, axum::Json(self.to_json())).into_response();
        let headers = response.headers_mut();
        let run = match self.run {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
        };
        headers.insert("x-run", http::HeaderValue::from_static(run));
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(http::header::RETRY_AFTER, seconds.into());
        }
        response
    }
}
