//! Orders to engines, sent by the leader only. Not for: deciding which; see the plan.

mod engine_body;
mod engine_link;
mod order_driver;
mod order_memory;
mod order_service;

pub(crate) use engine_link::EngineLink;
pub(crate) use order_service::{run_orders, OrderParts};
