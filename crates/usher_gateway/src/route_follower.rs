//! Keeps the routes in force at the newest version that a registrar offers. Not for: the watches
//! that bring the offers.

use std::{collections, mem, net, sync, time};

use prost::Message as _;
use usher_place::TargetDistance;
use usher_route::{RouteTable, RouteTransfer};
use usher_watch::{SourceChoice, SourceSelector};
use usher_wire::message::{self, envelope};

use crate::{core, dialect};

/// Delay before the routes are fetched from a registrar of another region, whose traffic is billed
/// by volume; longer than the registrars' own replication takes.
const OTHER_REGION_DELAY: time::Duration = time::Duration::from_millis(250);

/// Versions of the routes that registrars offer; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteOffers {
    state: sync::Arc<sync::Mutex<OfferState>>,
    changed: sync::Arc<tokio::sync::Notify>,
}

#[derive(Debug, Default)]
struct OfferState {
    selector: SourceSelector,
    clients: collections::HashMap<net::SocketAddr, usher_wire::CallClient>,
}

impl RouteOffers {
    /// Records the version that a registrar offers.
    pub(crate) fn offer(
        &self,
        client: usher_wire::CallClient,
        version: u64,
        distance: TargetDistance,
        now: time::Instant,
    ) {
        let preference = match distance {
            TargetDistance::SameDomain | TargetDistance::SameRegion => time::Duration::ZERO,
            TargetDistance::OtherRegion => OTHER_REGION_DELAY,
        };
        let mut state = self.lock();
        let source = client.address();
        state.selector.offer(source, version, preference, now);
        state.clients.insert(source, client);
        drop(state);
        self.changed.notify_one();
    }

    /// Forgets a registrar that can't be reached.
    pub(crate) fn withdraw(&self, source: net::SocketAddr) {
        let mut state = self.lock();
        state.selector.withdraw(source);
        state.clients.remove(&source);
    }

    fn lock(&self) -> sync::MutexGuard<'_, OfferState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A transfer that has not ended, and the registrar that it comes from.
struct OpenTransfer {
    source: net::SocketAddr,
    transfer: RouteTransfer,
    started: time::Instant,
    bytes: usize,
}

/// The reason for which a request for routes brought nothing.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error(transparent)]
    Call(#[from] usher_wire::CallError),
    #[error("the reply is not a routes reply")]
    OtherReply,
    #[error(transparent)]
    Transfer(#[from] usher_route::TransferError),
    #[error("invalid document: {0}")]
    Document(String),
    #[error("the registrar sent version {sent}, which isn't newer")]
    NotNewer { sent: u64 },
}

/// Routes that a fetch has put in force.
struct NewRoutes {
    version: u64,
    /// Number of routes that were sent.
    changes: usize,
}

/// Follows the offers until the task is aborted, with one request at a time.
pub(crate) async fn run<D, C>(core: sync::Arc<core::GatewayCore<D, C>>, offers: RouteOffers)
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let mut open: Option<OpenTransfer> = None;
    // Set when the routes in force turned out to differ from those of their version.
    let mut needs_all = false;
    loop {
        let changed = offers.changed.notified();
        let now = core.clock.now();
        let has_parts = open.as_ref().filter(|open| !open.transfer.is_empty());
        let source_of_open = has_parts.map(|open| open.source);
        let choice = {
            let selector = &mut offers.lock().selector;
            selector.choose(core.routes_version(), source_of_open, now)
        };
        let (source, timeout) = match choice {
            SourceChoice::Fetch { source, timeout } => (source, timeout),
            SourceChoice::Wait(until) => {
                let wait = until.saturating_duration_since(now);
                let _ = tokio::time::timeout(wait, changed).await;
                continue;
            }
            SourceChoice::Current => {
                changed.await;
                continue;
            }
        };
        let Some(client) = offers.lock().clients.get(&source).cloned() else {
            offers.withdraw(source);
            continue;
        };
        let base = if needs_all { 0 } else { core.routes_version() };
        let mut transfer = open
            .take()
            .filter(|open| open.source == source)
            .unwrap_or_else(|| OpenTransfer {
                source,
                transfer: RouteTransfer::new(usher_types::ConfigVersion::new(base)),
                started: now,
                bytes: 0,
            });
        let result = fetch_part(&core, &client, &mut transfer, timeout).await;
        let ended = core.clock.now();
        match result {
            Ok(Some(routes)) => {
                needs_all = false;
                core.metrics.routes_fetched("answered");
                offers.lock().selector.record_success(source);
                tracing::info!(
                    version = routes.version,
                    from = %source,
                    base,
                    changes = routes.changes,
                    bytes = transfer.bytes,
                    transfer_ms = ended.saturating_duration_since(transfer.started).as_millis(),
                    "routes in force"
                );
            }
            Ok(None) => {
                core.metrics.routes_fetched("answered");
                open = Some(transfer);
            }
            Err(error) => {
                core.metrics.routes_fetched("failed");
                let mut state = offers.lock();
                state.selector.record_failure(source, ended);
                tracing::warn!(
                    %error,
                    from = %source,
                    held = core.routes_version(),
                    offered = state.selector.newest(),
                    fetch_ms = ended.saturating_duration_since(now).as_millis(),
                    "failed to fetch the routes"
                );
                match error {
                    // The next request to the registrar asks for the same part again.
                    FetchError::Call(_) => open = Some(transfer),
                    FetchError::Transfer(_) => needs_all = true,
                    _ => {}
                }
            }
        }
    }
}

/// Fetches one part; activates the routes if it is the last one.
async fn fetch_part<D, C>(
    core: &core::GatewayCore<D, C>,
    client: &usher_wire::CallClient,
    open: &mut OpenTransfer,
    timeout: time::Duration,
) -> Result<Option<NewRoutes>, FetchError>
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let request = message::RoutesRequest {
        confirmed: false,
        changes: Some(open.transfer.request()),
    };
    let call = client.call(envelope::Body::RoutesRequest(request), timeout);
    let envelope::Body::RoutesReply(reply) = call.await? else {
        return Err(FetchError::OtherReply);
    };
    let bytes = reply.encoded_len();
    core.metrics.routes_received(bytes);
    open.bytes += bytes;
    let version = usher_types::ConfigVersion::new(reply.version);
    let (changes, is_newer) = match &reply.changes {
        Some(part) => {
            open.transfer.add(part)?;
            if !part.last {
                return Ok(None);
            }
            let transfer = mem::take(&mut open.transfer);
            let changes = transfer.len();
            let apply = |table: &mut RouteTable| transfer.apply(table, version, part);
            (changes, core.update_routes(version, apply)?)
        }
        // A registrar of a version without changes sends the document.
        None => {
            let sheet = core.dialect.read_routes(&reply.document);
            let sheet = sheet.map_err(FetchError::Document)?;
            let changes = sheet.routes.len();
            let replace = |table: &mut RouteTable| -> Result<(), FetchError> {
                *table = RouteTable::new(sheet);
                Ok(())
            };
            (changes, core.update_routes(version, replace)?)
        }
    };
    let version = version.get();
    if !is_newer {
        return Err(FetchError::NotNewer { sent: version });
    }
    Ok(Some(NewRoutes { version, changes }))
}
