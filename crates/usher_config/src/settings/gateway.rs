//! Settings of gateways and registrars. Not for: entries and control nodes.

use std::{collections, net, time};

use crate::settings::{node, output, outside, reader, value};

/// Default of the time for which a crash counts: callers of a prompt that crashes engines have given
/// up by then, or the engines have been mended.
const DEFAULT_CRASH_LIFETIME: time::Duration = time::Duration::from_secs(30 * 60);

usher_types::value_type! {
    /// Section `registrars`: how to reach the registrars.
    pub struct SeedSettings {
        /// Addresses of some registrars; their ports are ignored.
        pub seeds: Vec<net::SocketAddr>,
        /// Port of the wire protocol, the same on all VMs.
        pub port: u16,
    }
}

impl SeedSettings {
    /// Returns the wire-protocol addresses of the seeds.
    pub fn addresses(&self) -> Vec<net::SocketAddr> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| net::SocketAddr::new(seed.ip(), self.port))
            .collect()
    }

    fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("registrars");
        let value::AddressList(seeds) = section.required("seeds");
        let value::PortNumber(port) = section.required("port");
        Self { seeds, port }
    }
}

usher_types::value_type! {
    /// Settings of a gateway.
    pub struct GatewaySettings {
        /// Name and location of the process.
        pub node: node::NodeSettings,
        /// Listen address for callers.
        pub callers: net::SocketAddr,
        /// Listen address for readiness checks of a load balancer and for metrics.
        pub health: net::SocketAddr,
        /// How to reach the registrars.
        pub registrars: SeedSettings,
        /// Region of each failure domain.
        pub regions: collections::BTreeMap<usher_types::DomainName, usher_types::RegionName>,
        /// Retries that all gateways together may add, as a share of the calls.
        pub retry_share: f64,
        /// Retries that all gateways together may add on top of that share in each window.
        pub retry_slack: f64,
        /// Windows in which the calls of teams are counted, if they are.
        pub usage: Option<outside::UsageSettings>,
        /// Time between the first stop signal and the end of the process.
        pub grace: time::Duration,
        /// Time for which the crash of an engine counts against the prompts that it had.
        pub crash_lifetime: time::Duration,
        /// Log settings.
        pub log: output::LogSettings,
    }
}

impl GatewaySettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("gateway");
        let retries = file.section("retries");
        Self {
            node: node::NodeSettings::read(file),
            callers: section.required("callers"),
            health: section.required("health"),
            registrars: SeedSettings::read(file),
            regions: read_regions(file),
            retry_share: retries.with_default("share", 0.2),
            retry_slack: retries.with_default("slack", 10.0),
            usage: outside::UsageSettings::read(file),
            grace: time::Duration::from_secs_f64(section.with_default("grace_seconds", 8.0)),
            crash_lifetime: read_crash_lifetime(file),
            log: output::LogSettings::read(file),
        }
    }
}

/// Reads section `quarantine`.
fn read_crash_lifetime(file: &reader::SettingsReader) -> time::Duration {
    let section = file.section("quarantine");
    section.with_default("lifetime", DEFAULT_CRASH_LIFETIME)
}

fn read_regions(
    file: &reader::SettingsReader,
) -> collections::BTreeMap<usher_types::DomainName, usher_types::RegionName> {
    let mut regions = collections::BTreeMap::new();
    for (domain, region) in file.dynamic_section("domains") {
        match (domain.parse(), region.trim().parse()) {
            (Ok(domain), Ok(region)) => {
                regions.insert(domain, region);
            }
            _ => file.add_error("domains", domain, Some(region), "expected DOMAIN = REGION"),
        }
    }
    regions
}

usher_types::value_type! {
    /// Settings of a registrar.
    pub struct RegistrarSettings {
        /// Name and location of the process; the data folder is set.
        pub node: node::NodeSettings,
        /// HTTP listen address for targets and operators.
        pub listen: net::SocketAddr,
        /// How to reach the registrars.
        pub registrars: SeedSettings,
        /// Whether this registrar bootstraps a new installation.
        pub founds: bool,
        /// Number of simultaneous registrar failures to tolerate.
        pub tolerated_losses: usize,
        /// Duration of the order lease: after an order, only its holder may give orders to the same
        /// engine for this long.
        pub order_lease: time::Duration,
        /// Interval between the heartbeats of a target.
        pub heartbeat: time::Duration,
        /// The API outside the installation; without one, there are no duties.
        pub outside: Option<outside::OutsideSettings>,
        /// Windows of usage reports.
        pub usage: Option<outside::UsageSettings>,
        /// Time for which the crash of an engine counts against the prompts that it had.
        pub crash_lifetime: time::Duration,
        /// Log settings.
        pub log: output::LogSettings,
    }
}

impl RegistrarSettings {
    pub(crate) fn read(file: &reader::SettingsReader) -> Self {
        let section = file.section("registrar");
        let settings = Self {
            node: node::NodeSettings::read(file),
            listen: section.required("listen"),
            registrars: SeedSettings::read(file),
            founds: section.with_default("founds", false),
            tolerated_losses: section
                .with_default("tolerated_losses", value::LossCount(1))
                .0,
            order_lease: section.with_default("order_lease", time::Duration::from_secs(3)),
            heartbeat: section.with_default("heartbeat", time::Duration::from_secs(1)),
            outside: outside::OutsideSettings::read(file),
            usage: outside::UsageSettings::read(file),
            crash_lifetime: read_crash_lifetime(file),
            log: output::LogSettings::read(file),
        };
        file.section("node").check(
            settings.node.data.is_some(),
            "data",
            "the key is missing: a registrar needs a folder for its log",
        );
        settings
    }
}
