//! The watch on one registrar. Not for: which registrars are watched.

use std::{net, time};

use tokio::sync::mpsc;
use usher_wire::message::{self, envelope};

/// How long a registrar may hold a request while nothing changes. Each request costs bytes
/// between regions, and silence of the link is noticed within this time and the margin.
const HOLD: time::Duration = time::Duration::from_millis(1_000);

/// How long after the hold a reply may come; more than a round trip between regions and a busy
/// processor need.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Pause after a failed call. A registrar that restarts is back within a second, and a watch must
/// be up again well within the time in which a leaving target must be known everywhere.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);

/// What a registrar sent, or that it can't be reached.
#[derive(Clone, Debug)]
pub struct WatchUpdate {
    /// Address of the registrar.
    pub address: net::SocketAddr,
    /// The reply; `None` when the call failed.
    pub reply: Option<message::WatchReply>,
    /// Client of the registrar, for further calls.
    pub client: usher_wire::CallClient,
}

/// What a watch asks for.
#[derive(Clone, Debug)]
pub(crate) struct WatchPlan {
    pub(crate) address: net::SocketAddr,
    pub(crate) identity: usher_wire::WireIdentity,
    pub(crate) is_gateway: bool,
}

/// Where the watch stands.
#[derive(Clone, Copy, Debug, Default)]
struct WatchCursor {
    epoch: u64,
    cursor: u64,
    routes_version: u64,
    members_index: u64,
}

/// Watches one registrar until the receiver of the news is gone.
pub(crate) async fn run(plan: WatchPlan, news: mpsc::Sender<WatchUpdate>) {
    let mut client = usher_wire::CallClient::new(plan.address, plan.identity.clone());
    let mut cursor = WatchCursor::default();
    let mut reachable = true;
    loop {
        let body = envelope::Body::WatchRequest(request(&plan, cursor));
        let reply = match client.call(body, HOLD + REPLY_MARGIN).await {
            Ok(envelope::Body::WatchReply(reply)) => Some(reply),
            Ok(_) => None,
            Err(error) => {
                if reachable {
                    tracing::warn!(registrar = %plan.address, %error, "lost a registrar");
                }
                None
            }
        };
        if let Some(reply) = &reply {
            if !reachable {
                tracing::info!(registrar = %plan.address, "reached the registrar again");
            }
            cursor = WatchCursor {
                epoch: reply.epoch,
                cursor: reply.cursor,
                routes_version: reply.routes_version,
                members_index: reply.members_index,
            };
        }
        let failed = reply.is_none();
        reachable = !failed;
        let item = WatchUpdate {
            address: plan.address,
            reply,
            client: client.clone(),
        };
        if news.send(item).await.is_err() {
            return;
        }
        if failed {
            tokio::time::sleep(RETRY_PAUSE).await;
            // The connection may be open and silent for good.
            client = usher_wire::CallClient::new(plan.address, plan.identity.clone());
        }
    }
}

fn request(plan: &WatchPlan, cursor: WatchCursor) -> message::WatchRequest {
    message::WatchRequest {
        epoch: cursor.epoch,
        cursor: cursor.cursor,
        routes_version: cursor.routes_version,
        members_index: cursor.members_index,
        wait_ms: u32::try_from(HOLD.as_millis()).unwrap_or(u32::MAX),
        gateway: plan.is_gateway,
        own_targets_only: !plan.is_gateway,
    }
}
