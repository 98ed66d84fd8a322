//! Announces a target and its load to the entries.

use std::{net, time};

use http_body_util::BodyExt as _;

use crate::server;

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// The load in an announcement, and the response to `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoadSnapshot {
    /// Time of the report, in ms since the Unix epoch.
    pub at_ms: u64,
    /// Number of running streams.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of prompt tokens not yet processed.
    pub prefill_tokens_waiting: u64,
    /// Number of pieces of KV cache memory in use.
    pub kv_pieces_used: u64,
}

/// The body of `POST /v1/targets/announce`.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Announcement {
    /// Name of the target.
    pub name: usher_types::TargetName,
    /// Incarnation of the target under that name.
    pub incarnation: usher_types::IncarnationId,
    /// Listen address.
    pub address: net::SocketAddr,
    /// Engine or plain service.
    pub kind: usher_types::TargetKind,
    /// Service that it belongs to.
    pub service: usher_types::ServiceName,
    /// Model that an engine has loaded.
    pub model: Option<usher_types::ModelName>,
    /// Adapters that an engine has loaded.
    pub adapters: Vec<usher_types::AdapterName>,
    /// Version of the model.
    pub version: Option<usher_types::VersionName>,
    /// Role of an engine.
    pub role: Option<usher_types::EngineRole>,
    /// Region.
    pub region: usher_types::RegionName,
    /// Failure domain.
    pub domain: usher_types::DomainName,
    /// KV cache memory of an engine, in pieces.
    pub kv_pieces: u64,
    /// Whether an engine checks fencing numbers.
    pub fenced: bool,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
    /// Current load.
    pub load: LoadSnapshot,
}

/// Sends announcements to the entries in turn until the server ends.
pub(crate) async fn run_announcer<F>(
    entries: Vec<net::SocketAddr>,
    interval: time::Duration,
    handle: server::ServerHandle,
    mut make_announcement: F,
) where
    F: FnMut() -> Announcement + Send + 'static,
{
    if entries.is_empty() {
        return;
    }
    let client = make_client();
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for entry in entries.iter().cycle() {
        tokio::select! {
            () = handle.ended() => return,
            _ = ticks.tick() => {}
        }
        let announcement = make_announcement();
        let post = post_json(&client, *entry, &announcement);
        if tokio::time::timeout(ANNOUNCE_TIMEOUT, post).await.is_err() {
            tracing::debug!(%entry, "announcement timed out");
        }
    }
}

type AnnounceClient = hyper_util::client::legacy::Client<
    hyper_util::client::legacy::connect::HttpConnector,
    http_body_util::Full<bytes::Bytes>,
>;

fn make_client() -> AnnounceClient {
    hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new()).build_http()
}

async fn post_json(client: &AnnounceClient, entry: net::SocketAddr, body: &Announcement) {
    let Ok(bytes) = serde_json::to_vec(body) else {
        return;
    };
    let request = http::Request::post(format!("http://{entry}/v1/targets/announce"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(http_body_util::Full::from(bytes));
    let Ok(request) = request else {
        return;
    };
    match client.request(request).await {
        // The client reuses a connection only after the response body was read.
        Ok(response) => drop(response.into_body().collect().await),
        Err(error) => tracing::debug!(%entry, %error, "announcement failed"),
    }
}
