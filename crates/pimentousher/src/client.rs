//! Minimal HTTP client for JSON requests. Not for: streamed responses.

use std::{net, time};

use hyper_util::{client::legacy, rt};

/// Limit on the size of a response body, large enough for a 1 MiB sheet inside JSON and for a
/// status of 760 targets.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Reason why a request got no response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RequestError {
    /// The connection failed; nothing was sent.
    #[error("{0}")]
    NotSent(String),
    /// The request may have been processed.
    #[error("{0}")]
    OutcomeUnknown(String),
}

/// Response whose body is parsed as JSON; a body that isn't JSON is kept as a string.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonResponse {
    /// HTTP status.
    pub status: http::StatusCode,
    /// HTTP headers.
    pub headers: http::HeaderMap,
    /// Parsed body.
    pub body: serde_json::Value,
}

impl JsonResponse {
    /// Returns the error message of an unsuccessful response.
    pub fn error_text(&self) -> String {
        let error = self.body.get("error").unwrap_or(&self.body);
        let error = error.get("message").unwrap_or(error);
        error
            .as_str()
            .map_or_else(|| error.to_string(), str::to_owned)
    }
}

type BodyBytes = http_body_util::Full<hyper::body::Bytes>;

/// HTTP client that sends and receives JSON.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: legacy::Client<legacy::connect::HttpConnector, BodyBytes>,
}

impl JsonClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            // A pooled connection could predate a restart of the server, which would lose the
            // request.
            .pool_max_idle_per_host(0)
            .build(connector);
        Self { client }
    }

    /// Sends one request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within `timeout`.
    pub async fn send(
        &self,
        address: net::SocketAddr,
        method: &http::Method,
        path: &str,
        body: Option<&serde_json::Value>,
        timeout: time::Duration,
    ) -> Result<JsonResponse, RequestError> {
        let exchange = self.exchange(address, method, path, body);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(RequestError::OutcomeUnknown(format!(
                "{address} did not answer within {}",
                humantime::format_duration(timeout)
            ))),
        }
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        method: &http::Method,
        path: &str,
        body: Option<&serde_json::Value>,
    ) -> Result<JsonResponse, RequestError> {
        let text = body.map(ToString::to_string).unwrap_or_default();
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(BodyBytes::from(text))
            .map_err(|error| RequestError::NotSent(error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            let message = format!("{address}: {}", root_cause(&error));
            if error.is_connect() {
                RequestError::NotSent(message)
            } else {
                RequestError::OutcomeUnknown(message)
            }
        })?;
        let (parts, body) = response.into_parts();
        let mut body = usher_answer::AnswerReader::new(&parts.headers, body);
        let bytes = body
            .read_all(MAX_RESPONSE_BYTES)
            .await
            .map_err(|fault| RequestError::OutcomeUnknown(format!("{address}: {fault}")))?;
        let body = serde_json::from_slice(&bytes)
            .unwrap_or_else(|_| String::from_utf8_lossy(&bytes).trim().into());
        Ok(JsonResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

impl Default for JsonClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the text of the innermost error, which holds the operating system's message.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
