//! Raft consensus as a pure state machine, and the policy that repairs its membership.
//!
//! Covers elections with pre-vote, log replication, leader leases, linearizable reads, snapshot
//! installation and single-server membership changes, as the published Raft descriptions define
//! them. Not for: I/O, clocks, or the meaning of replicated commands.

mod core;
mod error;
mod identity;
mod image;
mod log;
mod membership;
mod output;
mod progress;
mod random;
mod repair;
mod settings;

pub use crate::core::{ConsensusCore, CoreRole, InitialState};
pub use error::{ChangeError, NotLeaderError};
pub use identity::NodeId;
pub use image::SnapshotImage;
pub use membership::{MemberTable, MembershipChange};
pub use output::{HardState, OutputBatch, ReadReady};
pub use repair::{RepairMember, RepairPolicy, RepairView};
pub use settings::{ConsensusSettings, CoreFaults};
