//! Library of the control daemon.
//!
//! For: consensus over the fleet's state, grants, claims, orders, and the operators' interface.
//! Not for: callers' requests, which entries serve.

pub mod plan;
