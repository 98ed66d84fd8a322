//! Connections to targets. Not for: choosing a target.

use std::{collections, sync, time};

use hyper::client::conn::http1;
use usher_answer::ConnectionUse;

/// Maximum time to connect to a target: five round trips between regions. Another target is then
/// tried at no cost, while the kernel would resend a lost SYN packet only after a second.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time for which sent bytes may stay unacknowledged before the connection counts as broken, as
/// when a target's VM is gone. Lost packets are resent within about 0.3 s.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Interval of keep-alive probes on a silent connection. The target's kernel answers them, so that
/// a slow target keeps its connection.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Share of a target's stated idle timeout after which a connection is no longer reused: the
/// target's timer started earlier than ours, and a request that crosses the close is lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// Time for which a connection is kept when the target states no idle timeout, or one below a
/// second.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_millis(300);

/// Maximum time until a connection is reusable after its answer was read.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Largest head of an answer, and size of the read buffer of a connection, in bytes. A target that
/// sends without end fills no more on each connection.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// A connection that can carry a request.
#[derive(Debug)]
struct ConnectionSender {
    requests: http1::SendRequest<RequestBody>,
    head_limit: usher_answer::HeadLimit,
}

/// The body of an answer, whose end is reported only when the answer is complete.
pub(crate) type TargetBody = usher_answer::AnswerReader<hyper::body::Incoming>;
pub(crate) type RequestBody = http_body_util::Full<bytes::Bytes>;

/// The reason for which a request has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The target may have acted on the request.
    #[error("connection broke: {text}")]
    Broken {
        /// What went wrong.
        text: String,
        /// Whether the connection had carried other requests before.
        connection_use: ConnectionUse,
    },
}

#[derive(Debug)]
struct IdleConnection {
    sender: ConnectionSender,
    until: time::Instant,
}

type IdleTable = collections::HashMap<usher_types::TargetName, Vec<IdleConnection>>;

/// Pools connections by target, with one request at a time on each; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetPool {
    idle: sync::Arc<sync::Mutex<IdleTable>>,
}

/// A connection whose answer is being read; returned to the pool by `release`, closed when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    pool: TargetPool,
    target: usher_types::TargetName,
    sender: ConnectionSender,
    /// Whether the connection had carried other requests before.
    pub(crate) connection_use: ConnectionUse,
    keep_alive: time::Duration,
}

impl TargetPool {
    /// Sends a request and waits for the head of the answer.
    ///
    /// `is_new` says that the request was not sent to the target before; otherwise it gets a
    /// connection of its own, so that no connection carries it twice.
    pub(crate) async fn send(
        &self,
        target: &usher_roster::TargetEntry,
        request: http::Request<RequestBody>,
        is_new: bool,
    ) -> Result<(http::Response<TargetBody>, ConnectionLease), ConnectionError> {
        let mut request = request;
        while let Some(sender) = is_new.then(|| self.take_idle(&target.name)).flatten() {
            let used = ConnectionUse::Repeated;
            match self.send_on(sender, used, &target.name, request).await {
                Ok(answer) => return Ok(answer),
                // The connection was closed while it was idle, and nothing was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((error, None)) => return Err(error),
            }
        }
        let sender = connect(target.address).await?;
        let used = ConnectionUse::First;
        let sent = self.send_on(sender, used, &target.name, request).await;
        sent.map_err(|(error, _)| error)
    }

    async fn send_on(
        &self,
        mut sender: ConnectionSender,
        connection_use: ConnectionUse,
        target: &usher_types::TargetName,
        request: http::Request<RequestBody>,
    ) -> Result<
        (http::Response<TargetBody>, ConnectionLease),
        (ConnectionError, Option<http::Request<RequestBody>>),
    > {
        sender.head_limit.begin();
        match sender.requests.try_send_request(request).await {
            Ok(answer) => {
                sender.head_limit.end();
                let progress = sender.head_limit.progress();
                let connection = ConnectionLease {
                    pool: self.clone(),
                    target: target.clone(),
                    sender,
                    connection_use,
                    keep_alive: keep_alive_time(answer.headers()),
                };
                let (parts, body) = answer.into_parts();
                let body = TargetBody::new(&parts.headers, body).with_request(progress);
                Ok((http::Response::from_parts(parts, body), connection))
            }
            Err(mut error) => {
                let unsent = error.take_message();
                let text = error.into_error().to_string();
                let error = match &unsent {
                    Some(_) => ConnectionError::NotSent(text),
                    None => ConnectionError::Broken {
                        text,
                        connection_use,
                    },
                };
                Err((error, unsent))
            }
        }
    }

    /// Closes connections whose idle timeout has passed, and those to targets that are gone.
    pub(crate) fn prune(&self, is_known: impl Fn(&usher_types::TargetName) -> bool) {
        let now = time::Instant::now();
        self.lock().retain(|name, connections| {
            connections.retain(|connection| {
                connection.until > now && !connection.sender.requests.is_closed()
            });
            !connections.is_empty() && is_known(name)
        });
    }

    fn take_idle(&self, target: &usher_types::TargetName) -> Option<ConnectionSender> {
        let now = time::Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(target)?;
        while let Some(connection) = connections.pop() {
            if connection.until > now && connection.sender.requests.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    fn lock(&self) -> sync::MutexGuard<'_, IdleTable> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl ConnectionLease {
    /// Returns the connection to the pool as soon as it is ready for the next request.
    pub(crate) fn release(self) {
        let Self {
            pool,
            target,
            mut sender,
            keep_alive,
            ..
        } = self;
        if keep_alive.is_zero() {
            return;
        }
        tokio::spawn(async move {
            let ready = tokio::time::timeout(RELEASE_TIMEOUT, sender.requests.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let until = time::Instant::now() + keep_alive;
                let connection = IdleConnection { sender, until };
                pool.lock().entry(target).or_default().push(connection);
            }
        });
    }
}

async fn connect(address: std::net::SocketAddr) -> Result<ConnectionSender, ConnectionError> {
    let connect = tokio::net::TcpStream::connect(address);
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_| {
            ConnectionError::NotSent(format!(
                "not connected within {} ms",
                CONNECT_TIMEOUT.as_millis()
            ))
        })?
        .map_err(not_sent)?;
    let options = socket2::SockRef::from(&socket);
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket
        .set_nodelay(true)
        .and_then(|()| options.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)))
        .and_then(|()| options.set_tcp_keepalive(&probes))
        .map_err(not_sent)?;
    let (head_limit, socket) = usher_answer::HeadLimit::new(socket);
    let io = hyper_util::rt::TokioIo::new(socket);
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(io)
        .await
        .map_err(not_sent)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection to a target ended with an error");
        }
    });
    Ok(ConnectionSender {
        requests,
        head_limit,
    })
}

fn not_sent<E>(error: E) -> ConnectionError
where
    E: std::fmt::Display,
{
    ConnectionError::NotSent(error.to_string())
}

/// Returns the time for which a connection is kept after an answer.
fn keep_alive_time(headers: &http::HeaderMap) -> time::Duration {
    let closes = |value: &http::HeaderValue| {
        value
            .to_str()
            .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    };
    if headers.get_all(http::header::CONNECTION).iter().any(closes) {
        return time::Duration::ZERO;
    }
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            let parts = text.split(',').map(str::trim);
            let mut seconds = parts.filter_map(|part| part.strip_prefix("timeout="));
            seconds.next()?.parse::<u32>().ok()
        });
    match stated {
        Some(seconds) if seconds > 0 => {
            time::Duration::from_secs(u64::from(seconds)).mul_f64(IDLE_TIMEOUT_SHARE)
        }
        _ => DEFAULT_KEEP_ALIVE,
    }
}
