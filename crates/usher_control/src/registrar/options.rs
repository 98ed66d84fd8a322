//! Options of a registrar. Not for: reading settings files.

use std::{net, path, time};

/// Options of a [`RegistrarNode`](crate::RegistrarNode).
#[derive(Clone, Debug)]
pub struct RegistrarOptions {
    /// Name of the installation.
    pub cluster: String,
    /// Region of this node.
    pub region: usher_types::RegionName,
    /// Failure domain of this node.
    pub domain: usher_types::DomainName,
    /// Folder of the log, the snapshots, the incarnation and the last-known file.
    pub folder: path::PathBuf,
    /// Address for gateways and other registrars. Its IP is the name of the node, so that nodes
    /// that know each other only by address agree on names.
    pub address: net::SocketAddr,
    /// Addresses of some registrars, from which the other members are learned.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether this is the first start of the installation; the seeds are then the initial members.
    pub founds: bool,
    /// Number of registrars that may be lost at once; `2 * tolerated_losses + 1` registrars vote.
    pub tolerated_losses: usize,
    /// Time for which an engine accepts orders only from the holder that sent the last one.
    pub order_lease: time::Duration,
    /// Time for which the crash of an engine counts against the prompts that it had.
    pub crash_lifetime: time::Duration,
    /// Interval of the heartbeats of a target.
    pub heartbeat: time::Duration,
    /// The API outside the installation; without one, the registrar has no duties.
    pub outside: Option<OutsideOptions>,
    /// The windows of usage reports, if they are a duty.
    pub usage: Option<usher_usage::UsageTiming>,
}

/// The API outside the installation that the holder of the duties calls.
#[derive(Clone, Debug)]
pub struct OutsideOptions {
    /// Address of the API.
    pub address: net::SocketAddr,
    /// Calls per second that the API accepts from all nodes together.
    pub calls_per_second: f64,
    /// Duties of this installation.
    pub duties: Vec<usher_config::DutyKind>,
}

impl RegistrarOptions {
    /// Returns the name of the node at an address.
    pub fn node_name(address: net::SocketAddr) -> usher_types::NodeName {
        usher_types::NodeName::new(address.ip().to_string())
    }

    /// Returns the number of voting registrars.
    pub(crate) fn voters(&self) -> usize {
        2 * self.tolerated_losses + 1
    }
}
