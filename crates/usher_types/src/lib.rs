//! Identifiers, sizes, rates, the clock interface and small macros shared by all crates.
//!
//! Contains the types that more than one crate uses. Not for: decisions, I/O or state.

mod clock;
mod id;
mod invariant;
mod macros;
mod rate;
mod request;
mod size;
mod target;

pub use clock::{BootClock, ClockSource, ManualClock, SystemClock};
pub use id::{
    AdapterName, ConfigVersion, DomainName, FenceNumber, FirmName, IncarnationId,
    IncarnationSource, LogIndex, ModelName, NodeName, ParseIdError, RegionName, RequestId,
    ServiceName, TargetName, TeamName, TermNumber, VersionName,
};
pub use invariant::{record_violation, violation_count};
pub use rate::{ParseRateError, RequestRate, TokenRate};
pub use request::{RunState, WorkClass};
pub use size::{ByteSize, ParseSizeError, PieceCount, TokenCount, TOKENS_PER_PIECE};
pub use target::{EngineRole, ParseTargetError, TargetKind};
