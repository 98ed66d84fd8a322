//! Library of the control daemon and the registrar.
//!
//! For: the replicated state of the fleet, routing rights, capacity shares, claims, orders to
//! engines, and the operators' interface. Not for: callers' requests, which entries serve.

mod error;
mod fleet;
mod grant;
mod node;
mod operator;
mod options;
mod order;
pub mod plan;
mod registrar;
mod wire_handler;

pub use error::{CommandError, ControlError, EngineError};
pub use node::{ControlNode, RunningControl};
pub use options::{ControlOptions, ControlPeer};
pub use registrar::{
    CallPacing, DutyDialect, DutyLease, DutyStamp, OrderDialect, OutsideOptions, OutsideRequest,
    RegistrarMetrics, RegistrarNode, RegistrarOptions, RoleOrder, RouteStore, RunningRegistrar,
    ServiceOrder, TargetRegistry, UsageReport, VersionedRoutes,
};
