//! Routes by host and path, and teams by key: their rules, the validation of a set, the look-up, and
//! the changes from one version to the next.
//!
//! For: gateways and registrars, which share one definition of a set. Not for: the encoding in
//! which an author sends a set, nor the choice of a target.

mod dialect;
mod error;
mod feed;
mod key;
mod key_digest;
mod record;
mod rule;
mod sheet;
mod table;
mod team_rule;
mod team_table;
mod transfer;

pub use dialect::RouteDialect;
pub use error::{RecordError, RouteError, TransferError};
pub use feed::RouteFeed;
pub use key::RouteKey;
pub use key_digest::KeyDigest;
pub use rule::{CallerLimits, EngineTraits, RepeatKind, RouteRule, ServiceRule, ServiceWeight};
pub use sheet::RouteSheet;
pub use table::RouteTable;
pub use team_rule::TeamRule;
pub use transfer::RouteTransfer;
