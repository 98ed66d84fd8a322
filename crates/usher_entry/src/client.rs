//! The HTTP client for targets. Not for: choosing a target.

use std::{net, time};

use hyper_util::client::legacy;

/// How long bytes to a target may stay unacknowledged before the connection counts as broken.
const USER_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// How long an idle connection is kept; shorter than targets usually keep theirs.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// How long a cancel may take.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

type InnerClient =
    legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>;

/// Tells why a request has no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    #[error("target is unreachable: {0}")]
    NotSent(String),
    /// The target may have acted on the request.
    #[error("connection to the target broke: {0}")]
    Unknown(String),
}

/// Sends requests to targets over kept connections.
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
        connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
        let inner = legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .build(connector);
        Self {
            inner,
            connect_timeout,
        }
    }

    /// Sends a request over a connection of its own; `may_write` is asked right before the first
    /// byte, as connecting may outlast the routing right.
    ///
    /// A kept connection could be closing already, which leaves open whether the target acted.
    pub(crate) async fn send_once(
        &self,
        address: net::SocketAddr,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
        may_write: impl FnOnce() -> bool,
    ) -> Result<http::Response<hyper::body::Incoming>, SendError> {
        let connect = tokio::net::TcpStream::connect(address);
        let socket = tokio::time::timeout(self.connect_timeout, connect)
            .await
            .map_err(|_| SendError::NotSent("connecting took too long".to_owned()))?
            .map_err(not_sent)?;
        socket.set_nodelay(true).map_err(not_sent)?;
        socket2::SockRef::from(&socket)
            .set_tcp_user_timeout(Some(USER_TIMEOUT))
            .map_err(not_sent)?;
        let io = hyper_util::rt::TokioIo::new(socket);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io)
            .await
            .map_err(not_sent)?;
        // The connection ends with its only response.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        let request = origin_form(address, request).map_err(not_sent)?;
        if !may_write() {
            return Err(not_sent(
                "routing right ran out before the request was written",
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

    /// Sends a request and returns the response when its head has arrived.
    pub(crate) async fn send(
        &self,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<http::Response<hyper::body::Incoming>, SendError> {
        self.inner.request(request).await.map_err(|error| {
            // Only a failed connect is certain; everything later may have reached the target.
            if error.is_connect() {
                SendError::NotSent(describe(&error))
            } else {
                SendError::Unknown(describe(&error))
            }
        })
    }

    /// Tells an engine that nobody waits for a request any more.
    pub(crate) async fn cancel(&self, address: net::SocketAddr, id: &usher_types::RequestId) {
        let uri = format!("http://{address}/v1/requests/{id}/cancel");
        let request = http::Request::post(uri).body(http_body_util::Full::default());
        let Ok(request) = request else {
            return;
        };
        let sent = tokio::time::timeout(CANCEL_TIMEOUT, self.exchange(request)).await;
        if !matches!(sent, Ok(Ok(_))) {
            tracing::debug!(%address, request = %id, "cancel did not reach the engine");
        }
    }

    /// Sends a request and reads its whole response.
    pub(crate) async fn exchange(
        &self,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<(http::StatusCode, bytes::Bytes), SendError> {
        use http_body_util::BodyExt as _;
        let response = self.send(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| SendError::Unknown(error.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}

fn not_sent(error: impl std::fmt::Display) -> SendError {
    SendError::NotSent(error.to_string())
}

/// Writes a request as a connection to its target takes it: the path alone, and the Host header.
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

fn describe(error: &legacy::Error) -> String {
    use std::error::Error as _;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
