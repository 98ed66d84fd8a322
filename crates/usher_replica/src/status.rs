//! Status of a replica and its view of the group. Not for: the replicated state.

use std::{net, time};

use usher_wire::message;

usher_types::value_type! {
    /// Role of a node in its group.
    pub enum ReplicaRole {
        /// Replicates entries and votes.
        Follower,
        /// Requests votes or pre-votes.
        Candidate,
        /// Appends entries and replicates them.
        Leader,
        /// Replicates entries without voting.
        Learner,
    }
}

usher_types::value_type! {
    /// Status of a replica at one point in time, for status pages, grants and tests.
    pub struct ReplicaStatus {
        /// Role of this node.
        pub role: ReplicaRole,
        /// Current term.
        pub term: usher_types::TermNumber,
        /// Name and address of the leader, if known.
        pub leader: Option<(usher_types::NodeName, net::SocketAddr)>,
        /// Commit index.
        pub commit: usher_types::LogIndex,
        /// Highest applied index.
        pub applied: usher_types::LogIndex,
        /// Payload of the log entries in memory, in bytes.
        pub log_bytes: usize,
        /// Current members.
        pub membership: message::Membership,
        /// Index of the log entry that holds the current members.
        pub members_index: u64,
        /// Expiry of the leader lease, if this node is the leader.
        pub lease_until: Option<time::Instant>,
        /// Since when the disk has taken no writes, while it is full or stalled.
        pub storage_stalled_since: Option<time::Instant>,
        /// Last contact with the leader: on the leader, the start of the newest heartbeat round
        /// that a quorum acknowledged; on a follower, the time of the leader's last message.
        pub last_leader_contact: Option<time::Instant>,
    }
}
