//! Requests to the leader of the control group. Not for: what they ask.

use std::{net, time};

use crate::{client, error};

/// How long one node may take to answer; a commit across regions takes well under a second.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(4);
/// Pause before the next node is asked.
const PAUSE: time::Duration = time::Duration::from_millis(200);
/// Redirects that are followed before another node is asked: two nodes that each believe the
/// other leads would send the request back and forth.
const MAX_REDIRECTS: usize = 3;

/// Finds the leader and sends requests to it.
#[derive(Clone, Debug)]
pub struct LeaderClient {
    addresses: Vec<net::SocketAddr>,
    timeout: time::Duration,
    client: client::JsonClient,
}

impl LeaderClient {
    /// Makes a client for the operators' addresses of the control VMs.
    pub fn new(addresses: Vec<net::SocketAddr>, timeout: time::Duration) -> Self {
        Self {
            addresses,
            timeout,
            client: client::JsonClient::new(),
        }
    }

    /// Reads from the leader.
    ///
    /// # Errors
    ///
    /// Fails when no leader answers in time.
    pub async fn get(&self, path: &str) -> Result<client::JsonAnswer, error::CommandError> {
        self.send(&http::Method::GET, path, None).await
    }

    /// Sends a request until a leader answers it.
    ///
    /// The request is sent again after a lost answer, so it must be one that the leader acts on
    /// only once, such as a change with a request id.
    ///
    /// # Errors
    ///
    /// Fails when no leader answers in time.
    pub async fn send(
        &self,
        method: &http::Method,
        path: &str,
        body: Option<&serde_json::Value>,
    ) -> Result<client::JsonAnswer, error::CommandError> {
        let deadline = tokio::time::Instant::now() + self.timeout;
        let mut last = "no address is given".to_owned();
        let mut turn = 0;
        while let Some(address) = self.addresses.get(turn % self.addresses.len().max(1)) {
            match self.ask(*address, method, path, body, deadline).await {
                Ok(answer) => return Ok(answer),
                Err(why) => last = why,
            }
            turn += 1;
            let now = tokio::time::Instant::now();
            if now + PAUSE >= deadline {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(self.give_up(&last))
    }

    /// Asks one node and follows its redirects; an error is a reason to ask another node.
    async fn ask(
        &self,
        first: net::SocketAddr,
        method: &http::Method,
        path: &str,
        body: Option<&serde_json::Value>,
        deadline: tokio::time::Instant,
    ) -> Result<client::JsonAnswer, String> {
        let mut address = first;
        for _ in 0..=MAX_REDIRECTS {
            let left = deadline.saturating_duration_since(tokio::time::Instant::now());
            let timeout = left.min(ATTEMPT_TIMEOUT);
            let sent = self.client.send(address, method, path, body, timeout).await;
            let answer = sent.map_err(|error| error.to_string())?;
            match answer.status {
                http::StatusCode::TEMPORARY_REDIRECT => {
                    address = redirect(&answer)
                        .ok_or_else(|| format!("{address} sent a redirect without an address"))?;
                }
                http::StatusCode::SERVICE_UNAVAILABLE => {
                    return Err(format!("{address}: {}", answer.error_text()));
                }
                _ => return Ok(answer),
            }
        }
        Err(format!("{first}: the nodes don't agree on a leader yet"))
    }

    fn give_up(&self, last: &str) -> error::CommandError {
        let tried: Vec<_> = self.addresses.iter().map(ToString::to_string).collect();
        error::CommandError::Failed(format!(
            "no leader answered within {}; last: {last}\ntried {}: check that most control VMs run \
             and reach each other (GET /readyz on each)",
            humantime::format_duration(self.timeout),
            tried.join(", ")
        ))
    }
}

fn redirect(answer: &client::JsonAnswer) -> Option<net::SocketAddr> {
    let location = answer.headers.get(http::header::LOCATION)?.to_str().ok()?;
    let uri: http::Uri = location.parse().ok()?;
    uri.authority()?.as_str().parse().ok()
}
