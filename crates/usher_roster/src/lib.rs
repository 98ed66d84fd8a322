//! What registrars heard of targets: lives, heartbeats, leaving marks, and how they are merged.
//!
//! For: registrars, which hear targets, and gateways, which hear several registrars. Not for:
//! connections, nor for choosing a target.

mod entry;
mod feed;
mod read_log;
mod role_change;
mod roster;

pub use entry::{EntryError, TargetEntry, TargetPhase};
pub use feed::RosterFeed;
pub use read_log::ReadLog;
pub use roster::TargetRoster;
