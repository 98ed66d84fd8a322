//! Sends orders to engines, on the leader only. Not for: planning them, see [`crate::plan`].

mod engine_body;
mod engine_client;
mod order_driver;
mod order_service;
mod term_state;

pub(crate) use engine_client::EngineClient;
pub(crate) use order_service::{run_orders, OrderContext};
