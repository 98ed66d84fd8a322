//! Handles a call from its arrival to its answer. Not for: single sends.

use std::{sync, time};

use tokio::time as tokio_time;
use usher_memory::PhaseCost;
use usher_quarantine::PartId;
use usher_route::RouteRule;

use crate::{answer, body, body_reader, core, dialect, line_limit, model, plain, run_record};

/// Time before the deadline of a call at which the gateway gives up, so that its answer arrives.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(40);

/// Timeout of callers that state none; the timeout of the route is shorter.
const DEFAULT_CALLER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Time for which a call waits at a gateway that has just started and has no routes. Registrars
/// that were restarted with it are available after about 0.4 s; callers that were refused came back
/// a second later.
const FIRST_ROUTES_WAIT: time::Duration = time::Duration::from_millis(800);

/// Divisor of the caller's timeout; the wait is also limited to the quotient.
const FIRST_ROUTES_DIVISOR: u32 = 6;

pub(crate) type CallAnswer = http::Response<body::AnswerBody>;

/// A call that was read and has a route.
#[derive(Debug)]
pub(crate) struct RoutedCall {
    pub(crate) id: usher_types::RequestId,
    pub(crate) metadata: dialect::CallMetadata,
    pub(crate) route: sync::Arc<RouteRule>,
    pub(crate) service: usher_types::ServiceName,
    pub(crate) method: http::Method,
    pub(crate) uri: http::Uri,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    /// Memory of the connection and of the body, held until the call ends.
    pub(crate) memory: usher_intake::ConnectionMemory,
    /// Cost of running the call, without its answer.
    pub(crate) run_cost: usize,
    pub(crate) arrived: tokio_time::Instant,
    /// The time at which the call is given up.
    pub(crate) deadline: tokio_time::Instant,
    /// Parts of the prompt that other calls may have too.
    pub(crate) shared_parts: Vec<PartId>,
    /// Team whose key the call has; none where the routes name no teams, and for public routes.
    pub(crate) team: Option<usher_types::TeamName>,
    rank: u8,
    /// Whether the call was counted for its team.
    usage_counted: sync::atomic::AtomicBool,
    /// Targets that the call has been sent to.
    sent_to: sync::Mutex<Vec<usher_types::TargetName>>,
}

impl RoutedCall {
    /// Returns the rank of the call among all calls; 0 is the most urgent.
    pub(crate) fn rank(&self) -> u8 {
        self.rank
    }

    /// Records that the call is sent to a target; returns whether this is the first time.
    pub(crate) fn begin_send(&self, target: &usher_types::TargetName) -> bool {
        let mut sent_to = self
            .sent_to
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let is_first = !sent_to.contains(target);
        if is_first {
            sent_to.push(target.clone());
        }
        is_first
    }

    /// Returns whether the call has not been counted for its team yet, and marks it as counted.
    pub(crate) fn begin_usage(&self) -> bool {
        !self
            .usage_counted
            .swap(true, sync::atomic::Ordering::Relaxed)
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> time::Duration {
        let now = tokio_time::Instant::now();
        self.deadline.saturating_duration_since(now)
    }
}

/// The record of a call; logged as one line when the call ends, also when its caller disconnects.
#[derive(Debug)]
pub(crate) struct CallLog {
    pub(crate) id: String,
    pub(crate) route: String,
    pub(crate) service: String,
    /// Name of the team; empty when the call has none.
    pub(crate) team: String,
    pub(crate) version: u64,
    /// Version of HTTP that the caller speaks.
    pub(crate) caller_http: http::Version,
    pub(crate) arrived: tokio_time::Instant,
    pub(crate) first_byte: Option<time::Duration>,
    /// Targets that the call was sent to, with the outcome of each send.
    pub(crate) sends: Vec<String>,
    /// Expected times of the chosen engines when they were chosen.
    pub(crate) expected_ms: Vec<u128>,
    /// Why the call first left the failure domain, if it did.
    pub(crate) spill: Option<usher_place::SpillReason>,
    /// Prompt tokens that these engines had to read first, as far as they were known.
    pub(crate) queued_tokens: Vec<u64>,
    /// Decisions on the call when it couldn't be on time, with their inputs.
    pub(crate) admissions: Vec<String>,
    pub(crate) runs: run_record::RunRecord,
    pub(crate) status: u16,
    pub(crate) metrics: crate::metrics::GatewayMetrics,
    /// Set when the caller is refused for what it sends; such lines are limited.
    line_limit: Option<line_limit::LineLimit>,
    ended: bool,
}

impl CallLog {
    fn new(metrics: crate::metrics::GatewayMetrics, arrived: tokio_time::Instant) -> Self {
        metrics.running.inc();
        Self {
            id: String::new(),
            route: String::new(),
            service: String::new(),
            team: String::new(),
            version: 0,
            caller_http: http::Version::default(),
            arrived,
            first_byte: None,
            sends: Vec::new(),
            expected_ms: Vec::new(),
            spill: None,
            queued_tokens: Vec::new(),
            admissions: Vec::new(),
            runs: run_record::RunRecord::default(),
            status: 0,
            metrics,
            line_limit: None,
            ended: false,
        }
    }

    /// Records the outcome of a send.
    pub(crate) fn record_send(&mut self, target: &usher_types::TargetName, outcome: &str) {
        let elapsed = self.arrived.elapsed().as_millis();
        self.sends
            .push(format!("{target}: {outcome} at {elapsed} ms"));
    }

    /// Records why the call leaves the failure domain.
    pub(crate) fn record_spill(&mut self, reason: Option<usher_place::SpillReason>) {
        self.spill = self.spill.or(reason);
    }

    /// Records the head of the answer.
    pub(crate) fn record_head(&mut self, status: http::StatusCode) {
        self.status = status.as_u16();
        self.first_byte
            .get_or_insert_with(|| self.arrived.elapsed());
    }

    /// Logs the record, once.
    pub(crate) fn finish(&mut self, outcome: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let total = self.arrived.elapsed();
        let first = self.first_byte.unwrap_or(total);
        self.metrics
            .call_ended(&self.route, self.status, first, total);
        if !self.team.is_empty() {
            self.metrics.team_call_ended(&self.team, self.status);
        }
        self.metrics.running.dec();
        if let Some(reason) = self.spill {
            self.metrics.call_spilled(&self.service, reason);
        }
        let now = tokio_time::Instant::now().into_std();
        let skipped = self.line_limit.as_ref().map(|limit| limit.take(now));
        if skipped == Some(None) {
            return;
        }
        tracing::info!(
            request = %self.id,
            route = %self.route,
            service = %self.service,
            team = %self.team,
            version = self.version,
            caller_http = ?self.caller_http,
            status = self.status,
            first_ms = first.as_millis(),
            total_ms = total.as_millis(),
            sends = ?self.sends,
            expected_ms = ?self.expected_ms,
            spill = self.spill.map(tracing::field::display),
            queued_tokens = ?self.queued_tokens,
            admissions = ?self.admissions,
            skipped_lines = skipped.flatten(),
            outcome,
            "call ended"
        );
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        self.finish("the caller left");
    }
}

/// Answers a call.
pub(crate) async fn serve<D, C>(
    core: sync::Arc<core::GatewayCore<D, C>>,
    request: http::Request<hyper::body::Incoming>,
    memory: usher_intake::ConnectionMemory,
) -> CallAnswer
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let arrived = tokio_time::Instant::now();
    let mut log = CallLog::new(core.metrics.clone(), arrived);
    log.caller_http = request.version();
    let routed = route(&core, request, memory, &mut log).await;
    let result = match routed {
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
            let ended = tokio::select! {
                biased;
                result = tokio_time::timeout_at(deadline, run) => result.ok(),
                () = core.calls_end() => None,
            };
            match ended {
                Some(Ok(model::CallResponse::Complete(answer))) => {
                    log.record_head(answer.status());
                    log.finish("answered");
                    return answer;
                }
                Some(Ok(model::CallResponse::Stream(stream))) => {
                    return stream.start(core, call, log);
                }
                Some(Err(refusal)) => Err(refusal),
                None if log.runs.may_have_run() => Err(answer::CallRefusal::Late),
                None => Err(answer::CallRefusal::LateNotRun),
            }
        }
        Err(refusal) => Err(refusal),
    };
    let result: Result<CallAnswer, _> = result;
    match result {
        Ok(answer) => answer,
        Err(refusal) => {
            log.metrics.call_refused(&log.service, refusal.reason());
            if refusal.is_of_request() {
                log.line_limit = Some(core.line_limit.clone());
            }
            log.record_head(refusal.status());
            log.finish(&refusal.to_string());
            refusal.into_answer()
        }
    }
}

async fn route<D, C>(
    core: &core::GatewayCore<D, C>,
    request: http::Request<hyper::body::Incoming>,
    memory: usher_intake::ConnectionMemory,
    log: &mut CallLog,
) -> Result<RoutedCall, answer::CallRefusal>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let (parts, body) = request.into_parts();
    let shape = usher_intake::head_shape(&parts);
    let prompt = PhaseCost::prompt_parts(core.dialect.count_parts(&parts.headers));
    if !memory.begin_call(shape, prompt).await {
        return Err(answer::CallRefusal::NoMemory);
    }
    let mut metadata = core.dialect.read_call(&parts.headers);
    metadata.work = metadata.work.map(usher_place::PromptWork::limited);
    if let Some(id) = &metadata.id {
        log.id = id.to_string();
    }
    let head = shape.bytes;
    let caller_timeout = metadata.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let limit = FIRST_ROUTES_WAIT.min(caller_timeout / FIRST_ROUTES_DIVISOR);
    let table = core.wait_for_routes(limit).await;
    let table = table.ok_or(answer::CallRefusal::NoRoutes)?;
    log.version = table.version().get();
    let limits = *table.limits();
    let limit = limits.head_bytes;
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
        .ok_or(answer::CallRefusal::NoRoute)?
        .clone();
    log.route.clone_from(&route.name);
    let has_teams = table.requires_keys();
    let key = metadata.key.as_ref().filter(|_| has_teams);
    let team = key.and_then(|key| table.team_of_key(key)).cloned();
    // Routes that a call holds are copied by the next change of them.
    drop(table);
    if has_teams && team.is_none() && !route.is_public {
        core.metrics.key_refusals.inc();
        return Err(answer::CallRefusal::NoKey);
    }
    let rank = team.as_ref().and_then(|team| team.rank);
    let team = team.map(|team| team.name.clone());
    log.team = team.as_ref().map(ToString::to_string).unwrap_or_default();
    let id = metadata.id.clone().ok_or(answer::CallRefusal::NoId)?;
    let service = route
        .service_of(usher_place::text_key(id.as_str()))
        .ok_or(answer::CallRefusal::NoRoute)?
        .clone();
    log.service = service.to_string();
    let caller_timeout = caller_timeout.min(route.timeout);
    let deadline = log.arrived + caller_timeout.saturating_sub(ANSWER_MARGIN);
    let body = body_reader::read_body(body, &memory, limits.body_bytes, deadline).await?;
    if core.refuses_calls() {
        return Err(answer::CallRefusal::Stopping);
    }
    // Nothing has been sent: a call that would find no room for its answer isn't run.
    let answer = if route.kind.is_stream() {
        PhaseCost::stream()
    } else {
        PhaseCost::plain_answer(0)
    };
    if !memory.charge_answer(PhaseCost::run(shape) + answer).await {
        return Err(answer::CallRefusal::NoMemory);
    }
    let shared_parts = metadata.work.as_ref().map(read_shared_parts);
    let shared_parts = shared_parts.unwrap_or_default();
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    headers.remove(http::header::CONTENT_LENGTH);
    headers.remove(http::header::EXPECT);
    core.dialect.strip_system_headers(&mut headers);
    if has_teams {
        core.dialect.strip_team_headers(&mut headers);
    }
    Ok(RoutedCall {
        id,
        metadata,
        rank: usher_place::call_rank(rank, route.priority),
        team,
        route,
        service,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers,
        body,
        memory,
        run_cost: PhaseCost::run(shape),
        arrived: log.arrived,
        deadline,
        shared_parts,
        usage_counted: sync::atomic::AtomicBool::new(false),
        sent_to: sync::Mutex::default(),
    })
}

fn read_shared_parts(work: &usher_place::PromptWork) -> Vec<PartId> {
    let mut parts = Vec::with_capacity(work.parts.len());
    parts.extend(work.shared_parts().map(|part| PartId::new(part.id)));
    parts
}

/// Removes the headers that apply only to one connection.
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
