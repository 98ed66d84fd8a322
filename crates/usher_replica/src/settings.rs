//! Settings of one replica. Not for: reading them from a file.

use std::{net, path, time};

use usher_wire::message;

/// Where one replica lives and how it behaves.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Name of the installation.
    pub cluster: String,
    /// Name of this node.
    pub name: usher_types::NodeName,
    /// Where peers reach this node.
    pub address: net::SocketAddr,
    /// Region of this node.
    pub region: String,
    /// Failure domain of this node.
    pub domain: String,
    /// Data folder; used by one process at a time.
    pub folder: path::PathBuf,
    /// Names and addresses of all other nodes, voters and spares. The group is founded only once
    /// all of them are up with empty folders: a second group could be founded otherwise, when the
    /// first voters have been replaced one by one. A node that is added later makes itself known,
    /// and belongs into this list of all nodes by their next restart.
    pub peers: Vec<(usher_types::NodeName, net::SocketAddr)>,
    /// Names of the first voters, the same list on all nodes. It is used once, while no node has
    /// a log; the node named first then founds the group, and the other peers become learners.
    pub initial_members: Vec<usher_types::NodeName>,
    /// Timings and limits of consensus.
    pub consensus: usher_consensus::ConsensusSettings,
    /// How the leader repairs the membership; `None` leaves it as it is.
    pub repair: Option<usher_consensus::RepairPolicy>,
    /// How often the leader checks whether a repair is due.
    pub repair_interval: time::Duration,
    /// A snapshot is taken after this many applied entries.
    pub snapshot_entries: u64,
    /// Limits of the log.
    pub log: usher_log::LogSettings,
    /// How long a proposal waits for its outcome before it counts as unknown.
    pub propose_timeout: time::Duration,
    /// How long a read waits for a quorum.
    pub read_timeout: time::Duration,
}

impl ReplicaSettings {
    /// Makes settings for a node that is a group of its own; see the `with_` functions.
    pub fn new(
        cluster: &str,
        name: usher_types::NodeName,
        address: net::SocketAddr,
        folder: impl Into<path::PathBuf>,
    ) -> Self {
        Self {
            cluster: cluster.to_owned(),
            initial_members: vec![name.clone()],
            name,
            address,
            region: String::new(),
            domain: String::new(),
            folder: folder.into(),
            peers: Vec::new(),
            consensus: usher_consensus::ConsensusSettings::default(),
            repair: Some(usher_consensus::RepairPolicy {
                voters: 1,
                ..usher_consensus::RepairPolicy::default()
            }),
            repair_interval: time::Duration::from_secs(1),
            snapshot_entries: 10_000,
            log: usher_log::LogSettings::default(),
            propose_timeout: time::Duration::from_secs(5),
            read_timeout: time::Duration::from_secs(2),
        }
    }

    /// Sets region and failure domain.
    #[must_use]
    pub fn with_location(mut self, region: &str, domain: &str) -> Self {
        self.region = region.to_owned();
        self.domain = domain.to_owned();
        self
    }

    /// Sets all other nodes, also those that aren't voters; see [`peers`](Self::peers).
    #[must_use]
    pub fn with_peers(
        mut self,
        peers: impl IntoIterator<Item = (usher_types::NodeName, net::SocketAddr)>,
    ) -> Self {
        self.peers = peers.into_iter().collect();
        self
    }

    /// Sets the first voters; see [`initial_members`](Self::initial_members). Repair keeps their
    /// number, unless [`with_repair`](Self::with_repair) sets another one afterwards.
    #[must_use]
    pub fn with_initial_members(
        mut self,
        names: impl IntoIterator<Item = usher_types::NodeName>,
    ) -> Self {
        self.initial_members = names.into_iter().collect();
        if let Some(repair) = &mut self.repair {
            repair.voters = self.initial_members.len();
        }
        self
    }

    /// Sets how the membership is repaired, or that it isn't.
    #[must_use]
    pub fn with_repair(mut self, repair: Option<usher_consensus::RepairPolicy>) -> Self {
        self.repair = repair;
        self
    }

    /// Sets how often the leader checks whether a repair is due.
    #[must_use]
    pub fn with_repair_interval(mut self, interval: time::Duration) -> Self {
        self.repair_interval = interval;
        self
    }

    /// Sets after how many entries a snapshot is taken.
    #[must_use]
    pub fn with_snapshot_entries(mut self, entries: u64) -> Self {
        self.snapshot_entries = entries.max(1);
        self
    }

    /// Sets timings and limits of consensus.
    #[must_use]
    pub fn with_consensus(mut self, consensus: usher_consensus::ConsensusSettings) -> Self {
        self.consensus = consensus;
        self
    }

    pub(crate) fn member(&self, id: &usher_consensus::NodeId) -> message::Member {
        message::Member {
            identity: Some(id.to_message()),
            address: self.address.to_string(),
            region: self.region.clone(),
            domain: self.domain.clone(),
            voter: false,
        }
    }
}
