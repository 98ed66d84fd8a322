//! What a replica knows of its group. Not for: the replicated state.

use std::{net, time};

use usher_wire::message;

usher_types::value_type! {
    /// The part that a node plays in its group.
    pub enum ReplicaRole {
        /// Takes entries and votes.
        Follower,
        /// Asks for votes.
        Candidate,
        /// Proposes entries.
        Leader,
        /// Takes entries without a vote.
        Learner,
    }
}

usher_types::value_type! {
    /// A snapshot of a replica's view, for status pages, grants and tests.
    pub struct ReplicaStatus {
        /// Part that this node plays.
        pub role: ReplicaRole,
        /// Its term.
        pub term: usher_types::TermNumber,
        /// Name and address of the leader, where known.
        pub leader: Option<(usher_types::NodeName, net::SocketAddr)>,
        /// Highest committed index.
        pub commit: usher_types::LogIndex,
        /// Highest applied index.
        pub applied: usher_types::LogIndex,
        /// Current members.
        pub membership: message::Membership,
        /// Index of the log entry that holds the current members.
        pub members_index: u64,
        /// Until when this node's lease holds, if it leads.
        pub lease_until: Option<time::Instant>,
        /// When the sending of the newest confirmed round of the leader began, as far as this
        /// node can tell; a follower takes the time of the last append that it received.
        pub last_leader_contact: Option<time::Instant>,
    }
}
