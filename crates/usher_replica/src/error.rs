//! Errors of starting a replica, proposing commands, reading and changing members. Not for:
//! outcomes of commands.

use std::{io, net};

use crate::state_machine;

/// Reason why a proposed command has no outcome.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposeError {
    /// This node is not the leader; nothing was proposed.
    #[error("this node is not the leader (leader: {leader:?})")]
    NotLeader {
        /// Name and address of the leader, if known.
        leader: Option<(usher_types::NodeName, net::SocketAddr)>,
    },
    /// The command queue is full; nothing was proposed.
    #[error("the command queue of the replica is full")]
    Busy,
    /// The command does not fit into a frame; nothing was proposed.
    #[error("the command has {bytes} bytes, expected at most {limit}")]
    TooLarge {
        /// Size of the command, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The command may or may not take effect.
    #[error("the command may or may not take effect: {0}")]
    Unknown(String),
    /// The replica has stopped; nothing was proposed.
    #[error("the replica has stopped")]
    Stopped,
}

/// Reason why this node cannot serve a linearizable read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ReadError {
    /// This node is not the leader.
    #[error("this node is not the leader (leader: {leader:?})")]
    NotLeader {
        /// Name and address of the leader, if known.
        leader: Option<(usher_types::NodeName, net::SocketAddr)>,
    },
    /// No quorum confirmed the leadership within the read timeout.
    #[error("no quorum confirmed the leadership within the read timeout")]
    NoQuorum,
    /// The replica has stopped.
    #[error("the replica has stopped")]
    Stopped,
}

/// Reason why a membership change failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangeMembersError {
    /// The change was rejected; nothing was changed.
    #[error(transparent)]
    Refused(#[from] usher_consensus::ChangeError),
    /// The change may or may not take effect.
    #[error("the membership change may or may not take effect")]
    Unknown,
    /// The replica has stopped.
    #[error("the replica has stopped")]
    Stopped,
}

/// Reason why a replica cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The log cannot be opened.
    #[error(transparent)]
    Log(#[from] usher_log::LogError),
    /// The stored snapshot is not a snapshot of this state machine.
    #[error(transparent)]
    Restore(#[from] state_machine::RestoreError),
    /// The recovered log cannot be decoded by this version, or the task that reads it failed.
    #[error("recovered log cannot be decoded: {0}")]
    Decode(String),
    /// A storage thread cannot be started.
    #[error("storage thread cannot be started: {0}")]
    Thread(io::Error),
}
