//! Target records of registrars: process starts, heartbeats, leaving marks, and their merge.
//!
//! For: registrars, which receive heartbeats, and gateways, which watch several registrars. Not
//! for: connections, nor for choosing a target.

mod entry;
mod feed;
mod read_log;
mod role_change;
mod roster;

pub use entry::{EntryError, TargetEntry, TargetPhase};
pub use feed::RosterFeed;
pub use read_log::ReadLog;
pub use roster::TargetRoster;
