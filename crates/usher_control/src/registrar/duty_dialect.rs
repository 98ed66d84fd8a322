//! The interface of the adapter that builds the calls of duties. Not for: when calls are sent.

use std::collections;

use crate::registrar::{duty_holder::DutyStamp, outside_request::OutsideRequest};

/// Calls of each team that began to run in one window of time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// Number of the window: its start since 1970 divided by the length of a window.
    pub window: u64,
    /// Calls by team, without teams that had none.
    pub counts: collections::BTreeMap<usher_types::TeamName, u64>,
}

/// An order of engines of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceOrder {
    /// Service of the engines.
    pub service: usher_types::ServiceName,
    /// Their number, kind and domain.
    pub order: usher_scale::EngineOrder,
}

/// The HTTP protocol in which the API outside the installation is called.
pub trait DutyDialect: Clone + Send + Sync + 'static {
    /// Builds the request that reports usage; equal reports have equal bodies.
    fn usage_request(&self, stamp: &DutyStamp, report: &UsageReport) -> OutsideRequest;

    /// Builds the request that orders engines.
    fn engine_request(&self, stamp: &DutyStamp, order: &ServiceOrder) -> OutsideRequest;
}
