//! Watches registrars for changes of targets, of the routes version and of the control group.
//!
//! For: gateways and registrars, which keep a watch on every known registrar, and the choice of the
//! registrar from which newer state is fetched. Not for: acting on the updates.

mod group;
mod source_selector;
mod watch;

pub use group::{WatchGroup, WatcherKind};
pub use source_selector::{SourceChoice, SourceSelector};
pub use watch::WatchUpdate;
