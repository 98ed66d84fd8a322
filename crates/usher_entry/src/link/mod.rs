//! The control connection of an entry, as an interface with its implementations.
//!
//! Not for: handling the replies.

mod memory;
mod wire;

use std::future;

use usher_wire::message;

pub use memory::{MemoryControl, MemoryLink};
pub use wire::WireLink;

/// The reason why a request to control failed.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No control node executed the request.
    #[error("no control node accepted the request: {0}")]
    NotSent(String),
    /// Control may have executed the request.
    #[error("no reply from control; the request may have been executed: {0}")]
    Unknown(String),
    /// Control refused the request.
    #[error("control refused the request: {0}")]
    Refused(String),
}

/// Sends heartbeats and claims to control.
pub trait ControlLink: Send + Sync + 'static {
    /// Sends a heartbeat.
    fn sync(
        &self,
        request: message::SyncRequest,
    ) -> impl future::Future<Output = Result<message::SyncReply, LinkError>> + Send;

    /// Claims a non-idempotent call.
    fn claim(
        &self,
        call: message::ClaimCall,
    ) -> impl future::Future<Output = Result<message::ClaimReply, LinkError>> + Send;

    /// Records the outcome of a claimed call.
    fn finish(
        &self,
        finish: message::FinishClaim,
    ) -> impl future::Future<Output = Result<(), LinkError>> + Send;

    /// Switches to another control node, because the current one lags behind.
    fn fail_over(&self) {}
}
