//! Replicated state machine on top of the consensus core: storage, timers and transport.
//!
//! [`ReplicaHandle`] lets services propose commands and read the replicated state. Not for: the
//! meaning of commands.

mod builder;
mod command;
mod conversion;
mod driver;
mod error;
mod handle;
mod settings;
mod shared_state;
mod state_machine;
mod status;

pub use builder::ReplicaBuilder;
pub use conversion::{initial_state, stored_snapshot, write_batch};
pub use error::{ChangeMembersError, ProposeError, ReadError, StartError};
pub use handle::ReplicaHandle;
pub use settings::ReplicaSettings;
pub use state_machine::{RestoreError, StateMachine};
pub use status::{ReplicaRole, ReplicaStatus};
pub use usher_consensus::{ConsensusSettings, MembershipChange, NodeId, RepairPolicy};
