//! Decides what callers may make a process hold, and who is refused first under pressure.
//!
//! For: the memory of connections, heads and bodies, and the number of connections. Not for: reading
//! from sockets, which is in `usher_intake`.

mod account;
mod budget;
mod cost;
mod holder;

pub use account::{ChargeDecision, MemoryAccount, OpenDecision};
pub use budget::MemoryBudget;
pub use cost::{HeadShape, PhaseCost};
pub use holder::{HolderId, HolderPhase};
