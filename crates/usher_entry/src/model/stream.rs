//! Sends a call to one engine and reads its stream.
//!
//! Not for: resuming a stream.

use std::{sync, time};

use usher_policy::FailureKind;
use usher_quarantine::{CallPhase, PartId};

use crate::{
    attempt::AttemptGuard,
    client::SendError,
    connection_pool, core, error,
    model::{chunk, quarantine, sse},
    types,
};

/// Maximum number of events buffered until the first token arrives.
const MAX_BUFFERED_EVENTS: usize = 16;

/// Maximum length of an engine's error body, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// An event of an engine and its parsed properties.
#[derive(Debug)]
pub(crate) struct StreamEvent {
    pub(crate) raw: bytes::Bytes,
    pub(crate) info: chunk::ChunkInfo,
}

/// The reason why an attempt produced no stream.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) kind: FailureKind,
    pub(crate) target: usher_types::TargetName,
    /// Whether the attempt timed out.
    pub(crate) slow: bool,
    pub(crate) message: String,
    /// Error for the caller, set if the engine rejected the call as invalid; other engines would
    /// too.
    pub(crate) call_error: Option<error::CallError>,
}

/// The request that an attempt sends to an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    pub(crate) path: &'static str,
    /// JSON body without the closing brace.
    pub(crate) body: sync::Arc<String>,
    pub(crate) priority: u8,
    pub(crate) resume_from: u64,
    pub(crate) id: usher_types::RequestId,
    /// The prompt and its prefixes, as parts that may crash engines.
    pub(crate) parts: sync::Arc<Vec<PartId>>,
}

impl EngineRequest {
    fn to_http(
        &self,
        address: std::net::SocketAddr,
    ) -> Result<http::Request<http_body_util::Full<bytes::Bytes>>, http::Error> {
        let mut body = String::with_capacity(self.body.len() + 48);
        body.push_str(&self.body);
        body.push_str(",\"priority\":");
        body.push_str(&self.priority.to_string());
        if self.resume_from > 0 {
            body.push_str(",\"resume_from\":");
            body.push_str(&self.resume_from.to_string());
        }
        body.push('}');
        // A bare HTTP/1.1 connection expects the origin form of the URI and a Host header.
        http::Request::post(self.path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header("x-request-id", self.id.as_str())
            .body(http_body_util::Full::from(body))
    }
}

/// A stream that has produced its first token.
pub(crate) struct LiveStream<P>
where
    P: types::EntryTypes,
{
    guard: AttemptGuard<P>,
    sent: quarantine::SentCall,
    reader: sse::SseReader,
    pool: connection_pool::ConnectionPool,
    buffered: std::collections::VecDeque<StreamEvent>,
    // Number of tokens that earlier engines delivered before this stream started.
    start: u64,
    tokens: u64,
    checked: bool,
    polled_at: time::Instant,
}

/// Maximum pause of the reader; after a longer one the time per token doesn't reflect the engine's
/// speed.
const MAX_READER_PAUSE: time::Duration = time::Duration::from_millis(50);

impl<P> LiveStream<P>
where
    P: types::EntryTypes,
{
    /// Sends the call and waits up to `timeout` for the first token.
    pub(crate) async fn open(
        core: sync::Arc<core::EntryCore<P>>,
        guard: AttemptGuard<P>,
        request: EngineRequest,
        timeout: time::Duration,
    ) -> Result<Self, AttemptFailure> {
        let target = guard.name.clone();
        let sent = quarantine::SentCall {
            id: request.id.clone(),
            parts: request.parts.clone(),
            target: target.clone(),
            incarnation: guard.incarnation,
            sent_at: core.now(),
        };
        let opened = tokio::time::timeout(timeout, Self::connect(&core, &guard, &request)).await;
        let failure = |kind, slow, message: String| AttemptFailure {
            kind,
            target: target.clone(),
            slow,
            message,
            call_error: None,
        };
        match opened {
            Ok(Ok((reader, buffered))) => {
                guard.first_token();
                Ok(Self {
                    guard,
                    sent,
                    reader,
                    pool: core.connections.clone(),
                    buffered,
                    start: request.resume_from,
                    tokens: 0,
                    checked: !core.options.disabled.checks,
                    polled_at: core.now(),
                })
            }
            Ok(Err(OpenError::Sent(SendError::NotSent(message)))) => {
                guard.fail(FailureKind::NotSent);
                Err(failure(FailureKind::NotSent, false, message))
            }
            Ok(Err(OpenError::Sent(SendError::Unknown(message)))) => {
                core.record_broken_call(&sent, CallPhase::NoEvent);
                guard.fail(FailureKind::Broken);
                Err(failure(FailureKind::Broken, false, message))
            }
            Ok(Err(OpenError::Stream(fault))) => {
                if fault.is_broken() {
                    core.record_broken_call(&sent, CallPhase::NoEvent);
                }
                guard.fail(FailureKind::Broken);
                Err(failure(FailureKind::Broken, false, fault.to_string()))
            }
            Ok(Err(OpenError::Status(status, message))) => {
                let kind = failure_kind(status);
                guard.fail(kind);
                let call_error = call_error(status, &message);
                let failed = failure(kind, false, format!("engine answered {status}: {message}"));
                Err(AttemptFailure {
                    call_error,
                    ..failed
                })
            }
            Err(_) => {
                guard.fail(FailureKind::Broken);
                let message = format!("no token within {timeout:?}");
                Err(failure(FailureKind::Broken, true, message))
            }
        }
    }

    async fn connect(
        core: &core::EntryCore<P>,
        guard: &AttemptGuard<P>,
        request: &EngineRequest,
    ) -> Result<(sse::SseReader, std::collections::VecDeque<StreamEvent>), OpenError> {
        let request = request
            .to_http(guard.address)
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let may_write = || core.has_right();
        let allowed_use = usher_answer::ConnectionUse::Repeated;
        let sent = core
            .connections
            .send(guard.address, request, allowed_use, may_write);
        let (mut connection, response) = sent.await?;
        guard.record_head(&response);
        let status = response.status();
        if status != http::StatusCode::OK {
            return Err(OpenError::Status(
                status,
                read_error(&mut connection, response).await,
            ));
        }
        let mut reader = sse::SseReader::new(connection, response);
        let mut buffered = std::collections::VecDeque::new();
        let checked = !core.options.disabled.checks;
        while buffered.len() < MAX_BUFFERED_EVENTS {
            let event = next_event(&mut reader, checked).await?;
            let first = event.info.token || event.info.finish.is_some() || event.info.done;
            buffered.push_back(event);
            if first {
                return Ok((reader, buffered));
            }
        }
        Err(sse::StreamFault::Malformed("too many events before the first token").into())
    }

    /// Returns the next event, waiting up to `timeout`.
    pub(crate) async fn next(
        &mut self,
        timeout: time::Duration,
        now: impl Fn() -> time::Instant,
    ) -> Result<StreamEvent, sse::StreamFault> {
        let mut event = match self.buffered.pop_front() {
            Some(event) => event,
            None => {
                let next = next_event(&mut self.reader, self.checked);
                tokio::time::timeout(timeout, next)
                    .await
                    .map_err(|_| sse::StreamFault::Stalled)??
            }
        };
        if event.info.token {
            event
                .info
                .token_index
                .get_or_insert(self.start + self.tokens);
            self.tokens += 1;
            let at = now();
            // A slow caller delays reading; its pauses must not be counted against the engine.
            if at.saturating_duration_since(self.polled_at) < MAX_READER_PAUSE || self.tokens == 1 {
                self.guard.progress(self.tokens);
            }
        }
        Ok(event)
    }

    /// Records that the reader asks for the next event.
    pub(crate) fn mark_polled(&mut self, now: time::Instant) {
        self.polled_at = now;
    }

    pub(crate) fn target(&self) -> (&usher_types::TargetName, &usher_types::RegionName) {
        (&self.guard.name, &self.guard.region)
    }

    pub(crate) fn address(&self) -> std::net::SocketAddr {
        self.guard.address
    }

    /// Ends the stream on this engine because another engine continues it.
    pub(crate) fn hand_over(self) {
        self.guard.hand_over();
    }

    /// Ends the stream after its last event and returns the connection to the pool.
    pub(crate) fn finish(self) {
        let parts = &self.sent.parts;
        self.guard.core().record_complete_answer(parts);
        let (connection, body) = self.reader.into_parts();
        self.pool.release(connection, body);
        self.guard.finish();
    }

    /// Ends the stream after a fault.
    pub(crate) fn fail(self, fault: &sse::StreamFault) {
        if fault.is_broken() {
            let core = self.guard.core();
            core.record_broken_call(&self.sent, CallPhase::Streaming);
        }
        self.guard.fail(FailureKind::Broken);
    }
}

/// The reason why a stream failed to open.
enum OpenError {
    Sent(SendError),
    Status(http::StatusCode, String),
    Stream(sse::StreamFault),
}

impl From<SendError> for OpenError {
    fn from(error: SendError) -> Self {
        Self::Sent(error)
    }
}

impl From<sse::StreamFault> for OpenError {
    fn from(fault: sse::StreamFault) -> Self {
        Self::Stream(fault)
    }
}

async fn next_event(
    reader: &mut sse::SseReader,
    checked: bool,
) -> Result<StreamEvent, sse::StreamFault> {
    loop {
        let Some(raw) = reader.next().await? else {
            return Err(sse::StreamFault::Truncated);
        };
        if !checked {
            return Ok(StreamEvent {
                info: chunk::ChunkInfo {
                    token: true,
                    ..chunk::ChunkInfo::default()
                },
                raw,
            });
        }
        if let Some(data) = sse::event_data(&raw)? {
            let info = chunk::read_chunk(data)?;
            return Ok(StreamEvent { raw, info });
        }
    }
}

/// Returns the failure kind of an error status: whether the engine refused the call or may have
/// run it.
fn failure_kind(status: http::StatusCode) -> FailureKind {
    match status.as_u16() {
        400..=499 | 503 => FailureKind::Refused,
        _ => FailureKind::Broken,
    }
}

/// Returns the caller's error if the status says that the call itself is invalid.
///
/// All engines agree on what a valid call is, but another engine may accept a call that was
/// refused because an engine was busy or lacked the model.
fn call_error(status: http::StatusCode, message: &str) -> Option<error::CallError> {
    let fault = matches!(status.as_u16(), 400 | 413 | 422);
    fault.then(|| error::CallError::invalid(None, message))
}

async fn read_error(
    connection: &mut connection_pool::TargetConnection,
    response: http::Response<hyper::body::Incoming>,
) -> String {
    let (parts, mut body) = response.into_parts();
    let mut check = usher_answer::AnswerCheck::new(&parts.headers);
    let mut bytes = Vec::new();
    loop {
        let frame = connection.frame(&mut body).await;
        match check.read_frame(frame) {
            Ok(Some(data)) => bytes.extend_from_slice(&data),
            Ok(None) => break,
            Err(fault) => return format!("the error body is incomplete: {fault}"),
        }
        if bytes.len() > MAX_ERROR_BYTES {
            return format!("error body is longer than {MAX_ERROR_BYTES} bytes");
        }
    }
    let value: Option<serde_json::Value> = serde_json::from_slice(&bytes).ok();
    let message = value
        .as_ref()
        .and_then(|value| value["error"]["message"].as_str());
    message.unwrap_or("no error message").to_owned()
}
