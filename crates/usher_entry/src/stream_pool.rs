//! A pool of connections to engines that are driven by the reader of their stream.
//!
//! Not for: plain services.

use std::{collections, future, future::Future as _, net, pin, sync, task, time};

use hyper::{body::Body as _, client::conn::http1};
use tokio::net as tokio_net;

use crate::client::SendError;

/// Time after which a connection with unacknowledged bytes counts as broken.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long an idle connection is kept; shorter than the idle timeout of most engines.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Maximum number of idle connections per engine.
const MAX_IDLE_PER_ENGINE: usize = 64;

/// Time to wait for the end of the body after the last event; then the connection is closed.
const END_TIMEOUT: time::Duration = time::Duration::from_millis(200);

type RequestBody = http_body_util::Full<bytes::Bytes>;
type FrameResult = Option<Result<hyper::body::Frame<bytes::Bytes>, hyper::Error>>;

/// A connection that makes progress only while one of its methods is awaited.
///
/// With a separate task per connection, every token would wake two tasks, often on two threads.
pub(crate) struct EngineConnection {
    sender: http1::SendRequest<RequestBody>,
    connection: http1::Connection<hyper_util::rt::TokioIo<tokio_net::TcpStream>, RequestBody>,
    ended: bool,
    address: net::SocketAddr,
    used_at: time::Instant,
}

impl std::fmt::Debug for EngineConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineConnection")
            .field("address", &self.address)
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

impl EngineConnection {
    async fn connect(address: net::SocketAddr, timeout: time::Duration) -> Result<Self, SendError> {
        let socket = tokio::time::timeout(timeout, tokio_net::TcpStream::connect(address))
            .await
            .map_err(|_| SendError::NotSent(format!("connect timed out after {timeout:?}")))?
            .map_err(not_sent)?;
        socket.set_nodelay(true).map_err(not_sent)?;
        socket2::SockRef::from(&socket)
            .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
            .map_err(not_sent)?;
        let io = hyper_util::rt::TokioIo::new(socket);
        let (sender, connection) = http1::handshake(io).await.map_err(not_sent)?;
        Ok(Self {
            sender,
            connection,
            ended: false,
            address,
            used_at: time::Instant::now(),
        })
    }

    fn drive(&mut self, context: &mut task::Context<'_>) {
        if !self.ended {
            let connection = pin::Pin::new(&mut self.connection);
            self.ended = future::Future::poll(connection, context).is_ready();
        }
    }

    /// Sends a request; on an error, returns the request too if none of it was written.
    async fn send(
        &mut self,
        request: http::Request<RequestBody>,
    ) -> Result<
        http::Response<hyper::body::Incoming>,
        (SendError, Option<http::Request<RequestBody>>),
    > {
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
        result.map_err(|mut error| {
            let request = error.take_message();
            let message = error.into_error().to_string();
            (SendError::Unknown(message), request)
        })
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

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}

/// Idle connections by address.
#[derive(Debug, Default)]
struct IdleTable {
    connections: collections::HashMap<net::SocketAddr, Vec<EngineConnection>>,
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

/// A pool of idle connections to engines; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct StreamPool {
    connect_timeout: time::Duration,
    idle: sync::Arc<sync::Mutex<IdleTable>>,
}

impl StreamPool {
    pub(crate) fn new(connect_timeout: time::Duration) -> Self {
        Self {
            connect_timeout,
            idle: sync::Arc::default(),
        }
    }

    /// Sends a request over an idle or a new connection.
    ///
    /// `may_write` is checked immediately before each write, as connecting may outlast the routing
    /// right.
    pub(crate) async fn send(
        &self,
        address: net::SocketAddr,
        mut request: http::Request<RequestBody>,
        may_write: impl Fn() -> bool,
    ) -> Result<(EngineConnection, http::Response<hyper::body::Incoming>), SendError> {
        let check = || {
            let refusal = || not_sent("routing right expired before the request was written");
            may_write().then_some(()).ok_or_else(refusal)
        };
        while let Some(mut connection) = self.take(address) {
            check()?;
            match connection.send(request).await {
                Ok(response) => return Ok((connection, response)),
                // The engine had closed the idle connection; nothing was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let mut connection = EngineConnection::connect(address, self.connect_timeout).await?;
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
        mut connection: EngineConnection,
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

    fn store(&self, mut connection: EngineConnection) {
        if !connection.is_usable() {
            return;
        }
        let now = time::Instant::now();
        connection.used_at = now;
        let mut idle = self.lock();
        idle.sweep(now);
        let connections = idle.connections.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_PER_ENGINE {
            connections.push(connection);
        }
    }

    fn take(&self, address: net::SocketAddr) -> Option<EngineConnection> {
        let mut idle = self.lock();
        let connections = idle.connections.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            if connection.used_at.elapsed() < IDLE_TIMEOUT && connection.is_usable() {
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
