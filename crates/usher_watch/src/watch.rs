//! The watch on one registrar. Not for: which registrars are watched.

use std::{net, time};

use tokio::sync::mpsc;
use usher_wire::message::{self, envelope};

/// Maximum time for which a registrar may hold a request while nothing changes. Each request costs
/// traffic between regions, and a silent link is detected within this time and the margin.
const LONG_POLL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Time for a reply to arrive in addition to the long-poll timeout; longer than a round trip
/// between regions and a busy processor need.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Delay after a failed call. A registrar that restarts is back within a second, and a watch must
/// be up again well within the time in which a leaving target must be known everywhere.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// A reply of a registrar, or the failure to reach it.
#[derive(Clone, Debug)]
pub struct WatchUpdate {
    /// Address of the registrar.
    pub address: net::SocketAddr,
    /// The reply; `None` when the call failed.
    pub reply: Option<message::WatchReply>,
    /// Client of the registrar, for further calls.
    pub client: usher_wire::CallClient,
}

/// The parameters of a watch.
#[derive(Clone, Debug)]
pub(crate) struct WatchOptions {
    pub(crate) address: net::SocketAddr,
    pub(crate) identity: usher_wire::WireIdentity,
    pub(crate) is_gateway: bool,
}

/// The position of a watch in the feed of a registrar.
#[derive(Clone, Copy, Debug, Default)]
struct WatchCursor {
    epoch: u64,
    cursor: u64,
    routes_version: u64,
    members_index: u64,
    broken_calls: u64,
}

/// Watches one registrar until the receiver of the updates is dropped.
pub(crate) async fn run(options: WatchOptions, updates: mpsc::Sender<WatchUpdate>) {
    let mut client = usher_wire::CallClient::new(options.address, options.identity.clone());
    let mut cursor = WatchCursor::default();
    let mut reachable = true;
    loop {
        let body = envelope::Body::WatchRequest(request(&options, cursor, !reachable));
        let reply = match client.call(body, LONG_POLL_TIMEOUT + REPLY_MARGIN).await {
            Ok(envelope::Body::WatchReply(reply)) => Some(reply),
            Ok(_) => None,
            Err(error) => {
                if reachable {
                    tracing::warn!(registrar = %options.address, %error, "lost a registrar");
                }
                None
            }
        };
        if let Some(reply) = &reply {
            if !reachable {
                tracing::info!(registrar = %options.address, "reached the registrar again");
            }
            cursor = WatchCursor {
                epoch: reply.epoch,
                cursor: reply.cursor,
                routes_version: reply.routes_version,
                members_index: reply.members_index,
                broken_calls: reply.broken_calls_cursor,
            };
        }
        let failed = reply.is_none();
        reachable = !failed;
        let update = WatchUpdate {
            address: options.address,
            reply,
            client: client.clone(),
        };
        if updates.send(update).await.is_err() {
            return;
        }
        if failed {
            tokio::time::sleep(RETRY_DELAY).await;
            // The old connection may stay open without ever carrying data again.
            client = usher_wire::CallClient::new(options.address, options.identity.clone());
        }
    }
}

fn request(
    options: &WatchOptions,
    cursor: WatchCursor,
    all_role_changes: bool,
) -> message::WatchRequest {
    message::WatchRequest {
        epoch: cursor.epoch,
        cursor: cursor.cursor,
        routes_version: cursor.routes_version,
        members_index: cursor.members_index,
        wait_ms: u32::try_from(LONG_POLL_TIMEOUT.as_millis()).unwrap_or(u32::MAX),
        gateway: options.is_gateway,
        own_targets_only: !options.is_gateway,
        all_role_changes,
        broken_calls_cursor: cursor.broken_calls,
    }
}
