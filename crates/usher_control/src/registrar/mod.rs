//! The registrar: a control node that hears targets, holds the routes and tells gateways.
//!
//! For: installations whose gateways forward calls by route. Not for: the messages by which
//! targets and operators speak to it, which an adapter translates.

mod handler;
mod last_known;
mod node;
mod options;
mod orders;
mod peers;
mod route_store;
mod target_registry;
mod uses;

pub use node::{RegistrarNode, RunningRegistrar};
pub use options::RegistrarOptions;
pub use orders::{EngineRequest, OrderDialect, RoleOrder};
pub use route_store::{RouteStore, VersionedRoutes};
pub use target_registry::TargetRegistry;
