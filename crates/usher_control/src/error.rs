//! Errors of the control daemon. Not for: outcomes of commands.

use std::io;

/// Tells why a command has no outcome.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RouteError {
    /// No leader took the command in time; it has no effect.
    #[error("no leader took the command in time; it has no effect")]
    NoLeader,
    /// The command may or may not take effect.
    #[error("the command may or may not take effect: {0}")]
    Unknown(String),
    /// The command can't be proposed; it has no effect.
    #[error("the command can't be proposed: {0}")]
    Invalid(String),
    /// The node is stopping; the command has no effect.
    #[error("the node is stopping; the command has no effect")]
    Stopping,
}

/// Tells why a control node can't start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What failed.
        error: io::Error,
    },
    /// The replica can't start.
    #[error("the replica can't start: {0}")]
    Replica(#[from] usher_replica::StartError),
    /// The services can't be wired.
    #[error("the services can't be wired: {0}")]
    Kernel(#[from] usher_kernel::KernelError),
}

/// Tells why an engine has no answer to give.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LinkError {
    /// No byte was sent.
    #[error("nothing was sent to the engine: {0}")]
    NotSent(String),
    /// The engine may have acted.
    #[error("the engine may have received the request: {0}")]
    Unknown(String),
}
