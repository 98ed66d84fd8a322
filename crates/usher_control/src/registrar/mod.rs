//! The registrar: a control node that registers targets by their heartbeats, stores the routes, and
//! distributes targets and routes to gateways.
//!
//! For: installations whose gateways forward calls by route. Not for: the protocol of targets and
//! operators, which an adapter translates.

mod broken_calls;
mod call_pacing;
mod departure_copies;
mod duty_dialect;
mod duty_holder;
mod duty_lease;
mod engine_orders;
mod handler;
mod last_known_file;
mod load_aggregator;
mod metrics;
mod node;
mod options;
mod outside_client;
mod outside_request;
mod peer_watch;
mod refused_sources;
mod role_orders;
mod route_publisher;
mod route_store;
mod target_registry;
mod usage_collector;
mod usage_reports;

pub use call_pacing::CallPacing;
pub use duty_dialect::{DutyDialect, ServiceOrder, UsageReport};
pub use duty_holder::DutyStamp;
pub use duty_lease::DutyLease;
pub use metrics::RegistrarMetrics;
pub use node::{RegistrarNode, RunningRegistrar};
pub use options::{OutsideOptions, RegistrarOptions};
pub use outside_request::OutsideRequest;
pub use role_orders::{OrderDialect, RoleOrder};
pub use route_store::{RouteStore, VersionedRoutes};
pub use target_registry::TargetRegistry;
