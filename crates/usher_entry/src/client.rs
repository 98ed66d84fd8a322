//! The HTTP client for the entry's own requests to targets.
//!
//! Not for: calls, which are sent through the pool of driven connections.

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
type TargetBody = usher_answer::AnswerReader<hyper::body::Incoming>;

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
        Self { inner }
    }

    /// Sends a request and returns the response once its head has arrived.
    async fn send(
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

fn describe_error(error: &legacy::Error) -> String {
    use std::error::Error as _;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
