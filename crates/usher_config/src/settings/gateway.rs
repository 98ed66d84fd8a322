//! Settings of gateways and registrars. Not for: entries and control nodes.

use std::{collections, net, time};

use crate::settings::{node, output, reader, value};

usher_types::value_type! {
    /// Section `registrars`: where registrars are found.
    pub struct SeedSettings {
        /// Some registrars; the port of an address isn't used.
        pub seeds: Vec<net::SocketAddr>,
        /// Port of the wire, the same on all machines.
        pub port: u16,
    }
}

impl SeedSettings {
    /// Returns where the seeds are reached by the system's own processes.
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
        /// Who and where it is.
        pub node: node::NodeSettings,
        /// Where callers connect.
        pub callers: net::SocketAddr,
        /// Where a load balancer asks whether the gateway is ready, and where metrics are.
        pub health: net::SocketAddr,
        /// Where registrars are found.
        pub registrars: SeedSettings,
        /// Regions by failure domain.
        pub regions: collections::BTreeMap<usher_types::DomainName, usher_types::RegionName>,
        /// Repeated sends that all gateways together may add, as a share of the calls.
        pub retry_share: f64,
        /// Repeated sends that all gateways together may add to that share in each window.
        pub retry_slack: f64,
        /// Time between the first signal to stop and the end of the process.
        pub grace: time::Duration,
        /// Log output.
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
            grace: time::Duration::from_secs_f64(section.with_default("grace_seconds", 8.0)),
            log: output::LogSettings::read(file),
        }
    }
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
        /// Who and where it is; the data folder is set.
        pub node: node::NodeSettings,
        /// Where targets and operators connect (HTTP).
        pub listen: net::SocketAddr,
        /// Where registrars are found.
        pub registrars: SeedSettings,
        /// Whether the installation starts for the first time.
        pub founds: bool,
        /// How many registrars may be lost at once.
        pub tolerated_losses: usize,
        /// How long an engine's orders belong to the holder that gave the last one.
        pub order_lease: time::Duration,
        /// How often a target sends a heartbeat.
        pub heartbeat: time::Duration,
        /// Log output.
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
