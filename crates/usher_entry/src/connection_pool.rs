//! A pool of connections to targets that are driven by the reader of their answer.
//!
//! Not for: choosing a target.

use std::{collections, future, future::Future as _, net, pin, sync, task, time};

use hyper::{body::Body as _, client::conn::http1};
use tokio::net as tokio_net;
use usher_answer::{AnswerOwner, ConnectionUse, HeadLimit, LimitedStream};
use usher_types::RequestId;

use crate::client::SendError;

/// Time after which a connection with unacknowledged bytes counts as broken.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long an idle connection is kept; shorter than the idle timeout of most targets.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 64;

/// Time to wait for the end of the body after the last event; then the connection is closed.
const END_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Number of requests after which a connection isn't used again, because the id of each is kept.
const MAX_REQUESTS: usize = 256;

type RequestBody = http_body_util::Full<bytes::Bytes>;
type TargetIo = hyper_util::rt::TokioIo<LimitedStream<tokio_net::TcpStream>>;
type FrameResult = Option<Result<hyper::body::Frame<bytes::Bytes>, hyper::Error>>;

/// A connection that makes progress only while one of its methods is awaited.
///
/// With a separate task per connection, every token would wake two tasks, often on two threads.
pub(crate) struct TargetConnection {
    sender: http1::SendRequest<RequestBody>,
    connection: http1::Connection<TargetIo, RequestBody>,
    head_limit: HeadLimit,
    ended: bool,
    address: net::SocketAddr,
    used_at: time::Instant,
    /// Ids of the requests that it has carried.
    carried: Vec<RequestId>,
    /// Whether the last answer stated the id of its request. Without ids, an earlier answer that
    /// comes once more can't be told from the next one.
    states_ids: bool,
}

impl std::fmt::Debug for TargetConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetConnection")
            .field("address", &self.address)
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

impl TargetConnection {
    async fn connect(address: net::SocketAddr, timeout: time::Duration) -> Result<Self, SendError> {
        let socket = tokio::time::timeout(timeout, tokio_net::TcpStream::connect(address))
            .await
            .map_err(|_| SendError::NotSent(format!("connect timed out after {timeout:?}")))?
            .map_err(not_sent)?;
        socket.set_nodelay(true).map_err(not_sent)?;
        socket2::SockRef::from(&socket)
            .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
            .map_err(not_sent)?;
        let (head_limit, socket) = HeadLimit::new(socket);
        let io = hyper_util::rt::TokioIo::new(socket);
        let (sender, connection) = http1::handshake(io).await.map_err(not_sent)?;
        Ok(Self {
            sender,
            connection,
            head_limit,
            ended: false,
            address,
            used_at: time::Instant::now(),
            carried: Vec::new(),
            states_ids: false,
        })
    }

    fn drive(&mut self, context: &mut task::Context<'_>) {
        if !self.ended {
            let connection = pin::Pin::new(&mut self.connection);
            self.ended = future::Future::poll(connection, context).is_ready();
        }
    }

    /// Sends a request; on an error, returns the request too if none of it was written. An answer
    /// that doesn't belong to the request is an error.
    async fn send(
        &mut self,
        request: http::Request<RequestBody>,
    ) -> Result<
        http::Response<hyper::body::Incoming>,
        (SendError, Option<http::Request<RequestBody>>),
    > {
        let sent = request_id(request.headers()).unwrap_or_default();
        let connection_use = if self.carried.is_empty() {
            ConnectionUse::First
        } else {
            ConnectionUse::Repeated
        };
        self.carried.push(sent.clone());
        let response = self.send_unchecked(request).await?;
        let stated = request_id(response.headers());
        match AnswerOwner::of(&sent, stated.as_ref(), connection_use) {
            AnswerOwner::ThisRequest => {
                self.states_ids = stated.is_some();
                Ok(response)
            }
            AnswerOwner::OtherRequest | AnswerOwner::Unknown => {
                let status = response.status();
                let message = format!("the answer ({status}) may belong to another request");
                Err((SendError::Unknown(message), None))
            }
        }
    }

    async fn send_unchecked(
        &mut self,
        request: http::Request<RequestBody>,
    ) -> Result<
        http::Response<hyper::body::Incoming>,
        (SendError, Option<http::Request<RequestBody>>),
    > {
        self.head_limit.begin();
        let response = self.sender.try_send_request(request);
        tokio::pin!(response);
        let result = future::poll_fn(|context| {
            if let task::Poll::Ready(result) = response.as_mut().poll(context) {
                return task::Poll::Ready(result);
            }
            self.drive(context);
            response.as_mut().poll(context)
        })
        .await;
        self.head_limit.end();
        result.map_err(|mut error| {
            let request = error.take_message();
            let message = error.into_error().to_string();
            (SendError::Unknown(message), request)
        })
    }

    /// Returns the progress of the request that was sent last.
    pub(crate) fn request_progress(&self) -> usher_answer::RequestProgress {
        self.head_limit.progress()
    }

    /// Returns the next frame of a response body of this connection.
    pub(crate) async fn frame(&mut self, body: &mut hyper::body::Incoming) -> FrameResult {
        future::poll_fn(|context| {
            if let task::Poll::Ready(frame) = pin::Pin::new(&mut *body).poll_frame(context) {
                return task::Poll::Ready(frame);
            }
            self.drive(context);
            pin::Pin::new(&mut *body).poll_frame(context)
        })
        .await
    }

    /// Returns whether the connection can send another request.
    fn is_usable(&mut self) -> bool {
        let mut context = task::Context::from_waker(task::Waker::noop());
        self.drive(&mut context);
        !self.ended && self.sender.is_ready()
    }
}

/// Reads the id of a request from its head, or from that of its answer.
fn request_id(headers: &http::HeaderMap) -> Option<RequestId> {
    let text = headers.get("x-request-id")?.to_str().ok()?;
    Some(RequestId::new(text))
}

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}

/// Idle connections by address.
#[derive(Debug, Default)]
struct IdleTable {
    connections: collections::HashMap<net::SocketAddr, Vec<TargetConnection>>,
    swept_at: Option<time::Instant>,
}

impl IdleTable {
    /// Closes connections that have been idle too long, including those to addresses no longer
    /// used.
    fn sweep(&mut self, now: time::Instant) {
        let swept_at = *self.swept_at.get_or_insert(now);
        if now.saturating_duration_since(swept_at) < IDLE_TIMEOUT {
            return;
        }
        self.swept_at = Some(now);
        self.connections.retain(|_, connections| {
            connections.retain(|connection| {
                now.saturating_duration_since(connection.used_at) < IDLE_TIMEOUT
            });
            !connections.is_empty()
        });
    }
}

/// A pool of idle connections to targets; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionPool {
    connect_timeout: time::Duration,
    idle: sync::Arc<sync::Mutex<IdleTable>>,
}

impl ConnectionPool {
    pub(crate) fn new(connect_timeout: time::Duration) -> Self {
        Self {
            connect_timeout,
            idle: sync::Arc::default(),
        }
    }

    /// Sends a request over an idle or a new connection; with `ConnectionUse::First`, over a new
    /// one.
    ///
    /// `may_write` is checked immediately before each write, as connecting may outlast the routing
    /// right.
    pub(crate) async fn send(
        &self,
        address: net::SocketAddr,
        mut request: http::Request<RequestBody>,
        allowed_use: ConnectionUse,
        may_write: impl Fn() -> bool,
    ) -> Result<(TargetConnection, http::Response<hyper::body::Incoming>), SendError> {
        let check = || {
            let refusal = || not_sent("routing right expired before the request was written");
            may_write().then_some(()).ok_or_else(refusal)
        };
        let id = request_id(request.headers()).unwrap_or_default();
        let take = || match allowed_use {
            ConnectionUse::First => None,
            ConnectionUse::Repeated => self.take(address, &id),
        };
        while let Some(mut connection) = take() {
            check()?;
            match connection.send(request).await {
                Ok(response) => return Ok((connection, response)),
                // The target had closed the idle connection; nothing was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let mut connection = TargetConnection::connect(address, self.connect_timeout).await?;
        check()?;
        match connection.send(request).await {
            Ok(response) => Ok((connection, response)),
            Err((error, Some(_))) => Err(SendError::NotSent(error.to_string())),
            Err((error, None)) => Err(error),
        }
    }

    /// Returns a connection to the pool at the end of its response, waiting for the end if needed.
    pub(crate) fn release(
        &self,
        mut connection: TargetConnection,
        mut body: hyper::body::Incoming,
    ) {
        use futures_util::FutureExt as _;
        match connection.frame(&mut body).now_or_never() {
            Some(None) => self.store(connection),
            Some(Some(_)) => {}
            None => {
                let pool = self.clone();
                tokio::spawn(async move {
                    let end = connection.frame(&mut body);
                    if let Ok(None) = tokio::time::timeout(END_TIMEOUT, end).await {
                        pool.store(connection);
                    }
                });
            }
        }
    }

    fn store(&self, mut connection: TargetConnection) {
        let is_full = connection.carried.len() >= MAX_REQUESTS;
        if !connection.states_ids || is_full || !connection.is_usable() {
            return;
        }
        let now = time::Instant::now();
        connection.used_at = now;
        let mut idle = self.lock();
        idle.sweep(now);
        let connections = idle.connections.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(connection);
        }
    }

    /// Takes an idle connection that hasn't carried a request with this id: its earlier answer would
    /// look like the next one.
    fn take(&self, address: net::SocketAddr, id: &RequestId) -> Option<TargetConnection> {
        let mut idle = self.lock();
        let connections = idle.connections.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            let is_new_here = !connection.carried.contains(id);
            let is_fresh = connection.used_at.elapsed() < IDLE_TIMEOUT;
            if is_new_here && is_fresh && connection.is_usable() {
                return Some(connection);
            }
        }
        idle.connections.remove(&address);
        None
    }

    fn lock(&self) -> sync::MutexGuard<'_, IdleTable> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// The body of an answer together with its connection, which makes progress while the body is read.
#[derive(Debug)]
pub(crate) struct DrivenBody {
    connection: TargetConnection,
    body: hyper::body::Incoming,
}

/// The body of an answer, whose end is reported only when the answer is complete.
pub(crate) type DrivenAnswer = usher_answer::AnswerReader<DrivenBody>;

impl DrivenBody {
    /// Returns the reader of an answer.
    pub(crate) fn read_answer(
        connection: TargetConnection,
        response: http::Response<hyper::body::Incoming>,
    ) -> DrivenAnswer {
        let (parts, body) = response.into_parts();
        let progress = connection.request_progress();
        let body = Self { connection, body };
        DrivenAnswer::new(&parts.headers, body).with_request(progress)
    }

    /// Returns the connection to its pool, when the answer has been read.
    pub(crate) fn release(self, pool: &ConnectionPool) {
        pool.release(self.connection, self.body);
    }
}

impl hyper::body::Body for DrivenBody {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<FrameResult> {
        if let task::Poll::Ready(frame) = pin::Pin::new(&mut self.body).poll_frame(context) {
            return task::Poll::Ready(frame);
        }
        self.connection.drive(context);
        pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}
