//! Routes by host and path: their rules, the validation of a set, and the look-up.
//!
//! For: gateways and registrars, which share one definition of a set. Not for: the encoding of a
//! set on the wire, nor the choice of a target.

mod error;
mod rule;
mod sheet;
mod table;

pub use error::RouteError;
pub use rule::{CallerLimits, EngineTraits, RepeatKind, RouteRule, ServiceRule, ServiceWeight};
pub use sheet::RouteSheet;
pub use table::RouteTable;
