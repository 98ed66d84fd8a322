//! Options of a control node. Not for: reading settings files.

use std::{collections, net, path, time};

/// Options of a control node.
///
/// ```
/// use usher_control::ControlOptions;
/// let options = ControlOptions::new("control-1", "/var/lib/usher")
///     .with_region("south-a")
///     .with_domain("south-a1")
///     .with_wire_address("127.0.0.1:7001".parse().unwrap())
///     .with_operator_address("127.0.0.1:7101".parse().unwrap());
/// assert_eq!(options.node.as_str(), "control-1");
/// ```
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Name of the installation.
    pub cluster: String,
    /// Name of this node.
    pub node: usher_types::NodeName,
    /// Region of this node.
    pub region: usher_types::RegionName,
    /// Failure domain of this node.
    pub domain: usher_types::DomainName,
    /// Folder of the log, the snapshots and the incarnation.
    pub folder: path::PathBuf,
    /// Address for entries and other control nodes.
    pub wire_address: net::SocketAddr,
    /// Address for operators.
    pub operator_address: net::SocketAddr,
    /// Address to listen on if it differs from `wire_address`, for example behind NAT.
    pub wire_listen: Option<net::SocketAddr>,
    /// Address to listen on if it differs from `operator_address`.
    pub operator_listen: Option<net::SocketAddr>,
    /// All control nodes of the first start, including this one.
    pub peers: Vec<ControlPeer>,
    /// Number of voting control nodes.
    pub voters: usize,
    /// Sustained rate of load orders, per second, that the weight store can serve.
    pub weight_store_rate: f64,
    /// Number of load orders that may start at once after a pause.
    pub weight_store_burst: u32,
    /// Maximum number of engines per service with an order in flight.
    pub orders_per_service: usize,
    /// Timeout of connecting to an engine, and of its answer to an order or a read.
    pub engine_timeout: time::Duration,
    /// What the connections of operators may take together.
    pub client_budget: usher_memory::MemoryBudget,
}

usher_types::value_type! {
    /// A control node as listed in the settings.
    pub struct ControlPeer {
        /// Name of the node.
        pub node: usher_types::NodeName,
        /// Address for entries and other control nodes.
        pub wire_address: net::SocketAddr,
        /// Address for operators.
        pub operator_address: net::SocketAddr,
        /// Region of the node.
        pub region: usher_types::RegionName,
        /// Failure domain of the node.
        pub domain: usher_types::DomainName,
    }
}

impl ControlOptions {
    /// Creates the options of a single node on ports chosen by the system.
    pub fn new(node: &str, folder: impl Into<path::PathBuf>) -> Self {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        Self {
            cluster: "pimentousher".to_owned(),
            node: usher_types::NodeName::new(node),
            region: usher_types::RegionName::new("region"),
            domain: usher_types::DomainName::new("domain"),
            folder: folder.into(),
            wire_address: any_port,
            operator_address: any_port,
            wire_listen: None,
            operator_listen: None,
            peers: Vec::new(),
            voters: 3,
            weight_store_rate: 0.5,
            weight_store_burst: 2,
            orders_per_service: 1,
            engine_timeout: time::Duration::from_secs(2),
            client_budget: usher_memory::MemoryBudget::default(),
        }
    }

    /// Sets the name of the installation.
    #[must_use]
    pub fn with_cluster(mut self, cluster: &str) -> Self {
        cluster.clone_into(&mut self.cluster);
        self
    }

    /// Sets the region.
    #[must_use]
    pub fn with_region(mut self, region: &str) -> Self {
        self.region = usher_types::RegionName::new(region);
        self
    }

    /// Sets the failure domain.
    #[must_use]
    pub fn with_domain(mut self, domain: &str) -> Self {
        self.domain = usher_types::DomainName::new(domain);
        self
    }

    /// Sets the address for entries and other control nodes.
    #[must_use]
    pub fn with_wire_address(mut self, address: net::SocketAddr) -> Self {
        self.wire_address = address;
        self
    }

    /// Sets the address for operators.
    #[must_use]
    pub fn with_operator_address(mut self, address: net::SocketAddr) -> Self {
        self.operator_address = address;
        self
    }

    /// Sets the addresses to listen on, if others reach this node at different ones.
    #[must_use]
    pub fn with_listen(
        mut self,
        wire: Option<net::SocketAddr>,
        operators: Option<net::SocketAddr>,
    ) -> Self {
        self.wire_listen = wire;
        self.operator_listen = operators;
        self
    }

    /// Sets all control nodes of the first start, including this one.
    #[must_use]
    pub fn with_peers(mut self, peers: Vec<ControlPeer>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets the number of voting control nodes.
    #[must_use]
    pub fn with_voters(mut self, voters: usize) -> Self {
        self.voters = voters;
        self
    }

    /// Sets what the connections of operators may take together.
    #[must_use]
    pub fn with_client_budget(mut self, budget: usher_memory::MemoryBudget) -> Self {
        self.client_budget = budget;
        self
    }

    /// Sets the rate limit of load orders.
    #[must_use]
    pub fn with_weight_store(mut self, per_second: f64, burst: u32) -> Self {
        self.weight_store_rate = per_second;
        self.weight_store_burst = burst;
        self
    }

    /// Sets the maximum number of engines per service with an order in flight.
    #[must_use]
    pub fn with_orders_per_service(mut self, count: usize) -> Self {
        self.orders_per_service = count;
        self
    }

    /// Sets the timeout of connecting to an engine, and of its answer.
    #[must_use]
    pub fn with_engine_timeout(mut self, timeout: time::Duration) -> Self {
        self.engine_timeout = timeout;
        self
    }

    /// Returns the operator address of each node.
    pub(crate) fn operator_addresses(
        &self,
    ) -> collections::BTreeMap<usher_types::NodeName, net::SocketAddr> {
        let peers = self.peers.iter();
        peers
            .map(|peer| (peer.node.clone(), peer.operator_address))
            .collect()
    }
}
