//! The control connection of an entry. Not for: what the entry does with the answers.

mod memory;
mod wire;

use std::future;

use usher_wire::message;

pub use memory::{MemoryControl, MemoryLink};
pub use wire::WireLink;

/// Tells why control gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// Control hasn't seen the message.
    #[error("no control node took the message: {0}")]
    NotSent(String),
    /// Control may have acted on the message.
    #[error("no answer from control: {0}")]
    Unknown(String),
    /// Control refused the message.
    #[error("control refused: {0}")]
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

    /// Records what became of a claimed call.
    fn finish(
        &self,
        finish: message::FinishClaim,
    ) -> impl future::Future<Output = Result<(), LinkError>> + Send;

    /// Prefers another control node from now on, because the current one is behind.
    fn fail_over(&self) {}
}
