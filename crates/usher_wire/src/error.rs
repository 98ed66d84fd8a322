//! Errors of connections and calls. Not for: errors that a peer answers with.

use std::io;

use crate::message;

/// Tells why a connection can't be used.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The network failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame is not a message.
    #[error("frame is not a valid message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    Closed,
    /// The peer's first message is not a hello.
    #[error("peer did not send a hello first")]
    NoHello,
    /// The peer speaks another protocol version.
    #[error("peer speaks protocol {theirs}, expected {ours}")]
    Protocol {
        /// Version of this side.
        ours: u32,
        /// Version of the peer.
        theirs: u32,
    },
    /// The peer belongs to another installation.
    #[error("peer belongs to cluster {theirs:?}, expected {ours:?}")]
    Cluster {
        /// Cluster of this side.
        ours: String,
        /// Cluster of the peer.
        theirs: String,
    },
    /// The peer didn't answer in time.
    #[error("no answer within the timeout")]
    Timeout,
}

/// Tells why a call has no reply.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was handed to the network.
    #[error("request was not sent: {0}")]
    NotSent(String),
    /// The request was sent and may have been handled.
    #[error("request was sent and no reply arrived: {0}")]
    Unknown(String),
    /// The peer answered with an error.
    #[error("peer refused: {}", .0.message)]
    Refused(message::ErrorReply),
    /// The peer answered with a message of another kind.
    #[error("peer answered with an unexpected message")]
    Unexpected,
}
