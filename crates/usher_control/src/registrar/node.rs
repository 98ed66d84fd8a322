//! Starts, runs and stops a registrar. Not for: reading settings.

use std::{sync, time};

use crate::{error, fleet, registrar};

/// Number of applied commands between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 48;

/// Payload of applied commands between two snapshots, in bytes. Each command contains all routes,
/// up to three megabytes.
const SNAPSHOT_BYTES: usize = 8 * 1_024 * 1_024;

/// Silence after which a member loses its vote to a replacement that has caught up. A VM that was
/// removed counts as lost until 4 s after the start of its replacement.
const LOST_AFTER: time::Duration = time::Duration::from_millis(2_000);

/// Interval at which the leader checks whether the membership needs repair.
const REPAIR_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Largest number of members with up to five voters, including the spares that wait to replace one.
/// With more voters, two spares are possible.
const MAX_MEMBERS: usize = 8;

/// Shortest election timeout; a registrar grants no vote for this long after a message of a leader.
/// Three heartbeats and the longest round trip fit in. After all processes were killed, gateways
/// have no routes until the first election ends, unless a registrar has restored them from its
/// last-known file.
const ELECTION_MIN: time::Duration = time::Duration::from_millis(550);

/// Longest election timeout of a registrar without a leader.
const ELECTION_MAX: time::Duration = time::Duration::from_millis(1_000);

/// Interval at which targets are checked for missing heartbeats.
const EXPIRE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time that the servers continue to run after a stop has begun, so that accepted calls are
/// answered.
const STOP_GRACE: time::Duration = time::Duration::from_millis(300);

/// A registrar that has not been started yet.
#[derive(Debug)]
pub struct RegistrarNode<D, C> {
    options: registrar::RegistrarOptions,
    dialect: D,
    clock: C,
}

/// A running registrar; dropping it aborts its tasks.
#[derive(Debug)]
pub struct RunningRegistrar<C> {
    replica: usher_replica::ReplicaHandle<usher_state::FleetState>,
    targets: registrar::TargetRegistry<C>,
    routes: registrar::RouteStore<C>,
    metrics: registrar::RegistrarMetrics,
    stop: usher_kernel::StopSource,
    seeds: tokio::sync::mpsc::Sender<Vec<std::net::SocketAddr>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl<D, C> RegistrarNode<D, C>
where
    D: registrar::OrderDialect + registrar::DutyDialect + usher_route::RouteDialect,
    C: usher_types::ClockSource,
{
    /// Creates a registrar that sends orders to engines and reads the routes in `dialect`, and whose
    /// leases and timeouts follow `clock`.
    pub fn new(options: registrar::RegistrarOptions, dialect: D, clock: C) -> Self {
        Self {
            options,
            dialect,
            clock,
        }
    }

    /// Starts the replica, the wire server and the background tasks, such as the watches on other
    /// registrars.
    ///
    /// # Errors
    ///
    /// Fails when it can't listen on the address or can't use the data folder.
    pub async fn start(self) -> Result<RunningRegistrar<C>, error::ControlError> {
        let address = self.options.address;
        let listener = usher_kernel::open_listener(address).await;
        let listener = listener.map_err(|error| error::ControlError::Listen { address, error })?;
        let replica = usher_replica::ReplicaBuilder::new(
            self.replica_settings(),
            usher_state::FleetState::new(),
        );
        let replica = replica.with_clock(self.clock.clone()).start().await?;
        let identity = usher_wire::WireIdentity {
            cluster: self.options.cluster.clone(),
            node: replica.identity().name.clone(),
            incarnation: replica.identity().incarnation,
        };
        let access = fleet::FleetAccess::new(replica.clone());
        let clients = sync::Arc::new(fleet::PeerClients::new(identity.clone()));
        let router = fleet::CommandRouter::new(access.clone(), clients.clone(), self.clock.clone());
        let router = sync::Arc::new(router);
        let file = registrar::last_known_file::LastKnownFile::new(self.options.folder.clone());
        let last_known = file.read().unwrap_or_default();
        tracing::info!(
            routes = last_known.routes_version,
            targets = last_known.targets.len(),
            "last-known routes and targets restored"
        );
        let publisher = registrar::route_publisher::RoutePublisher::new(
            usher_types::IncarnationSource::random().get(),
        );
        let broken_calls = registrar::broken_calls::BrokenCallRegistry::new(
            self.options.crash_lifetime,
            self.clock.clone(),
            &last_known,
        );
        let departure_copies = registrar::departure_copies::DepartureCopies::new(
            access.clone(),
            clients.clone(),
            address,
            self.options.tolerated_losses,
        );
        let targets = registrar::TargetRegistry::new(
            &self.options,
            access.clone(),
            departure_copies,
            self.clock.clone(),
            &last_known,
            publisher.watch_version(),
            broken_calls.clone(),
        );
        let restored = (last_known.routes_version > 0).then(|| registrar::VersionedRoutes {
            version: usher_types::ConfigVersion::new(last_known.routes_version),
            document: last_known.routes_document.into(),
        });
        let routes =
            registrar::RouteStore::new(access.clone(), clients.clone(), router.clone(), restored);
        if let Some(restored) = routes.newest_known() {
            publisher.publish(&self.dialect, &restored);
        }
        let published = tokio::spawn(registrar::route_publisher::run(
            publisher.clone(),
            self.dialect.clone(),
            routes.clone(),
            access.clone(),
        ));
        let gateway_loads = registrar::load_aggregator::LoadAggregator::new(self.clock.clone());
        let metrics = registrar::RegistrarMetrics::new();
        let outside = self.outside_client(&access);
        let usage = self.usage_collector(&access, &metrics);
        let usage_reporter = outside.as_ref().zip(usage.clone());
        let usage_reporter =
            usage_reporter.map(
                |(outside, collector)| registrar::usage_reports::UsageReporter {
                    dialect: self.dialect.clone(),
                    collector,
                    client: outside.clone(),
                    access: access.clone(),
                    router: router.clone(),
                    clients: clients.clone(),
                    own_address: address,
                    metrics: metrics.clone(),
                    accepted: sync::Arc::default(),
                },
            );
        let usage_reports = usage_reporter.map(|reporter| tokio::spawn(reporter.run()));
        let orders_engines = self
            .options
            .outside
            .as_ref()
            .is_some_and(|outside| outside.duties.contains(&usher_config::DutyKind::Autoscale));
        let engine_orderer = outside.filter(|_| orders_engines);
        let engine_orderer = engine_orderer.map(|client| registrar::engine_orders::EngineOrderer {
            dialect: self.dialect.clone(),
            client,
            publisher: publisher.clone(),
            targets: targets.clone(),
            loads: gateway_loads.clone(),
            metrics: metrics.clone(),
            clock: self.clock.clone(),
        });
        let engine_orders = engine_orderer.map(|orderer| tokio::spawn(orderer.run()));
        let (stop, signal) = usher_kernel::StopSource::new();
        let handler = registrar::handler::RegistrarHandler {
            access: access.clone(),
            router,
            targets: targets.clone(),
            routes: routes.clone(),
            publisher,
            broken_calls: broken_calls.clone(),
            gateway_loads: gateway_loads.clone(),
            usage,
        };
        let server_identity = identity.clone();
        let server = tokio::spawn(async move {
            let handler = sync::Arc::new(handler);
            usher_wire::serve(listener, server_identity, handler, signal.stopped()).await;
        });
        let (group, updates) = usher_watch::WatchGroup::new(
            identity,
            usher_watch::WatcherKind::Registrar,
            Some(address),
            self.options.seeds.clone(),
        );
        let (seeds, new_seeds) = tokio::sync::mpsc::channel(1);
        let role_orders = tokio::spawn(registrar::role_orders::run(
            self.dialect,
            targets.clone(),
            access.clone(),
            self.options.order_lease,
            self.clock,
        ));
        let load_reports =
            registrar::load_aggregator::run(gateway_loads, access.clone(), clients, address);
        let load_reports = tokio::spawn(load_reports);
        let file_writer = registrar::last_known_file::run(
            file,
            targets.clone(),
            routes.clone(),
            broken_calls.clone(),
            access.clone(),
        );
        let file_writer = tokio::spawn(file_writer);
        let peers = registrar::peer_watch::run(
            group,
            updates,
            new_seeds,
            targets.clone(),
            broken_calls.clone(),
            access,
        );
        let peers = tokio::spawn(peers);
        let expiry = tokio::spawn(run_expiry(targets.clone(), broken_calls));
        Ok(RunningRegistrar {
            replica,
            targets,
            routes,
            metrics,
            stop,
            seeds,
            tasks: [
                server,
                published,
                role_orders,
                load_reports,
                file_writer,
                peers,
                expiry,
            ]
            .into_iter()
            .chain(usage_reports)
            .chain(engine_orders)
            .collect(),
        })
    }

    /// Makes the client for the duties, if the installation has any.
    fn outside_client(
        &self,
        access: &fleet::FleetAccess,
    ) -> Option<registrar::outside_client::OutsideClient<C>> {
        use registrar::{duty_holder::DutyHolder, outside_client::OutsideClient};
        let outside = self.options.outside.as_ref()?;
        let wait = OutsideClient::<C>::holder_wait(self.options.order_lease);
        let holder = DutyHolder::new(access.clone(), wait, self.clock.clone());
        Some(OutsideClient::new(outside, holder, self.clock.clone()))
    }

    /// Makes the collector of usage, if reporting it is a duty.
    fn usage_collector(
        &self,
        access: &fleet::FleetAccess,
        metrics: &registrar::RegistrarMetrics,
    ) -> Option<registrar::usage_collector::UsageCollector<C>> {
        let outside = self.options.outside.as_ref()?;
        let is_duty = outside.duties.contains(&usher_config::DutyKind::Usage);
        let timing = self.options.usage.clone().filter(|_| is_duty)?;
        Some(registrar::usage_collector::UsageCollector::new(
            timing,
            self.options.voters(),
            access.clone(),
            metrics.clone(),
            self.clock.clone(),
        ))
    }

    fn replica_settings(&self) -> usher_replica::ReplicaSettings {
        let options = &self.options;
        let name = registrar::RegistrarOptions::node_name;
        let seeds = || options.seeds.iter().copied();
        let founders: Vec<_> = if options.founds {
            seeds().map(name).collect()
        } else {
            Vec::new()
        };
        usher_replica::ReplicaSettings::new(
            &options.cluster,
            name(options.address),
            options.address,
            options.folder.clone(),
        )
        .with_location(options.region.as_str(), options.domain.as_str())
        .with_snapshot_entries(SNAPSHOT_ENTRIES)
        .with_snapshot_bytes(SNAPSHOT_BYTES)
        .with_peers(seeds().map(|address| (name(address), address)))
        .with_initial_members(founders)
        .with_repair(Some(usher_replica::RepairPolicy {
            voters: options.voters(),
            lost_after: LOST_AFTER,
            max_members: MAX_MEMBERS.max(options.voters() + 2),
        }))
        .with_repair_interval(REPAIR_INTERVAL)
        .with_consensus(usher_replica::ConsensusSettings {
            election_min: ELECTION_MIN,
            election_max: ELECTION_MAX,
            ..usher_replica::ConsensusSettings::default()
        })
    }
}

async fn run_expiry<C>(
    targets: registrar::TargetRegistry<C>,
    broken_calls: registrar::broken_calls::BrokenCallRegistry<C>,
) where
    C: usher_types::ClockSource,
{
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        targets.expire();
        broken_calls.expire();
    }
}

impl<C> RunningRegistrar<C> {
    /// Returns the registry of the targets.
    pub fn targets(&self) -> &registrar::TargetRegistry<C> {
        &self.targets
    }

    /// Returns the store of the routes.
    pub fn routes(&self) -> &registrar::RouteStore<C> {
        &self.routes
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &registrar::RegistrarMetrics {
        &self.metrics
    }

    /// Returns this node's replica of the fleet state.
    pub fn replica(&self) -> &usher_replica::ReplicaHandle<usher_state::FleetState> {
        &self.replica
    }

    /// Replaces the registrars from which the other members are learned.
    pub async fn set_seeds(&self, seeds: Vec<std::net::SocketAddr>) {
        let name = registrar::RegistrarOptions::node_name;
        let peers = seeds.iter().map(|address| (name(*address), *address));
        self.replica.set_peers(peers.collect()).await;
        // The receiver lives as long as the task that watches other registrars.
        let _ = self.seeds.send(seeds).await;
    }

    /// Waits until the replica has stopped. Returns the reason if it failed; the process must then
    /// exit with an error.
    pub async fn failed(&self) -> Option<String> {
        self.replica.stopped().await
    }

    /// Stops gracefully, after a delay in which accepted calls are answered.
    ///
    /// Acknowledged changes are durable on a quorum, so a leader needs no handover.
    pub async fn stop(self) {
        tokio::time::sleep(STOP_GRACE).await;
        self.stop.stop();
        self.replica.stop().await;
    }
}

impl<C> Drop for RunningRegistrar<C> {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
