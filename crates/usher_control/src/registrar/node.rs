//! Starts and stops a registrar. Not for: reading settings.

use std::{sync, time};

use crate::{error, fleet, listen, registrar};

/// How many applied commands lie between two snapshots. Each command holds all routes, so that
/// this bounds the log at some ten megabytes.
const SNAPSHOT_ENTRIES: u64 = 48;

/// How long a member may be silent before a replacement that has caught up takes its vote. A
/// machine that was removed stops counting as lost 4 s after its successor started.
const LOST_AFTER: time::Duration = time::Duration::from_millis(2_000);

/// How often the leader checks whether a repair is due.
const REPAIR_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Largest number of members: five voters, and those that wait to replace one.
const MAX_MEMBERS: usize = 8;

/// For this long after hearing from a leader a registrar grants no vote. Three heartbeats and the
/// longest round trip fit in; after all processes were killed, gateways have no routes for as long
/// as the first election takes.
const ELECTION_MIN: time::Duration = time::Duration::from_millis(550);

/// Longest time after which a registrar without a leader asks for votes.
const ELECTION_MAX: time::Duration = time::Duration::from_millis(1_000);

/// How often targets are checked for silence.
const EXPIRE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long the servers go on after the stop began, so that calls get their answer.
const STOP_GRACE: time::Duration = time::Duration::from_millis(300);

/// A registrar before it is started.
#[derive(Debug)]
pub struct RegistrarNode<D, C> {
    options: registrar::RegistrarOptions,
    dialect: D,
    clock: C,
}

/// A registrar that runs; it stops at once when dropped.
#[derive(Debug)]
pub struct RunningRegistrar<C> {
    replica: usher_replica::ReplicaHandle<usher_state::FleetState>,
    targets: registrar::TargetRegistry<C>,
    routes: registrar::RouteStore<C>,
    stop: usher_kernel::StopSource,
    seeds: tokio::sync::mpsc::Sender<Vec<std::net::SocketAddr>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl<D, C> RegistrarNode<D, C>
where
    D: registrar::OrderDialect,
    C: usher_types::ClockSource,
{
    /// Makes a registrar that speaks a dialect with engines, and whose leases and timeouts follow
    /// this clock.
    pub fn new(options: registrar::RegistrarOptions, dialect: D, clock: C) -> Self {
        Self {
            options,
            dialect,
            clock,
        }
    }

    /// Starts the replica, the server of the wire and the watches on other registrars.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on or the data folder can't be used.
    pub async fn start(self) -> Result<RunningRegistrar<C>, error::ControlError> {
        let address = self.options.address;
        let listener = listen::open(address)?;
        let replica = usher_replica::ReplicaNode::new(
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
        let file = registrar::last_known::LastKnownFile::new(self.options.folder.clone());
        let last_known = file.read().unwrap_or_default();
        tracing::info!(
            routes = last_known.routes_version,
            targets = last_known.targets.len(),
            "taken from before the start"
        );
        let targets = registrar::TargetRegistry::new(
            access.clone(),
            self.options.domain.clone(),
            self.options.heartbeat,
            self.clock.clone(),
            &last_known,
        );
        let restored = (last_known.routes_version > 0).then(|| registrar::VersionedRoutes {
            version: usher_types::ConfigVersion::new(last_known.routes_version),
            document: last_known.routes_document.into(),
        });
        let routes =
            registrar::RouteStore::new(access.clone(), clients.clone(), router.clone(), restored);
        let uses = registrar::uses::UseDesk::new(self.clock.clone());
        let (stop, signal) = usher_kernel::StopSource::new();
        let handler = registrar::handler::RegistrarHandler {
            access: access.clone(),
            router,
            targets: targets.clone(),
            routes: routes.clone(),
            uses: uses.clone(),
        };
        let server_identity = identity.clone();
        let server = tokio::spawn(async move {
            let handler = sync::Arc::new(handler);
            usher_wire::serve(listener, server_identity, handler, signal.stopped()).await;
        });
        let (group, news) = usher_watch::WatchGroup::new(
            identity,
            usher_watch::WatchKind::Registrar,
            Some(address),
            self.options.seeds.clone(),
        );
        let (seeds, new_seeds) = tokio::sync::mpsc::channel(1);
        let ordering = tokio::spawn(registrar::orders::run(
            self.dialect,
            targets.clone(),
            access.clone(),
            self.options.order_lease,
            self.clock,
        ));
        let telling = registrar::uses::run(uses, access.clone(), clients, address);
        let telling = tokio::spawn(telling);
        let keeping =
            registrar::last_known::run(file, targets.clone(), routes.clone(), access.clone());
        let keeping = tokio::spawn(keeping);
        let peers = registrar::peers::run(group, news, new_seeds, targets.clone(), access);
        let peers = tokio::spawn(peers);
        let expiry = tokio::spawn(run_expiry(targets.clone()));
        Ok(RunningRegistrar {
            replica,
            targets,
            routes,
            stop,
            seeds,
            tasks: vec![server, ordering, telling, keeping, peers, expiry],
        })
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
        .with_place(options.region.as_str(), options.domain.as_str())
        .with_snapshot_entries(SNAPSHOT_ENTRIES)
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

async fn run_expiry<C>(targets: registrar::TargetRegistry<C>)
where
    C: usher_types::ClockSource,
{
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        targets.expire();
    }
}

impl<C> RunningRegistrar<C> {
    /// Returns where heartbeats go.
    pub fn targets(&self) -> &registrar::TargetRegistry<C> {
        &self.targets
    }

    /// Returns where routes are put and read.
    pub fn routes(&self) -> &registrar::RouteStore<C> {
        &self.routes
    }

    /// Returns the replica of the state.
    pub fn replica(&self) -> &usher_replica::ReplicaHandle<usher_state::FleetState> {
        &self.replica
    }

    /// Replaces the registrars from which the others are learned.
    pub async fn set_seeds(&self, seeds: Vec<std::net::SocketAddr>) {
        let name = registrar::RegistrarOptions::node_name;
        let peers = seeds.iter().map(|address| (name(*address), *address));
        self.replica.set_peers(peers.collect()).await;
        // The receiver lives as long as the task that watches other registrars.
        let _ = self.seeds.send(seeds).await;
    }

    /// Waits until the replica fails and returns why; the process must then exit with an error.
    pub async fn failed(&self) -> Option<String> {
        self.replica.stopped().await
    }

    /// Stops once calls that were accepted have their answer.
    ///
    /// What was acknowledged is durable on a quorum, so that a leader can simply step aside.
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
