//! One engine's stream for a call, from sending to its end. Not for: resuming.

use std::{sync, time};

use usher_policy::FailureKind;

use crate::{
    attempt::AttemptGuard,
    client::SendError,
    core, error,
    model::{chunk, sse},
    stream_pool, types,
};

/// Events before the first token that are kept until it arrives.
const MAX_BUFFERED_EVENTS: usize = 16;

/// The longest error body of an engine that is read.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// An event and what it says.
#[derive(Debug)]
pub(crate) struct StreamEvent {
    pub(crate) raw: bytes::Bytes,
    pub(crate) info: chunk::ChunkInfo,
}

/// Why an attempt gave no stream.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) kind: FailureKind,
    pub(crate) target: usher_types::TargetName,
    /// Whether it took too long.
    pub(crate) slow: bool,
    pub(crate) message: String,
    /// Set when the engine found the call itself at fault, and no other engine will take it.
    pub(crate) call_error: Option<error::CallError>,
}

/// What an attempt sends.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    pub(crate) path: &'static str,
    /// Body without its end.
    pub(crate) body: sync::Arc<String>,
    pub(crate) priority: u8,
    pub(crate) resume_from: u64,
    pub(crate) id: usher_types::RequestId,
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
        // A plain HTTP/1.1 connection takes the path alone and needs the Host header.
        http::Request::post(self.path)
            .header(http::header::HOST, address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json")
            .header("x-request-id", self.id.as_str())
            .body(http_body_util::Full::from(body))
    }
}

/// A stream that has given its first token.
pub(crate) struct LiveStream<P>
where
    P: types::EntryTypes,
{
    guard: AttemptGuard<P>,
    reader: sse::SseReader,
    pool: stream_pool::StreamPool,
    buffered: std::collections::VecDeque<StreamEvent>,
    // Tokens that others delivered before this stream began.
    start: u64,
    tokens: u64,
    checked: bool,
    polled_at: time::Instant,
}

/// A pause of the reader after which the time per token says nothing about the engine.
const MAX_READER_PAUSE: time::Duration = time::Duration::from_millis(50);

impl<P> LiveStream<P>
where
    P: types::EntryTypes,
{
    /// Sends the call and waits for the first token, at most for `timeout`.
    pub(crate) async fn open(
        core: sync::Arc<core::EntryCore<P>>,
        guard: AttemptGuard<P>,
        request: EngineRequest,
        timeout: time::Duration,
    ) -> Result<Self, AttemptFailure> {
        let target = guard.name.clone();
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
                    reader,
                    pool: core.streams.clone(),
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
                guard.fail(FailureKind::Broken);
                Err(failure(FailureKind::Broken, false, message))
            }
            Ok(Err(OpenError::Stream(fault))) => {
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
        let sent = core.streams.send(guard.address, request, may_write);
        let (mut connection, response) = sent.await?;
        let status = response.status();
        if status != http::StatusCode::OK {
            return Err(OpenError::Status(
                status,
                read_error(&mut connection, response).await,
            ));
        }
        let mut reader = sse::SseReader::new(connection, response.into_body());
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
        Err(sse::StreamFault::Garbage("stream begins without a token").into())
    }

    /// Returns the next event, waiting at most for `timeout`.
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
            // A caller that reads slowly delays the reading, which is no fault of the engine.
            if at.saturating_duration_since(self.polled_at) < MAX_READER_PAUSE || self.tokens == 1 {
                self.guard.progress(self.tokens);
            }
        }
        Ok(event)
    }

    /// Notes that the reader comes back after handing on an event.
    pub(crate) fn mark_polled(&mut self, now: time::Instant) {
        self.polled_at = now;
    }

    pub(crate) fn target(&self) -> (&usher_types::TargetName, &usher_types::RegionName) {
        (&self.guard.name, &self.guard.region)
    }

    pub(crate) fn address(&self) -> std::net::SocketAddr {
        self.guard.address
    }

    /// Ends the stream here because another engine goes on with it.
    pub(crate) fn hand_over(self) {
        self.guard.hand_over();
    }

    /// Ends the stream after its last event.
    pub(crate) fn finish(self) {
        let (connection, body) = self.reader.into_parts();
        self.pool.release(connection, body);
        self.guard.finish();
    }

    /// Ends the stream after a fault.
    pub(crate) fn fail(self) {
        self.guard.fail(FailureKind::Broken);
    }
}

/// Why a stream didn't open.
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
            return Err(sse::StreamFault::Cut);
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

/// Tells what a status says about whether the call ran.
fn failure_kind(status: http::StatusCode) -> FailureKind {
    match status.as_u16() {
        400..=499 | 503 => FailureKind::Refused,
        _ => FailureKind::Broken,
    }
}

/// Engines agree on what a valid call is; a busy engine or one without the model is another case.
fn call_error(status: http::StatusCode, message: &str) -> Option<error::CallError> {
    let fault = matches!(status.as_u16(), 400 | 413 | 422);
    fault.then(|| error::CallError::invalid(None, message))
}

async fn read_error(
    connection: &mut stream_pool::EngineConnection,
    response: http::Response<hyper::body::Incoming>,
) -> String {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = connection.frame(&mut body).await {
        let data = frame.ok().and_then(|frame| frame.into_data().ok());
        bytes.extend_from_slice(&data.unwrap_or_default());
        if bytes.len() > MAX_ERROR_BYTES {
            return "with a body that is too long".to_owned();
        }
    }
    let value: Option<serde_json::Value> = serde_json::from_slice(&bytes).ok();
    let message = value
        .as_ref()
        .and_then(|value| value["error"]["message"].as_str());
    message.unwrap_or("without a message").to_owned()
}
