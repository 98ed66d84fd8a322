//! The HTTP client for requests to targets.
//!
//! Not for: choosing a target.

use std::{net, time};

use hyper_util::client::legacy;

/// Time after which a connection with unacknowledged bytes counts as broken.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long an idle connection is kept; shorter than the idle timeout of most targets.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Timeout of a cancel request.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Largest response that is read for the entry itself, in bytes: a page of cache events or the
/// answer to an order. An engine that sends without end fills no more.
const MAX_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;

type InnerClient =
    legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>;

/// The body of an answer, whose end is reported only when the answer is complete.
pub(crate) type TargetBody = usher_answer::AnswerReader<hyper::body::Incoming>;

/// Returns the reader of an answer's body.
pub(crate) fn read_answer(response: http::Response<hyper::body::Incoming>) -> TargetBody {
    let (parts, body) = response.into_parts();
    TargetBody::new(&parts.headers, body)
}

/// The reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    #[error("request was not sent to the target: {0}")]
    NotSent(String),
    /// The target may have executed the request.
    #[error("connection to the target failed; the request may have run: {0}")]
    Unknown(String),
}

/// Sends requests to targets over pooled connections.
#[derive(Clone, Debug)]
pub(crate) struct TargetClient {
    inner: InnerClient,
    connect_timeout: time::Duration,
}

impl TargetClient {
    pub(crate) fn new(connect_timeout: time::Duration) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let inner = legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .build(connector);
        Self {
            inner,
            connect_timeout,
        }
    }

    /// Sends a request over a new connection.
    ///
    /// `may_write` is checked immediately before the first byte, as connecting may outlast the
    /// routing right. A pooled connection isn't used because the target could be closing it, and
    /// then it would be unknown whether the request was executed.
    pub(crate) async fn send_once(
        &self,
        address: net::SocketAddr,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
        may_write: impl FnOnce() -> bool,
    ) -> Result<http::Response<hyper::body::Incoming>, SendError> {
        let connect = tokio::net::TcpStream::connect(address);
        let socket = tokio::time::timeout(self.connect_timeout, connect)
            .await
            .map_err(|_| {
                SendError::NotSent(format!(
                    "connect timed out after {:?}",
                    self.connect_timeout
                ))
            })?
            .map_err(not_sent)?;
        socket.set_nodelay(true).map_err(not_sent)?;
        socket2::SockRef::from(&socket)
            .set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
            .map_err(not_sent)?;
        let io = hyper_util::rt::TokioIo::new(socket);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io)
            .await
            .map_err(not_sent)?;
        // The connection ends after its only response.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let request = origin_form(address, request).map_err(not_sent)?;
        if !may_write() {
            return Err(not_sent(
                "routing right expired before the request was written",
            ));
        }
        sender.try_send_request(request).await.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let message = error.into_error().to_string();
            if unsent {
                SendError::NotSent(message)
            } else {
                SendError::Unknown(message)
            }
        })
    }

    /// Sends a request and returns the response once its head has arrived.
    pub(crate) async fn send(
        &self,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<http::Response<hyper::body::Incoming>, SendError> {
        self.inner.request(request).await.map_err(|error| {
            // Only a failed connect is certain; after that the request may have reached the target.
            if error.is_connect() {
                SendError::NotSent(describe_error(&error))
            } else {
                SendError::Unknown(describe_error(&error))
            }
        })
    }

    /// Cancels a request on an engine; errors are only logged.
    pub(crate) async fn cancel(&self, address: net::SocketAddr, id: &usher_types::RequestId) {
        let uri = format!("http://{address}/v1/requests/{id}/cancel");
        let request = http::Request::post(uri).body(http_body_util::Full::default());
        let Ok(request) = request else {
            return;
        };
        let sent = tokio::time::timeout(CANCEL_TIMEOUT, self.exchange(request)).await;
        if !matches!(sent, Ok(Ok(_))) {
            tracing::debug!(%address, request = %id, "failed to cancel the request on the engine");
        }
    }

    /// Sends a request of the entry itself and reads the complete response.
    pub(crate) async fn exchange(
        &self,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<http::Response<bytes::Bytes>, SendError> {
        let (parts, body) = self.send(request).await?.into_parts();
        let mut body = TargetBody::new(&parts.headers, body);
        let body = body.read_all(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|fault| SendError::Unknown(fault.to_string()))?;
        Ok(http::Response::from_parts(parts, body))
    }
}

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}

/// Converts a request to origin form with a Host header, as a bare HTTP/1.1 connection expects it.
fn origin_form(
    address: net::SocketAddr,
    request: http::Request<http_body_util::Full<bytes::Bytes>>,
) -> Result<http::Request<http_body_util::Full<bytes::Bytes>>, http::Error> {
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    parts.uri = http::Uri::try_from(path)?;
    let host = http::HeaderValue::try_from(address.to_string())?;
    parts.headers.insert(http::header::HOST, host);
    Ok(http::Request::from_parts(parts, body))
}

fn describe_error(error: &legacy::Error) -> String {
    use std::error::Error as _;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
