//! Writes and reads the replicated routes. Not for: interpreting them.

use std::{sync, time};

use tokio::sync::watch;
use usher_wire::message::{self, envelope, state_command, state_outcome};

use crate::{error, fleet};

/// Timeout of a request to the leader to confirm the current version.
const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Timeout for this node to apply a version that the leader has confirmed.
const APPLY_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Longest time for which the acknowledgement of routes waits until they are in the file that a
/// restart reads; a disk may stall.
const MAX_STORE_TIME: time::Duration = time::Duration::from_millis(300);

/// A set of routes with its version, byte for byte as its author sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRoutes {
    /// Version of the set; the highest one is in force.
    pub version: usher_types::ConfigVersion,
    /// Document in the format of the author.
    pub document: bytes::Bytes,
}

/// Writes and reads the routes; works on any node, by requests to the leader; cheap to clone.
#[derive(Clone, Debug)]
pub struct RouteStore<C> {
    access: fleet::FleetAccess,
    clients: sync::Arc<fleet::PeerClients>,
    router: sync::Arc<fleet::CommandRouter<C>>,
    /// Routes that had been applied before the restart; `None` if the last-known file has none.
    restored: Option<VersionedRoutes>,
    /// Version of the routes in the file that a restart reads.
    stored: sync::Arc<watch::Sender<u64>>,
}

impl<C> RouteStore<C>
where
    C: usher_types::ClockSource,
{
    pub(crate) fn new(
        access: fleet::FleetAccess,
        clients: sync::Arc<fleet::PeerClients>,
        router: sync::Arc<fleet::CommandRouter<C>>,
        restored: Option<VersionedRoutes>,
    ) -> Self {
        Self {
            access,
            clients,
            router,
            restored,
            stored: sync::Arc::new(watch::Sender::new(0)),
        }
    }

    /// Records which version of the routes is in the file that a restart reads.
    pub(crate) fn mark_stored(&self, version: u64) {
        self.stored.send_replace(version);
    }

    /// Waits until a version is in the file that a restart reads, so that this node can tell it right
    /// after a restart; gives up after a time.
    async fn wait_stored(&self, version: usher_types::ConfigVersion) {
        let mut stored = self.stored.subscribe();
        let is_stored = stored.wait_for(|stored| *stored >= version.get());
        if tokio::time::timeout(MAX_STORE_TIME, is_stored)
            .await
            .is_err()
        {
            tracing::warn!(%version, "acknowledged routes are not in the last-known file yet");
        }
    }

    /// Proposes a set of routes, which takes effect if its version is the highest; the caller has
    /// validated it. Returns the version in force after that, as soon as it is durable on a quorum.
    ///
    /// # Errors
    ///
    /// After an error the set may or may not take effect; the call can be repeated.
    pub async fn put(
        &self,
        routes: VersionedRoutes,
    ) -> Result<usher_types::ConfigVersion, error::CommandError> {
        let started = tokio::time::Instant::now();
        let bytes = routes.document.len();
        let put = message::RoutePut {
            version: routes.version.get(),
            document: routes.document.to_vec(),
        };
        let outcome = self
            .router
            .propose(state_command::Kind::PutRoutes(put))
            .await?;
        match outcome.kind {
            Some(state_outcome::Kind::Routes(outcome)) => {
                let version = usher_types::ConfigVersion::new(outcome.version);
                tracing::info!(
                    put = %routes.version,
                    in_force = %version,
                    outcome.changed,
                    bytes,
                    propose_ms = started.elapsed().as_millis(),
                    "routes put"
                );
                self.wait_stored(version).await;
                Ok(version)
            }
            _ => Err(error::CommandError::Unknown(
                "the outcome is not one of a route change".to_owned(),
            )),
        }
    }

    /// Reads the routes in force; returns `None` if there are none yet.
    ///
    /// # Errors
    ///
    /// Fails when no leader with a quorum confirms the version, or when this node doesn't catch up
    /// with it in time.
    pub async fn read(&self) -> Result<Option<VersionedRoutes>, error::CommandError> {
        let version = self.confirmed_version().await?;
        let mut applied = self.access.watch_applied();
        let caught_up = async {
            loop {
                applied.mark_unchanged();
                if let Some(routes) = self
                    .applied()
                    .filter(|routes| routes.version.get() >= version)
                {
                    return Some(routes);
                }
                if version == 0 {
                    return None;
                }
                if applied.changed().await.is_err() {
                    return None;
                }
            }
        };
        tokio::time::timeout(APPLY_TIMEOUT, caught_up)
            .await
            .map_err(|_| {
                error::CommandError::Unknown(format!(
                    "routes version {version} not applied here within {APPLY_TIMEOUT:?}"
                ))
            })
    }

    /// Returns the routes that this node has applied; it may lag behind the leader.
    pub(crate) fn applied(&self) -> Option<VersionedRoutes> {
        self.access.view(|state| {
            let routes = state.routes();
            (routes.version() > 0).then(|| VersionedRoutes {
                version: usher_types::ConfigVersion::new(routes.version()),
                document: routes.document().clone(),
            })
        })
    }

    /// Returns the newest routes known to this node, for gateways: the applied ones, or, until a
    /// leader is elected, those applied before the restart. Both have been committed, and what this
    /// node has acknowledged is among them.
    pub(crate) fn newest_known(&self) -> Option<VersionedRoutes> {
        let restored = self.restored.clone();
        self.applied()
            .into_iter()
            .chain(restored)
            .max_by_key(|routes| routes.version)
    }

    /// Returns the current version if this node is the leader and a quorum confirms its leadership.
    pub(crate) async fn confirm_as_leader(&self) -> Option<u64> {
        self.access
            .read(|state| state.routes().version())
            .await
            .ok()
    }

    async fn confirmed_version(&self) -> Result<u64, error::CommandError> {
        if let Some(version) = self.confirm_as_leader().await {
            return Ok(version);
        }
        let (_, address) = self
            .access
            .status()
            .leader
            .ok_or(error::CommandError::NoLeader)?;
        let request = message::RoutesRequest {
            confirmed: true,
            changes: None,
        };
        let client = self.clients.find(address);
        let call = client.call(envelope::Body::RoutesRequest(request), CONFIRM_TIMEOUT);
        match call.await {
            Ok(envelope::Body::RoutesReply(reply)) => Ok(reply.version),
            Ok(_) => Err(error::CommandError::Unknown(
                "the leader's reply is not a routes reply".to_owned(),
            )),
            Err(error) => Err(error::CommandError::Unknown(error.to_string())),
        }
    }
}
