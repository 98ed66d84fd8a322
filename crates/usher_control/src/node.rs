//! Starts, runs and stops a control node. Not for: reading settings.

use std::{net, sync, time};

use usher_wire::message;

use crate::{error, fleet, grant, operator, options, order, plan, wire_handler};

/// Number of applied commands between two snapshots. A snapshot blocks the replica for about 0.3 s
/// per million claims, and replaying this many commands at a start takes less time than that.
const SNAPSHOT_ENTRIES: u64 = 50_000;

/// Time that the wire and operator servers continue to run after a stop has begun, so that accepted
/// calls are answered.
const STOP_GRACE: time::Duration = time::Duration::from_millis(500);

/// A control node that has not been started yet.
///
/// ```no_run
/// # async fn start() -> Result<(), usher_control::ControlError> {
/// use usher_control::{ControlNode, ControlOptions};
/// let options = ControlOptions::new("control-1", "/var/lib/usher");
/// let node = ControlNode::new(options).start().await?;
/// println!("operators connect to {}", node.operator_address());
/// node.stop().await;
/// # Ok(())
/// # }
/// ```
pub struct ControlNode<C = usher_types::SystemClock> {
    options: options::ControlOptions,
    clock: C,
    services: usher_kernel::ServiceRegistry,
}

/// A running control node. Dropping it aborts its tasks; [`stop`](Self::stop) ends it gracefully.
pub struct RunningControl {
    replica: usher_replica::ReplicaHandle<usher_state::FleetState>,
    wire_address: net::SocketAddr,
    operator_address: net::SocketAddr,
    client_memory: usher_intake::CallerMemory,
    stop: usher_kernel::StopSource,
    servers: Vec<tokio::task::JoinHandle<()>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

/// The services of a node, most of which are registered by name.
struct ControlServices<C> {
    access: fleet::FleetAccess,
    clients: sync::Arc<fleet::PeerClients>,
    router: usher_kernel::ServiceHandle<fleet::CommandRouter<C>>,
    sync: usher_kernel::ServiceHandle<grant::SyncService<C>>,
    leader_state: usher_kernel::ServiceHandle<sync::Mutex<grant::LeaderState>>,
}

impl ControlNode {
    /// Creates a node that uses the system clock.
    pub fn new(options: options::ControlOptions) -> Self {
        Self {
            options,
            clock: usher_types::SystemClock,
            services: usher_kernel::ServiceRegistry::new(),
        }
    }
}

impl<C> ControlNode<C>
where
    C: usher_types::ClockSource,
{
    /// Sets the registry in which the node's services are registered.
    #[must_use]
    pub fn with_services(mut self, services: usher_kernel::ServiceRegistry) -> Self {
        self.services = services;
        self
    }

    /// Starts the replica, the servers and the services.
    ///
    /// # Errors
    ///
    /// Fails when it can't listen on an address, can't use the data folder, or can't register the
    /// services.
    pub async fn start(self) -> Result<RunningControl, error::ControlError> {
        let options = &self.options;
        let (wire, wire_address) =
            open_advertised(options.wire_address, options.wire_listen).await?;
        let (operators, operator_address) =
            open_advertised(options.operator_address, options.operator_listen).await?;
        let replica = usher_replica::ReplicaBuilder::new(
            self.replica_settings(wire_address),
            usher_state::FleetState::new(),
        );
        let replica = replica.start().await?;
        let services = self.register(&replica)?;
        let (stop, signal) = usher_kernel::StopSource::new();
        let client_memory =
            usher_intake::CallerMemory::new("operators", self.options.client_budget);
        let servers = vec![
            self.serve_wire(wire, &services, &replica, signal.clone()),
            self.serve_operators(
                operators,
                operator_address,
                &services,
                client_memory.clone(),
                signal.clone(),
            ),
        ];
        let tasks = self.run_tasks(&services, &replica, signal);
        Ok(RunningControl {
            replica,
            wire_address,
            operator_address,
            client_memory,
            stop,
            servers,
            tasks,
        })
    }

    fn replica_settings(&self, address: net::SocketAddr) -> usher_replica::ReplicaSettings {
        let options = &self.options;
        let settings = usher_replica::ReplicaSettings::new(
            &options.cluster,
            options.node.clone(),
            address,
            options.folder.clone(),
        );
        let settings = settings
            .with_location(options.region.as_str(), options.domain.as_str())
            .with_snapshot_entries(SNAPSHOT_ENTRIES);
        if options.peers.is_empty() {
            return settings;
        }
        let peers = options.peers.iter();
        let voters = options.peers.iter().take(options.voters.max(1));
        settings
            .with_peers(peers.map(|peer| (peer.node.clone(), peer.wire_address)))
            .with_initial_members(voters.map(|peer| peer.node.clone()))
    }

    fn identity(
        &self,
        replica: &usher_replica::ReplicaHandle<usher_state::FleetState>,
    ) -> usher_wire::WireIdentity {
        usher_wire::WireIdentity {
            cluster: self.options.cluster.clone(),
            node: self.options.node.clone(),
            incarnation: replica.identity().incarnation,
        }
    }

    fn register(
        &self,
        replica: &usher_replica::ReplicaHandle<usher_state::FleetState>,
    ) -> Result<ControlServices<C>, error::ControlError> {
        let access = fleet::FleetAccess::new(replica.clone());
        let clients = sync::Arc::new(fleet::PeerClients::new(self.identity(replica)));
        let router = fleet::CommandRouter::new(access.clone(), clients.clone(), self.clock.clone());
        let sync = grant::SyncService::new(access.clone(), self.clock.clone());
        let leader_state = sync::Mutex::new(grant::LeaderState::default());
        self.services.register("replica", replica.clone())?;
        Ok(ControlServices {
            router: self.services.register("commands", router)?,
            sync: self.services.register("grants", sync)?,
            leader_state: self.services.register("leader-desk", leader_state)?,
            access,
            clients,
        })
    }

    fn serve_wire(
        &self,
        listener: tokio::net::TcpListener,
        services: &ControlServices<C>,
        replica: &usher_replica::ReplicaHandle<usher_state::FleetState>,
        stop: usher_kernel::StopSignal,
    ) -> tokio::task::JoinHandle<()> {
        let handler = sync::Arc::new(wire_handler::WireHandler {
            access: services.access.clone(),
            router: services.router.clone(),
            service: services.sync.clone(),
            leader_state: services.leader_state.clone(),
            clock: self.clock.clone(),
        });
        let identity = self.identity(replica);
        tokio::spawn(async move {
            usher_wire::serve(listener, identity, handler, stop.stopped()).await;
        })
    }

    fn serve_operators(
        &self,
        listener: tokio::net::TcpListener,
        address: net::SocketAddr,
        services: &ControlServices<C>,
        memory: usher_intake::CallerMemory,
        stop: usher_kernel::StopSignal,
    ) -> tokio::task::JoinHandle<()> {
        let api = sync::Arc::new(operator::OperatorApi {
            node: self.options.node.clone(),
            address,
            operator_addresses: self.options.operator_addresses(),
            access: services.access.clone(),
            router: services.router.clone(),
            service: services.sync.clone(),
            leader_state: services.leader_state.clone(),
            stop: stop.clone(),
            clock: self.clock.clone(),
        });
        let routes = operator::router(api);
        tokio::spawn(usher_intake::serve_router(
            listener,
            routes,
            memory,
            operator::MAX_BODY_BYTES,
            stop,
        ))
    }

    fn run_tasks(
        &self,
        services: &ControlServices<C>,
        replica: &usher_replica::ReplicaHandle<usher_state::FleetState>,
        stop: usher_kernel::StopSignal,
    ) -> Vec<tokio::task::JoinHandle<()>> {
        let options = &self.options;
        let identity = self.identity(replica);
        let relay = grant::run_relay(grant::RelayContext {
            identity: message::NodeIdentity {
                name: identity.node.to_string(),
                incarnation: identity.incarnation.get(),
            },
            access: services.access.clone(),
            clients: services.clients.clone(),
            router: services.router.clone(),
            service: services.sync.clone(),
            leader_state: services.leader_state.clone(),
            clock: self.clock.clone(),
        });
        let expiry = grant::run_expiry(
            services.access.clone(),
            services.router.clone(),
            services.leader_state.clone(),
            self.clock.clone(),
        );
        let limiter = plan::LoadOrderLimiter::new(
            options.weight_store_rate,
            options.weight_store_burst,
            self.clock.now(),
        );
        let orders = order::run_orders(order::OrderContext {
            access: services.access.clone(),
            router: services.router.clone(),
            client: order::EngineClient::new(options.engine_timeout),
            rules: plan::PlanRules::new(options.orders_per_service),
            limiter,
            stop,
            clock: self.clock.clone(),
        });
        vec![
            tokio::spawn(relay),
            tokio::spawn(expiry),
            tokio::spawn(orders),
        ]
    }
}

impl RunningControl {
    /// Returns the address for entries and other control nodes.
    pub fn wire_address(&self) -> net::SocketAddr {
        self.wire_address
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> net::SocketAddr {
        self.operator_address
    }

    /// Returns what the connections of operators hold.
    pub fn client_memory(&self) -> &usher_intake::CallerMemory {
        &self.client_memory
    }

    /// Returns this node's replica of the fleet state.
    pub fn replica(&self) -> &usher_replica::ReplicaHandle<usher_state::FleetState> {
        &self.replica
    }

    /// Waits until the replica has stopped. Returns the reason if it failed; the process must then
    /// exit with an error.
    pub async fn failed(&self) -> Option<String> {
        self.replica.stopped().await
    }

    /// Stops gracefully: reports unready, stops orders and the relay, lets the servers answer
    /// accepted calls, and stops the replica last.
    ///
    /// Accepted changes are durable on a quorum, so a leader needs no handover.
    pub async fn stop(mut self) {
        self.stop.drain();
        for task in self.tasks.drain(..) {
            task.abort();
        }
        tokio::time::sleep(STOP_GRACE).await;
        self.stop.stop();
        for server in self.servers.drain(..) {
            let _ = tokio::time::timeout(STOP_GRACE, server).await;
        }
        self.replica.stop().await;
    }

    /// Stops the node abruptly, as if its process had been killed.
    pub async fn kill(mut self) {
        self.abort();
        for server in self.servers.drain(..) {
            let _ = server.await;
        }
        self.replica.stop().await;
    }

    fn abort(&self) {
        for task in self.tasks.iter().chain(&self.servers) {
            task.abort();
        }
    }
}

impl Drop for RunningControl {
    fn drop(&mut self) {
        self.abort();
    }
}

/// Opens a listener and returns it with the address at which others reach it.
async fn open_advertised(
    address: net::SocketAddr,
    listen_address: Option<net::SocketAddr>,
) -> Result<(tokio::net::TcpListener, net::SocketAddr), error::ControlError> {
    let bound = listen_address.unwrap_or(address);
    let listener = usher_kernel::open_listener(bound).await;
    let listener = listener.map_err(|error| error::ControlError::Listen {
        address: bound,
        error,
    })?;
    let advertised = match listen_address {
        Some(_) => address,
        None => bound_address(&listener, address)?,
    };
    Ok((listener, advertised))
}

fn bound_address(
    listener: &tokio::net::TcpListener,
    address: net::SocketAddr,
) -> Result<net::SocketAddr, error::ControlError> {
    listener
        .local_addr()
        .map_err(|error| error::ControlError::Listen { address, error })
}
