//! Error types of the control daemon. Not for: outcomes of commands.

use std::io;

/// The reason why a command has no outcome.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// No leader accepted the command in time; it has no effect.
    #[error("no leader accepted the command in time; it has no effect")]
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

/// The reason why a control node can't start.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The node can't listen on an address.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The replica can't start.
    #[error("the replica can't start: {0}")]
    Replica(#[from] usher_replica::StartError),
    /// A service can't be registered.
    #[error("can't register the services: {0}")]
    Kernel(#[from] usher_kernel::KernelError),
}

/// The reason why a request to an engine has no answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EngineError {
    /// No byte of the request was sent.
    #[error("nothing was sent to the engine: {0}")]
    NotSent(String),
    /// The engine may have acted on the request.
    #[error("the engine may have received the request: {0}")]
    Unknown(String),
}
