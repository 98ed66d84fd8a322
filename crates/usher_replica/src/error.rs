//! Errors of proposing and reading. Not for: outcomes of commands.

use std::net;

/// Tells why a command has no outcome.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// This node doesn't lead; nothing was proposed.
    #[error("this node is not the leader (leader: {leader:?})")]
    NotLeader {
        /// Name and address of the leader, where known.
        leader: Option<(usher_types::NodeName, net::SocketAddr)>,
    },
    /// Too many commands wait; nothing was proposed.
    #[error("too many commands are waiting")]
    Busy,
    /// The command may or may not take effect.
    #[error("the command may or may not take effect: {0}")]
    Unknown(String),
    /// The replica has stopped; nothing was proposed.
    #[error("the replica has stopped")]
    Stopped,
}

/// Tells why a linearizable read can't be served here.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// This node doesn't lead.
    #[error("this node is not the leader (leader: {leader:?})")]
    NotLeader {
        /// Name and address of the leader, where known.
        leader: Option<(usher_types::NodeName, net::SocketAddr)>,
    },
    /// No quorum confirmed the leader in time.
    #[error("no quorum confirmed the leader in time")]
    NoQuorum,
    /// The replica has stopped.
    #[error("the replica has stopped")]
    Stopped,
}
