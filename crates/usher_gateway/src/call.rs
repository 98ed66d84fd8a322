//! The path of a call from its arrival to its answer. Not for: single sends.

use std::{sync, time};

use http_body_util::BodyExt as _;
use tokio::time as tokio_time;
use usher_route::RouteRule;

use crate::{answer, body, core, dialect, model, plain};

/// How much earlier than the deadline of a call the gateway gives up, so that its answer arrives.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(40);

/// How long a caller waits that states no patience; the timeout of the route is shorter.
const DEFAULT_PATIENCE: time::Duration = time::Duration::from_secs(60);

/// How long a call waits at a gateway that has just started and has no routes. Registrars that were
/// restarted with it are there after some 0.4 s; callers that were sent away came back a second later.
const FIRST_ROUTES_WAIT: time::Duration = time::Duration::from_millis(800);

/// The part of the caller's patience that this wait may use at most: one in this number.
const FIRST_ROUTES_PART: u32 = 6;

pub(crate) type CallAnswer = http::Response<body::AnswerBody>;

/// A call that was read and has a route.
#[derive(Debug)]
pub(crate) struct RoutedCall {
    pub(crate) id: usher_types::RequestId,
    pub(crate) mark: dialect::CallMark,
    pub(crate) route: sync::Arc<RouteRule>,
    pub(crate) service: usher_types::ServiceName,
    pub(crate) method: http::Method,
    pub(crate) uri: http::Uri,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) arrived: tokio_time::Instant,
    /// When the call ends in any case.
    pub(crate) deadline: tokio_time::Instant,
}

impl RoutedCall {
    /// Returns the time left.
    pub(crate) fn time_left(&self) -> time::Duration {
        let now = tokio_time::Instant::now();
        self.deadline.saturating_duration_since(now)
    }
}

/// What happened to a call; written as one line when the call ends, also when its caller leaves.
#[derive(Debug)]
pub(crate) struct CallLog {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) service: String,
    pub(crate) version: u64,
    pub(crate) arrived: tokio_time::Instant,
    pub(crate) first_byte: Option<time::Duration>,
    /// Targets that the call was sent to, with the outcome of each send.
    pub(crate) sends: Vec<String>,
    /// Expected times of the chosen engines when they were chosen.
    pub(crate) expected_ms: Vec<u128>,
    /// Sends after which the call may have run.
    pub(crate) runs: u32,
    /// Whether a send is under way that may run the call.
    pub(crate) is_running: bool,
    pub(crate) status: u16,
    pub(crate) metrics: crate::metrics::GatewayMetrics,
    ended: bool,
}

impl CallLog {
    fn new(metrics: crate::metrics::GatewayMetrics, arrived: tokio_time::Instant) -> Self {
        metrics.running.inc();
        Self {
            id: String::new(),
            route: String::new(),
            service: String::new(),
            version: 0,
            arrived,
            first_byte: None,
            sends: Vec::new(),
            expected_ms: Vec::new(),
            runs: 0,
            is_running: false,
            status: 0,
            metrics,
            ended: false,
        }
    }

    /// Notes the outcome of a send.
    pub(crate) fn note_send(&mut self, target: &usher_types::TargetName, outcome: &str) {
        let elapsed = self.arrived.elapsed().as_millis();
        self.sends
            .push(format!("{target}: {outcome} at {elapsed} ms"));
    }

    /// Notes the head of the answer.
    pub(crate) fn note_head(&mut self, status: http::StatusCode) {
        self.status = status.as_u16();
        self.first_byte
            .get_or_insert_with(|| self.arrived.elapsed());
    }

    /// Writes the line.
    pub(crate) fn end(&mut self, outcome: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let total = self.arrived.elapsed();
        let first = self.first_byte.unwrap_or(total);
        self.metrics
            .call_ended(&self.route, self.status, first, total);
        self.metrics.running.dec();
        tracing::info!(
            request = %self.id,
            route = %self.route,
            service = %self.service,
            version = self.version,
            status = self.status,
            first_ms = first.as_millis(),
            total_ms = total.as_millis(),
            sends = ?self.sends,
            expected_ms = ?self.expected_ms,
            outcome,
            "call ended"
        );
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        self.end("the caller left");
    }
}

/// Answers a call.
pub(crate) async fn serve<D, C>(
    core: sync::Arc<core::GatewayCore<D, C>>,
    request: http::Request<hyper::body::Incoming>,
) -> CallAnswer
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let arrived = tokio_time::Instant::now();
    let mut log = CallLog::new(core.metrics.clone(), arrived);
    let routed = route(&core, request, &mut log).await;
    let answered = match routed {
        Ok(call) => {
            let call = sync::Arc::new(call);
            let deadline = call.deadline;
            let run = async {
                if call.route.kind.is_stream() {
                    model::run(&core, &call, &mut log).await
                } else {
                    plain::run(&core, &call, &mut log).await
                }
            };
            match tokio_time::timeout_at(deadline, run).await {
                Ok(Ok(model::Answered::Whole(answer))) => {
                    log.note_head(answer.status());
                    log.end("answered");
                    return answer;
                }
                Ok(Ok(model::Answered::Stream(stream))) => {
                    return stream.start(core, call, log);
                }
                Ok(Err(refusal)) => Err(refusal),
                Err(_) if log.runs > 0 || log.is_running => Err(answer::CallRefusal::Late),
                Err(_) => Err(answer::CallRefusal::LateNotRun),
            }
        }
        Err(refusal) => Err(refusal),
    };
    let answered: Result<CallAnswer, _> = answered;
    match answered {
        Ok(answer) => answer,
        Err(refusal) => {
            log.note_head(refusal.status());
            log.end(&refusal.to_string());
            refusal.into_answer()
        }
    }
}

async fn route<D, C>(
    core: &core::GatewayCore<D, C>,
    request: http::Request<hyper::body::Incoming>,
    log: &mut CallLog,
) -> Result<RoutedCall, answer::CallRefusal>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let (parts, body) = request.into_parts();
    let mark = core.dialect.read_call(&parts.headers);
    if let Some(id) = &mark.id {
        log.id = id.to_string();
    }
    let head = head_bytes(&parts);
    let patience = mark.patience.unwrap_or(DEFAULT_PATIENCE);
    let limit = FIRST_ROUTES_WAIT.min(patience / FIRST_ROUTES_PART);
    let table = core.first_routes(limit).await;
    let table = table.ok_or(answer::CallRefusal::NoRoutes)?;
    log.version = table.version().get();
    let limit = table.sheet().limits.head_bytes;
    if head > limit {
        return Err(answer::CallRefusal::HeadTooLong { head, limit });
    }
    let host = parts
        .headers
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let route = table
        .find(host, parts.uri.path())
        .ok_or(answer::CallRefusal::NoRoute)?;
    log.route.clone_from(&route.name);
    let id = mark.id.clone().ok_or(answer::CallRefusal::NoId)?;
    let service = route
        .service_of(usher_place::text_key(id.as_str()))
        .ok_or(answer::CallRefusal::NoRoute)?
        .clone();
    log.service = service.to_string();
    let patience = patience.min(route.timeout);
    let deadline = log.arrived + patience.saturating_sub(ANSWER_MARGIN);
    let limit = table.sheet().limits.body_bytes;
    let body = read_body(body, limit, deadline).await?;
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    headers.remove(http::header::EXPECT);
    core.dialect.clear(&mut headers);
    Ok(RoutedCall {
        id,
        mark,
        route: route.clone(),
        service,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers,
        body,
        arrived: log.arrived,
        deadline,
    })
}

async fn read_body(
    body: hyper::body::Incoming,
    limit: usize,
    deadline: tokio_time::Instant,
) -> Result<bytes::Bytes, answer::CallRefusal> {
    use http_body::Body as _;
    if body.size_hint().lower() > limit as u64 {
        return Err(answer::CallRefusal::TooLong { limit });
    }
    let read = http_body_util::Limited::new(body, limit).collect();
    match tokio_time::timeout_at(deadline, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(answer::CallRefusal::TooLong { limit })
        }
        Ok(Err(_)) | Err(_) => Err(answer::CallRefusal::NoBody),
    }
}

/// Returns the size of a head as its caller wrote it at least: without spaces that may be left out.
fn head_bytes(parts: &http::request::Parts) -> usize {
    const LINE_BYTES: usize = " HTTP/1.1\r\n".len() + 1;
    const HEADER_BYTES: usize = ":\r\n".len();
    let line = parts.method.as_str().len() + parts.uri.to_string().len() + LINE_BYTES;
    let headers = parts.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    line + headers.sum::<usize>() + "\r\n".len()
}

/// Removes headers that concern only one connection.
pub(crate) fn remove_connection_headers(headers: &mut http::HeaderMap) {
    let named: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    match uri.path_and_query() {
        Some(path) => http::Uri::from(path.clone()),
        None => http::Uri::from_static("/"),
    }
}
