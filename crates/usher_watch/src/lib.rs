//! Follows what registrars know: targets, versions of the routes, and the control nodes.
//!
//! For: gateways and registrars, which keep a watch on every registrar that they know of. Not
//! for: what is done with the news.

mod group;
mod watch;

pub use group::{WatchGroup, WatcherKind};
pub use watch::WatchUpdate;
