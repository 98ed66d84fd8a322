//! Errors of connections and calls. Not for: the error replies of peers.

use std::io;

use crate::message;

/// Reason why a connection cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The network failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame is not a valid message.
    #[error("frame is not a valid message: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A frame that stands for a difference can't be restored.
    #[error("difference from the frame before can't be applied: {0}")]
    Delta(&'static str),
    /// The peer closed the connection.
    #[error("peer closed the connection")]
    Closed,
    /// The peer's first message is not a hello.
    #[error("first message of the peer is not a hello")]
    NoHello,
    /// The peer uses another protocol version.
    #[error("peer uses protocol version {theirs}, expected {ours}")]
    Protocol {
        /// Protocol version of this side.
        ours: u32,
        /// Protocol version of the peer.
        theirs: u32,
    },
    /// The peer belongs to another cluster.
    #[error("peer belongs to cluster {theirs:?}, expected {ours:?}")]
    Cluster {
        /// Cluster of this side.
        ours: String,
        /// Cluster of the peer.
        theirs: String,
    },
    /// Connecting and the exchange of hellos did not complete within the timeout.
    #[error("connecting and the exchange of hellos timed out")]
    Timeout,
}

/// Reason why a call has no reply.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was written to the connection.
    #[error("request was not sent: {0}")]
    NotSent(String),
    /// The request was sent and may have been handled.
    #[error("request was sent but no reply arrived: {0}")]
    Unknown(String),
    /// The peer replied with an error.
    #[error("peer refused: {}", .0.message)]
    Refused(message::ErrorReply),
    /// The peer replied with an empty message or one of another kind.
    #[error("peer replied with an unexpected message")]
    Unexpected,
}
