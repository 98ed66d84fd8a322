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
        Self { inner }
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

fn describe(error: &legacy::Error) -> String {
    use std::error::Error as _;
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
