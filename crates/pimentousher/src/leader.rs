//! Sends requests to the leader of the control group, wherever it is.

use std::{net, time};

use crate::{client, error};

/// Time allowed for one node to respond; a commit across regions takes well under a second.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Delay before the request is sent to the next node.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Redirects that are followed before another node is tried; two nodes that each take the other
/// for the leader would redirect forever.
const MAX_REDIRECTS: usize = 3;

/// Client that finds the leader of the control group and sends requests to it.
#[derive(Clone, Debug)]
pub struct LeaderClient {
    addresses: Vec<net::SocketAddr>,
    timeout: time::Duration,
    client: client::JsonClient,
}

impl LeaderClient {
    /// Creates a client for the operator addresses of the control VMs.
    ///
    /// `timeout` limits each request, including its retries.
    pub fn new(addresses: Vec<net::SocketAddr>, timeout: time::Duration) -> Self {
        Self {
            addresses,
            timeout,
            client: client::JsonClient::new(),
        }
    }

    /// Sends a GET request to the leader.
    ///
    /// # Errors
    ///
    /// Fails if no leader responds in time.
    pub async fn get(&self, path: &str) -> Result<client::JsonResponse, error::CommandError> {
        self.send(&http::Method::GET, path, None).await
    }

    /// Sends a request, with retries, until a leader responds.
    ///
    /// The request is resent after a lost response, so it must be idempotent, such as a change with
    /// a request id.
    ///
    /// # Errors
    ///
    /// Fails if no leader responds in time.
    pub async fn send(
        &self,
        method: &http::Method,
        path: &str,
        body: Option<&serde_json::Value>,
    ) -> Result<client::JsonResponse, error::CommandError> {
        let deadline = tokio::time::Instant::now() + self.timeout;
        let mut last_error = "no address is given".to_owned();
        let mut attempt = 0;
        while let Some(address) = self.addresses.get(attempt % self.addresses.len().max(1)) {
            match self
                .request_node(*address, method, path, body, deadline)
                .await
            {
                Ok(response) => return Ok(response),
                Err(reason) => last_error = reason,
            }
            attempt += 1;
            let now = tokio::time::Instant::now();
            if now + RETRY_DELAY >= deadline {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(self.timeout_error(&last_error))
    }

    /// Sends the request to one node and follows its redirects; after an error, the caller tries
    /// another node.
    async fn request_node(
        &self,
        first: net::SocketAddr,
        method: &http::Method,
        path: &str,
        body: Option<&serde_json::Value>,
        deadline: tokio::time::Instant,
    ) -> Result<client::JsonResponse, String> {
        let mut address = first;
        for _ in 0..=MAX_REDIRECTS {
            let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
            let timeout = remaining.min(ATTEMPT_TIMEOUT);
            let result = self.client.send(address, method, path, body, timeout).await;
            let response = result.map_err(|error| error.to_string())?;
            match response.status {
                http::StatusCode::TEMPORARY_REDIRECT => {
                    address = redirect_address(&response)
                        .ok_or_else(|| format!("{address} sent a redirect without an address"))?;
                }
                http::StatusCode::SERVICE_UNAVAILABLE => {
                    return Err(format!("{address}: {}", response.error_text()));
                }
                _ => return Ok(response),
            }
        }
        Err(format!("{first}: the nodes don't agree on a leader yet"))
    }

    fn timeout_error(&self, last_error: &str) -> error::CommandError {
        let tried: Vec<_> = self.addresses.iter().map(ToString::to_string).collect();
        error::CommandError::Failed(format!(
            "no leader answered within {}; last: {last_error}\ntried {}: check that most control VMs run \
             and reach each other (GET /readyz on each)",
            humantime::format_duration(self.timeout),
            tried.join(", ")
        ))
    }
}

fn redirect_address(response: &client::JsonResponse) -> Option<net::SocketAddr> {
    let location = response
        .headers
        .get(http::header::LOCATION)?
        .to_str()
        .ok()?;
    let uri: http::Uri = location.parse().ok()?;
    uri.authority()?.as_str().parse().ok()
}
