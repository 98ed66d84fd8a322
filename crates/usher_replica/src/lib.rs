//! Driver of the consensus core: storage, timers, transport and the replicated state machine.
//!
//! For: a handle by which services propose commands and read state. Not for: what commands mean.

mod error;
mod machine;
mod status;

pub use error::{ProposeError, ReadError};
pub use machine::{RestoreError, StateMachine};
pub use status::{ReplicaRole, ReplicaStatus};
