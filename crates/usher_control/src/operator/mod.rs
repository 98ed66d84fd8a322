//! HTTP interface for operators. Not for: callers of models.

mod answer;
mod api;
mod change;
mod status;

pub(crate) use api::{router, OperatorApi, MAX_BODY_BYTES};
