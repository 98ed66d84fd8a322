//! Calls of plain services, with claims for those that must run at most once. Not for: models.

mod answer;
mod call;
mod claim;
mod handler;
mod key;
mod runner;

pub(crate) use handler::handle;
