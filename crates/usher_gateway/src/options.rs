//! The options of a gateway. Not for: reading settings files.

use std::{net, time};

/// The options of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Name of the installation.
    pub cluster: String,
    /// Name of this process.
    pub node: usher_types::NodeName,
    /// Failure domain of this process.
    pub domain: usher_types::DomainName,
    /// The region of each failure domain.
    pub map: usher_place::DomainMap,
    /// Address on which callers connect.
    pub callers: net::SocketAddr,
    /// Address of the readiness check and the metrics.
    pub health: net::SocketAddr,
    /// Addresses of some registrars.
    pub seeds: Vec<net::SocketAddr>,
    /// Retry budget of all gateways, as a share of the calls.
    pub retry_share: f64,
    /// Retry budget of all gateways in addition to that share, in each window.
    pub retry_slack: f64,
    /// Time for which the crash of an engine counts against the prompts that it had.
    pub crash_lifetime: time::Duration,
    /// Grace period between the stop signal and the end of the process.
    pub grace: time::Duration,
    /// Length of the windows in which the calls of teams are counted; `None` counts none.
    pub usage_window: Option<time::Duration>,
}
