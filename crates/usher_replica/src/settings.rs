//! Settings of a replica. Not for: reading them from a file.

use std::{net, path, time};

use usher_wire::message;

/// Identity, location, peers and limits of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of this node.
    pub name: usher_types::NodeName,
    /// Address at which peers reach this node.
    pub address: net::SocketAddr,
    /// Region of this node.
    pub region: String,
    /// Failure domain of this node.
    pub domain: String,
    /// Data folder; used by one process at a time.
    pub folder: path::PathBuf,
    /// Names and addresses of all other nodes, voters and spares. The group is bootstrapped only
    /// after all of them are up with empty data folders; otherwise a second group could be
    /// bootstrapped after the initial voters have been replaced one by one. A node that is added
    /// later announces itself, and must be added to this list on all nodes by their next restart.
    pub peers: Vec<(usher_types::NodeName, net::SocketAddr)>,
    /// Names of the initial voters; must be the same list on all nodes. It is used only while no
    /// node has a log: the first node of the list then bootstraps the group, and peers that are
    /// not in the list become learners.
    pub initial_members: Vec<usher_types::NodeName>,
    /// Timings and limits of consensus.
    pub consensus: usher_consensus::ConsensusSettings,
    /// Policy by which the leader repairs the membership; `None` disables repair.
    pub repair: Option<usher_consensus::RepairPolicy>,
    /// Interval at which the leader checks whether a repair is due.
    pub repair_interval: time::Duration,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Payload of applied entries, in bytes, after which a snapshot is taken even if there are fewer
    /// entries. It bounds the log in memory and on disk when commands are large.
    pub snapshot_bytes: usize,
    /// Limits of the log.
    pub log: usher_log::LogSettings,
    /// Time after which the outcome of a proposal counts as unknown.
    pub propose_timeout: time::Duration,
    /// Time after which a read without confirmation by a quorum fails.
    pub read_timeout: time::Duration,
}

impl ReplicaSettings {
    /// Creates the settings of a single-node group; the `with_` functions change them.
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
            snapshot_bytes: 64 * 1_024 * 1_024,
            log: usher_log::LogSettings::default(),
            propose_timeout: time::Duration::from_secs(5),
            read_timeout: time::Duration::from_secs(2),
        }
    }

    /// Sets the region and failure domain.
    #[must_use]
    pub fn with_location(mut self, region: &str, domain: &str) -> Self {
        self.region = region.to_owned();
        self.domain = domain.to_owned();
        self
    }

    /// Sets all other nodes, including those that are not voters; see [`peers`](Self::peers).
    #[must_use]
    pub fn with_peers(
        mut self,
        peers: impl IntoIterator<Item = (usher_types::NodeName, net::SocketAddr)>,
    ) -> Self {
        self.peers = peers.into_iter().collect();
        self
    }

    /// Sets the initial voters; see [`initial_members`](Self::initial_members). Repair maintains
    /// their number, unless [`with_repair`](Self::with_repair) sets another one afterwards.
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

    /// Sets the repair policy; `None` disables repair.
    #[must_use]
    pub fn with_repair(mut self, repair: Option<usher_consensus::RepairPolicy>) -> Self {
        self.repair = repair;
        self
    }

    /// Sets the interval at which the leader checks whether a repair is due.
    #[must_use]
    pub fn with_repair_interval(mut self, interval: time::Duration) -> Self {
        self.repair_interval = interval;
        self
    }

    /// Sets the number of applied entries after which a snapshot is taken; at least 1.
    #[must_use]
    pub fn with_snapshot_entries(mut self, entries: u64) -> Self {
        self.snapshot_entries = entries.max(1);
        self
    }

    /// Sets the payload of applied entries, in bytes, after which a snapshot is taken.
    #[must_use]
    pub fn with_snapshot_bytes(mut self, bytes: usize) -> Self {
        self.snapshot_bytes = bytes;
        self
    }

    /// Sets the timings and limits of consensus.
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
