//! The registrar: a control node that registers targets by their heartbeats, stores the routes, and
//! distributes targets and routes to gateways.
//!
//! For: installations whose gateways forward calls by route. Not for: the protocol of targets and
//! operators, which an adapter translates.

mod broken_calls;
mod departure_copies;
mod handler;
mod last_known_file;
mod load_aggregator;
mod node;
mod options;
mod peer_watch;
mod refused_sources;
mod role_orders;
mod route_publisher;
mod route_store;
mod target_registry;

pub use node::{RegistrarNode, RunningRegistrar};
pub use options::RegistrarOptions;
pub use role_orders::{EngineRequest, OrderDialect, RoleOrder};
pub use route_store::{RouteStore, VersionedRoutes};
pub use target_registry::TargetRegistry;
