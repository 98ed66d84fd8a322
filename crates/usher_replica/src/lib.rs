//! Driver of the consensus core: storage, timers, transport and the replicated state machine.
//!
//! For: a handle by which services propose commands and read state. Not for: what commands mean.

mod bridge;
mod builder;
mod command;
mod driver;
mod error;
mod handle;
mod machine;
mod settings;
mod shared;
mod status;

pub use bridge::{initial_state, stored_snapshot, write_batch};
pub use builder::ReplicaBuilder;
pub use error::{ChangeMembersError, ProposeError, ReadError, StartError};
pub use handle::ReplicaHandle;
pub use machine::{RestoreError, StateMachine};
pub use settings::ReplicaSettings;
pub use status::{ReplicaRole, ReplicaStatus};
pub use usher_consensus::{ConsensusSettings, MembershipChange, NodeId, RepairPolicy};
