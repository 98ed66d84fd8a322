//! How many engines of a service to order in each failure domain, as lasting and as reclaimable
//! ones.
//!
//! For: the holder of the duties, and experiments in virtual time. Not for: sending orders, nor
//! which engines are taken away.

mod engine_mix;
mod engine_order;
mod scale_planner;
mod scaling_rule;

pub use engine_mix::EngineMix;
pub use engine_order::{EngineKind, EngineOrder, OrderAnswer};
pub use scale_planner::{DomainEngines, ScalePlanner};
pub use scaling_rule::ScalingRule;
