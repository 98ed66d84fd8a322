//! Watches registrars for changes of targets, of the routes version and of the control group.
//!
//! For: gateways and registrars, which keep a watch on every known registrar. Not for: acting on
//! the updates.

mod group;
mod watch;

pub use group::{WatchGroup, WatcherKind};
pub use watch::WatchUpdate;
