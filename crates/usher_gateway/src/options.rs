//! How a gateway is set up. Not for: reading settings files.

use std::{net, time};

/// The setup of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Name of the installation.
    pub cluster: String,
    /// Name of this process.
    pub node: usher_types::NodeName,
    /// Failure domain of this process.
    pub domain: usher_types::DomainName,
    /// Where failure domains are.
    pub map: usher_place::DomainMap,
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where readiness and metrics are asked for.
    pub health: net::SocketAddr,
    /// Some registrars.
    pub seeds: Vec<net::SocketAddr>,
    /// Repeated sends of all gateways, as a share of the calls.
    pub retry_share: f64,
    /// Repeated sends of all gateways beyond that share, in each window.
    pub retry_slack: f64,
    /// Time between the signal to stop and the end of the process.
    pub grace: time::Duration,
}
