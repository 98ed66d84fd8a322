//! What fake targets say in the heads of their answers. Not for: announcements.

use std::time;

use axum::{
    extract, middleware,
    response::{self, IntoResponse as _},
};

/// Header in which a target that is leaving says so in all its answers.
const LEAVING_HEADER: &str = "x-leaving";

/// Header with the id of a request, which the answer to it repeats.
const ID_HEADER: &str = "x-request-id";

/// Answers a request and states its id in the answer.
pub(crate) async fn state_id(
    request: extract::Request,
    next: middleware::Next,
) -> response::Response {
    let id = request.headers().get(ID_HEADER).cloned();
    let mut answer = next.run(request).await;
    if let Some(id) = id {
        answer.headers_mut().insert(ID_HEADER, id);
    }
    answer
}

/// Marks the answer of a target that is leaving.
pub(crate) fn mark_answer(mut answer: response::Response, leaving: bool) -> response::Response {
    if leaving {
        let value = http::HeaderValue::from_static("1");
        answer.headers_mut().insert(LEAVING_HEADER, value);
    }
    answer
}

/// Returns the answer of a target that turns a call away and wants a pause.
pub(crate) fn refuse_with_pause(pause_ms: u64) -> response::Response {
    let seconds = time::Duration::from_millis(pause_ms).as_secs_f64();
    let retry_after = [(http::header::RETRY_AFTER, seconds.to_string())];
    let status = http::StatusCode::SERVICE_UNAVAILABLE;
    (status, retry_after, "asks for a pause").into_response()
}
