//! Target records of registrars: process starts, heartbeats, leaving marks, and their merge.
//!
//! For: registrars, which receive heartbeats, and gateways, which watch several registrars. Not
//! for: connections, nor for choosing a target.

mod entry;
mod feed;
mod prefix_log;
mod role_change;
mod roster;

pub use entry::{TargetEntry, TargetEntryError, TargetPhase};
pub use feed::RosterFeed;
pub use prefix_log::PrefixLog;
pub use roster::TargetRoster;
