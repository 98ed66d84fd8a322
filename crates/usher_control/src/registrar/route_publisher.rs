//! Publishes the applied routes to gateways, as changes from the versions before. Not for: storing
//! them.

use std::{collections, sync};

use tokio::sync::watch;
use usher_wire::message;

use crate::{fleet, registrar};

/// The rules of the services whose engines may be ordered.
pub(crate) type ScalingRules =
    collections::BTreeMap<usher_types::ServiceName, usher_scale::ScalingRule>;

/// The published routes with their history; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct RoutePublisher {
    feed: sync::Arc<sync::Mutex<usher_route::RouteFeed>>,
    /// Version of the published routes.
    version: sync::Arc<watch::Sender<u64>>,
    scaling: sync::Arc<watch::Sender<ScalingRules>>,
}

impl RoutePublisher {
    /// Makes a publisher without routes; `epoch` must differ between runs of a process.
    pub(crate) fn new(epoch: u64) -> Self {
        let feed = usher_route::RouteFeed::new(epoch);
        Self {
            feed: sync::Arc::new(sync::Mutex::new(feed)),
            version: sync::Arc::new(watch::Sender::new(0)),
            scaling: sync::Arc::new(watch::Sender::new(collections::BTreeMap::new())),
        }
    }

    /// Returns the services of the published version whose engines may be ordered.
    pub(crate) fn scaling(&self) -> ScalingRules {
        self.scaling.borrow().clone()
    }

    /// Returns a receiver of the published version.
    pub(crate) fn watch_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns the next part of a transfer to a gateway.
    pub(crate) fn part(&self, request: &message::RouteChangesRequest) -> message::RoutesReply {
        let feed = self.lock();
        message::RoutesReply {
            version: feed.version().get(),
            document: Vec::new(),
            changes: Some(feed.part(request)),
        }
    }

    /// Publishes a set of routes if it is newer than the published one.
    pub(crate) fn publish<D>(&self, dialect: &D, routes: &registrar::VersionedRoutes)
    where
        D: usher_route::RouteDialect,
    {
        let started = std::time::Instant::now();
        let bytes = routes.document.len();
        let sheet = match dialect.read_routes(&routes.document) {
            Ok(sheet) => sheet,
            Err(reason) => {
                tracing::error!(
                    version = %routes.version,
                    bytes,
                    reason,
                    "can't publish the routes: failed to parse the document"
                );
                return;
            }
        };
        let scaled = sheet.services.iter();
        let scaled = scaled.filter_map(|(name, rule)| Some((name.clone(), rule.scaling.clone()?)));
        let scaling = scaled.collect();
        let mut feed = self.lock();
        let previous = feed.version();
        let Some(changes) = feed.update(sheet) else {
            return;
        };
        let version = feed.version();
        self.scaling.send_replace(scaling);
        drop(feed);
        self.version.send_replace(version.get());
        let publish_ms = started.elapsed().as_millis();
        tracing::info!(%version, %previous, bytes, changes, publish_ms, "routes published");
    }

    fn lock(&self) -> sync::MutexGuard<'_, usher_route::RouteFeed> {
        self.feed
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Publishes each version that this node applies, until the task is aborted.
pub(crate) async fn run<C, D>(
    publisher: RoutePublisher,
    dialect: D,
    routes: registrar::RouteStore<C>,
    access: fleet::FleetAccess,
) where
    C: usher_types::ClockSource,
    D: usher_route::RouteDialect,
{
    let mut applied = access.watch_applied();
    let mut handled = None;
    loop {
        let newest = routes.newest_known();
        let version = newest.as_ref().map(|routes| routes.version);
        if let Some(newest) = newest.filter(|_| version > handled) {
            let (publisher, dialect) = (publisher.clone(), dialect.clone());
            // Parsing a large document would hold up the messages of the consensus group.
            let publish = move || publisher.publish(&dialect, &newest);
            if let Err(error) = tokio::task::spawn_blocking(publish).await {
                tracing::error!(%error, "the task that publishes the routes failed");
            }
            handled = version;
            continue;
        }
        if applied.changed().await.is_err() {
            return;
        }
    }
}
