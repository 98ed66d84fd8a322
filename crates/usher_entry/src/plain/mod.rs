//! Serves calls to plain services, with claims for calls that must run at most once.
//!
//! Not for: models.

mod answer;
mod call;
mod claim;
mod handler;
mod key;
mod runner;

pub(crate) use handler::handle;
