//! HTTP client of a scenario. Not for: verifying the answers.

use std::{net, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

/// Timeout of a caller's call, including its whole response.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Timeout of an operator's request, after which the next node is tried; a frozen process
/// accepts connections but never answers.
const OPERATOR_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// A response with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
}

impl CallAnswer {
    /// Returns the body as JSON, or null if it isn't valid JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the value of a header, or an empty string if it is missing or not text.
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// An HTTP client that opens a new connection for each call, like callers behind a load
/// balancer.
#[derive(Clone)]
pub(crate) struct HttpCaller {
    client: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
}

impl HttpCaller {
    pub(crate) fn new() -> Self {
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }

    /// Sends a call and reads the complete response; returns `None` if the connection broke or the
    /// call timed out.
    pub(crate) async fn call(
        &self,
        method: http::Method,
        address: net::SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<CallAnswer> {
        self.call_within(CALL_TIMEOUT, method, address, path, headers, body)
            .await
    }

    async fn call_within(
        &self,
        limit: time::Duration,
        method: http::Method,
        address: net::SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<CallAnswer> {
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body.into()).ok()?;
        let exchange = async {
            let answer = self.client.request(request).await.ok()?;
            let (parts, body) = answer.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(CallAnswer {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(limit, exchange).await.ok()?
    }

    pub(crate) async fn get(&self, address: net::SocketAddr, path: &str) -> Option<CallAnswer> {
        let method = http::Method::GET;
        self.call_within(OPERATOR_TIMEOUT, method, address, path, &[], String::new())
            .await
    }

    /// Sends a configuration change of an operator.
    pub(crate) async fn post(
        &self,
        address: net::SocketAddr,
        path: &str,
        body: String,
    ) -> Option<CallAnswer> {
        let method = http::Method::POST;
        self.call_within(OPERATOR_TIMEOUT, method, address, path, &[], body)
            .await
    }
}
