//! How a control node is set up. Not for: reading settings files.

use std::{collections, net, path, time};

/// The setup of a control node.
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
    /// Where entries and other control nodes connect.
    pub wire_address: net::SocketAddr,
    /// Where operators connect.
    pub operator_address: net::SocketAddr,
    /// Where to listen when that isn't `wire_address`, as behind address translation.
    pub wire_listen: Option<net::SocketAddr>,
    /// Where to listen when that isn't `operator_address`.
    pub operator_listen: Option<net::SocketAddr>,
    /// All control nodes of the first start, with this one: name, wire address, region, domain.
    pub peers: Vec<ControlPeer>,
    /// How many control nodes vote.
    pub voters: usize,
    /// How many load orders the weight store bears per second.
    pub weight_store_rate: f64,
    /// How many load orders may start at once after a pause.
    pub weight_store_burst: u32,
    /// How many engines of one service may be under order at once.
    pub orders_per_service: usize,
    /// How long an engine may take to answer an order or a read.
    pub engine_timeout: time::Duration,
}

usher_types::value_type! {
    /// A control node as the settings name it.
    pub struct ControlPeer {
        /// Name of the node.
        pub node: usher_types::NodeName,
        /// Where entries and other control nodes connect.
        pub wire_address: net::SocketAddr,
        /// Where operators connect.
        pub operator_address: net::SocketAddr,
        /// Region of the node.
        pub region: usher_types::RegionName,
        /// Failure domain of the node.
        pub domain: usher_types::DomainName,
    }
}

impl ControlOptions {
    /// Makes the setup of a node that is alone, on ports of the system's choice.
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

    /// Sets where entries and other control nodes connect.
    #[must_use]
    pub fn with_wire_address(mut self, address: net::SocketAddr) -> Self {
        self.wire_address = address;
        self
    }

    /// Sets where operators connect.
    #[must_use]
    pub fn with_operator_address(mut self, address: net::SocketAddr) -> Self {
        self.operator_address = address;
        self
    }

    /// Sets where to listen, when others reach this node under another address.
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

    /// Sets all control nodes of the first start, with this one.
    #[must_use]
    pub fn with_peers(mut self, peers: Vec<ControlPeer>) -> Self {
        self.peers = peers;
        self
    }

    /// Sets how many control nodes vote.
    #[must_use]
    pub fn with_voters(mut self, voters: usize) -> Self {
        self.voters = voters;
        self
    }

    /// Sets the pace of load orders.
    #[must_use]
    pub fn with_weight_store(mut self, per_second: f64, burst: u32) -> Self {
        self.weight_store_rate = per_second;
        self.weight_store_burst = burst;
        self
    }

    /// Sets how many engines of one service may be under order at once.
    #[must_use]
    pub fn with_orders_per_service(mut self, count: usize) -> Self {
        self.orders_per_service = count;
        self
    }

    /// Sets how long an engine may take to answer.
    #[must_use]
    pub fn with_engine_timeout(mut self, timeout: time::Duration) -> Self {
        self.engine_timeout = timeout;
        self
    }

    /// Returns where operators reach each node.
    pub(crate) fn operator_addresses(
        &self,
    ) -> collections::BTreeMap<usher_types::NodeName, net::SocketAddr> {
        let peers = self.peers.iter();
        peers
            .map(|peer| (peer.node.clone(), peer.operator_address))
            .collect()
    }
}
