//! Serves the readiness check and the metrics of a gateway. Not for: calls.

use std::sync;

use usher_memory::PhaseCost;

use crate::{answer, body, core, dialect};

/// Path of the metrics, on the same port as the readiness check.
const METRICS_PATH: &str = "/metrics";

/// Answers a request of a load balancer or of a metrics collector within the memory for these.
pub(crate) async fn serve<D, C>(
    core: &sync::Arc<core::GatewayCore<D, C>>,
    stop: &usher_kernel::StopSignal,
    request: http::Request<hyper::body::Incoming>,
    memory: usher_intake::ConnectionMemory,
) -> http::Response<body::AnswerBody>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let (parts, _) = request.into_parts();
    let shape = usher_intake::head_shape(&parts);
    let has_room = memory.begin_call(shape, PhaseCost::SMALL_ANSWER).await;
    let answer = answer(core, stop, parts.uri.path());
    let bytes = http_body::Body::size_hint(answer.body()).lower();
    let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
    let is_small = bytes <= PhaseCost::SMALL_ANSWER;
    if has_room && (is_small || memory.charge_answer(bytes).await) {
        return answer;
    }
    answer::CallRefusal::NoMemory.into_answer()
}

fn answer<D, C>(
    core: &sync::Arc<core::GatewayCore<D, C>>,
    stop: &usher_kernel::StopSignal,
    path: &str,
) -> http::Response<body::AnswerBody>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let (status, text) = if path == METRICS_PATH {
        core.metrics.set_memory(&core.memory, &core.check_memory);
        (http::StatusCode::OK, core.metrics.render())
    } else if path != core.dialect.ready_path() {
        (http::StatusCode::NOT_FOUND, String::new())
    } else if core.is_ready() && !stop.is_draining() {
        (http::StatusCode::OK, "ready\n".to_owned())
    } else {
        (
            http::StatusCode::SERVICE_UNAVAILABLE,
            "not ready\n".to_owned(),
        )
    };
    let mut answer = http::Response::new(body::AnswerBody::complete(text));
    *answer.status_mut() = status;
    answer
}
