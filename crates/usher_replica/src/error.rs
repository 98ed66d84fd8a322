//! Errors of starting, proposing and reading. Not for: outcomes of commands.

use std::{io, net};

use crate::machine;

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
    /// The command doesn't fit into a frame; nothing was proposed.
    #[error("the command has {bytes} bytes, expected at most {limit}")]
    TooLarge {
        /// Size of the command.
        bytes: usize,
        /// Largest size.
        limit: usize,
    },
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

/// Tells why a membership change didn't take place.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangeMembersError {
    /// The change is refused; nothing was changed.
    #[error(transparent)]
    Refused(#[from] usher_consensus::ChangeError),
    /// The change may or may not take effect.
    #[error("the membership change may or may not take effect")]
    Unknown,
    /// The replica has stopped.
    #[error("the replica has stopped")]
    Stopped,
}

/// Tells why a replica can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The log can't be opened.
    #[error(transparent)]
    Log(#[from] usher_log::LogError),
    /// The snapshot of the log isn't one of this state.
    #[error(transparent)]
    Restore(#[from] machine::RestoreError),
    /// A record of the log has no meaning for this version.
    #[error("log record can't be decoded: {0}")]
    Decode(String),
    /// The storage thread can't be started.
    #[error("storage thread can't be started: {0}")]
    Thread(io::Error),
}
