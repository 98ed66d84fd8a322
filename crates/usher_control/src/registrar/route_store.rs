//! Puts routes into force and reads them. Not for: what a set of routes means.

use std::{sync, time};

use usher_wire::message::{self, envelope, state_command, state_outcome};

use crate::{error, fleet};

/// How long the leader may take to confirm the version in force.
const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// How long this node may take to apply a version that the leader confirmed.
const APPLY_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// A set of routes as its author sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRoutes {
    /// Its version.
    pub version: usher_types::ConfigVersion,
    /// Its bytes.
    pub document: bytes::Bytes,
}

/// Writes and reads the routes through the leader, whichever node that is.
#[derive(Clone, Debug)]
pub struct RouteStore<C> {
    access: fleet::FleetAccess,
    clients: sync::Arc<fleet::PeerClients>,
    router: sync::Arc<fleet::CommandRouter<C>>,
    /// Routes that were applied before a restart; `None` on an empty disk.
    restored: Option<VersionedRoutes>,
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
        }
    }

    /// Puts a checked set of routes into force if its version is the highest; returns the version
    /// that is in force then, once that is durable on a quorum.
    ///
    /// # Errors
    ///
    /// After an error the set may or may not come into force; it can be put again.
    pub async fn put(
        &self,
        routes: VersionedRoutes,
    ) -> Result<usher_types::ConfigVersion, error::RouteError> {
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
                tracing::info!(put = %routes.version, in_force = %version, outcome.changed, "routes put");
                Ok(version)
            }
            _ => Err(error::RouteError::Unknown("unexpected outcome".to_owned())),
        }
    }

    /// Reads the routes in force; `None` before the first ones.
    ///
    /// # Errors
    ///
    /// Fails when no leader with a quorum confirms the version, or this node lags too far behind.
    pub async fn read(&self) -> Result<Option<VersionedRoutes>, error::RouteError> {
        let version = self.confirmed_version().await?;
        let mut applied = self.access.watch_applied();
        let caught_up = async {
            loop {
                applied.mark_unchanged();
                if let Some(held) = self.applied().filter(|held| held.version.get() >= version) {
                    return Some(held);
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
            .map_err(|_| error::RouteError::Unknown("this node is behind the leader".to_owned()))
    }

    /// Returns the routes that this node has applied; they may be behind.
    pub(crate) fn applied(&self) -> Option<VersionedRoutes> {
        self.access.view(|state| {
            let routes = state.routes();
            (routes.version() > 0).then(|| VersionedRoutes {
                version: usher_types::ConfigVersion::new(routes.version()),
                document: routes.document().clone(),
            })
        })
    }

    /// Returns the newest routes that are known here, for gateways: those that were applied, or until
    /// a leader is elected those that were applied before a restart. Both were committed.
    pub(crate) fn newest_known(&self) -> Option<VersionedRoutes> {
        let restored = self.restored.clone();
        self.applied()
            .into_iter()
            .chain(restored)
            .max_by_key(|held| held.version)
    }

    /// Confirms the version in force here; only the leader can.
    pub(crate) async fn confirm_here(&self) -> Option<u64> {
        self.access
            .read(|state| state.routes().version())
            .await
            .ok()
    }

    async fn confirmed_version(&self) -> Result<u64, error::RouteError> {
        if let Some(version) = self.confirm_here().await {
            return Ok(version);
        }
        let (_, address) = self
            .access
            .status()
            .leader
            .ok_or(error::RouteError::NoLeader)?;
        let request = message::RoutesRequest { confirmed: true };
        let client = self.clients.find(address);
        let call = client.call(envelope::Body::RoutesRequest(request), CONFIRM_TIMEOUT);
        match call.await {
            Ok(envelope::Body::RoutesReply(reply)) => Ok(reply.version),
            Ok(_) => Err(error::RouteError::Unknown("unexpected reply".to_owned())),
            Err(error) => Err(error::RouteError::Unknown(error.to_string())),
        }
    }
}
