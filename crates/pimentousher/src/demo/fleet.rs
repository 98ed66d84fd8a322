//! Starts and stops the parts of the demo's installation. Not for: the load on it (`load`).

use std::{net, time};

use usher_entry::{EntryBuilder, EntryNode, EntryOptions, NullOutcomes, TypeSet, WireLink};
use usher_fake::{EngineOptions, FakeEngine, FakeService, ServiceBehaviour, ServiceOptions};

use crate::{
    demo::{self, temp_folder},
    error, leader,
};

const CLUSTER: &str = "demo";
const REGIONS: [&str; 3] = ["south-a", "north-a", "west-a"];
/// Model name of the engines, as used by callers.
pub(super) const MODEL: &str = "gum-8b";
/// Name of the plain service.
pub(super) const SERVICE: &str = "rounds";
/// Factor by which the fake engines run faster than the real engines they simulate.
const TIME_SCALE: f64 = 4.0;
/// Time allowed for the installation to become ready, also on a busy host.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Interval between announcements of a target.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Delay between the effect of a plain call and its answer, in which callers drop their
/// connections.
const ANSWER_DELAY_MS: u64 = 60;

/// Two engines per region, and one target of the plain service in the first two regions.
const SHEET: &str = "\
service,kind,region,model,version,adapters,prefill,decode,mixed,floor
assist,engine,south-a,gum-8b,1,,0,0,2,1
assist,engine,north-a,gum-8b,1,,0,0,2,1
assist,engine,west-a,gum-8b,1,,0,0,2,1
rounds,plain,south-a,,,,0,0,1,0
rounds,plain,north-a,,,,0,0,1,0
";

type DemoNode =
    EntryNode<TypeSet<WireLink, usher_types::SystemClock, NullOutcomes, usher_policy::EntryPolicy>>;

/// Running entry with the means to stop it.
pub(super) struct DemoEntry {
    node: DemoNode,
    stop: usher_kernel::StopSource,
}

/// Running installation of the demo.
pub(super) struct DemoFleet {
    control: Vec<usher_control::RunningControl>,
    pub(super) entries: Vec<DemoEntry>,
    pub(super) engines: Vec<FakeEngine>,
    pub(super) services: Vec<FakeService>,
    // Fields are dropped in order: the folder goes last, after everything that writes into it.
    _folder: temp_folder::TempFolder,
}

impl DemoFleet {
    /// Starts the installation, with the first entry on `bind`, and waits until it serves callers.
    pub(super) async fn start(
        bind: Option<net::SocketAddr>,
        override_options: demo::EntryOverride,
    ) -> Result<Self, error::CommandError> {
        let folder = temp_folder::TempFolder::new()?;
        let control = start_control(&folder).await?;
        let entries = start_entries(&control, bind, override_options).await?;
        let addresses: Vec<_> = entries.iter().map(|entry| entry.node.address()).collect();
        let engines = start_engines(&addresses).await?;
        let services = start_services(&addresses).await?;
        let fleet = Self {
            control,
            entries,
            engines,
            services,
            _folder: folder,
        };
        fleet.apply_sheet().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Returns the addresses on which the entries listen.
    pub(super) fn addresses(&self) -> Vec<net::SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.node.address())
            .collect()
    }

    async fn apply_sheet(&self) -> Result<(), error::CommandError> {
        let operators = self.control.iter().map(|node| node.operator_address());
        let leader = leader::LeaderClient::new(operators.collect(), START_TIMEOUT);
        let body = serde_json::json!({
            "operator": "demo", "request_id": "demo-1", "base_version": 0, "sheet": SHEET,
        });
        let response = leader
            .send(&http::Method::POST, "/v1/config", Some(&body))
            .await?;
        if response.status == http::StatusCode::OK {
            return Ok(());
        }
        Err(error::CommandError::Failed(format!(
            "the demo's sheet was refused: {}",
            response.error_text()
        )))
    }

    async fn wait_until_ready(&self) -> Result<(), error::CommandError> {
        let targets = self.engines.len() + self.services.len();
        let is_ready = || {
            self.entries.iter().all(|entry| {
                let status = entry.node.status();
                status.ready && status.config.get() == 1 && status.targets == targets
            })
        };
        let deadline = tokio::time::Instant::now() + START_TIMEOUT;
        while !is_ready() {
            if tokio::time::Instant::now() >= deadline {
                let states: Vec<_> = self
                    .entries
                    .iter()
                    .map(|entry| entry.node.status())
                    .collect();
                return Err(error::CommandError::Failed(format!(
                    "the entries were not ready after {}: {states:?}",
                    humantime::format_duration(START_TIMEOUT)
                )));
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Stops the installation in the order an operator would: entries, targets, control.
    pub(super) async fn stop(self) {
        for entry in &self.entries {
            entry.stop.drain();
        }
        for entry in &self.entries {
            entry.finish().await;
        }
        for engine in &self.engines {
            engine.stop();
        }
        for service in &self.services {
            service.stop();
        }
        for node in self.control {
            node.stop().await;
        }
    }
}

impl DemoEntry {
    /// Drains and stops the entry as SIGTERM does: requests in flight run to completion.
    pub(super) async fn shut_down(&self) {
        self.stop.drain();
        self.finish().await;
    }

    async fn finish(&self) {
        self.node.finished().await;
        self.stop.stop();
    }
}

/// Finds free ports in advance, because each control node must know the addresses of the others.
///
/// The ports are below the ephemeral range, so that no outgoing connection takes one before the
/// node binds it.
fn free_addresses(count: usize) -> Result<Vec<net::SocketAddr>, error::CommandError> {
    const FIRST: u64 = 18_000;
    const PORTS: u64 = 14_000;
    // Concurrent demos start their search at different ports.
    let start = usher_types::IncarnationSource::random().get() % PORTS;
    let ports = (0..PORTS).map(|step| FIRST + (start + step) % PORTS);
    let addresses: Vec<_> = ports
        .filter_map(|port| u16::try_from(port).ok())
        .map(|port| net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)))
        .filter(|address| net::TcpListener::bind(address).is_ok())
        .take(count)
        .collect();
    if addresses.len() < count {
        return Err(error::CommandError::failed(
            "too few ports are free on loopback",
        ));
    }
    Ok(addresses)
}

async fn start_control(
    folder: &temp_folder::TempFolder,
) -> Result<Vec<usher_control::RunningControl>, error::CommandError> {
    let ports = free_addresses(2 * REGIONS.len())?;
    let (wire_addresses, operators) = ports.split_at(REGIONS.len());
    let peers: Vec<_> = REGIONS
        .iter()
        .zip(wire_addresses.iter().zip(operators))
        .enumerate()
        .map(
            |(index, (region, (wire, operator)))| usher_control::ControlPeer {
                node: usher_types::NodeName::new(format!("control-{}", index + 1)),
                wire_address: *wire,
                operator_address: *operator,
                region: usher_types::RegionName::new(*region),
                domain: usher_types::DomainName::new(format!("{region}-1")),
            },
        )
        .collect();
    let mut nodes = Vec::new();
    for peer in &peers {
        let name = peer.node.as_str();
        let options = usher_control::ControlOptions::new(name, folder.join(name))
            .with_cluster(CLUSTER)
            .with_region(peer.region.as_str())
            .with_domain(peer.domain.as_str())
            .with_wire_address(peer.wire_address)
            .with_operator_address(peer.operator_address)
            .with_peers(peers.clone())
            .with_voters(peers.len());
        let node = usher_control::ControlNode::new(options).start().await;
        nodes.push(node.map_err(error::CommandError::failed)?);
    }
    Ok(nodes)
}

async fn start_entries(
    control: &[usher_control::RunningControl],
    bind: Option<net::SocketAddr>,
    override_options: demo::EntryOverride,
) -> Result<Vec<DemoEntry>, error::CommandError> {
    let mut entries = Vec::new();
    for (index, region) in REGIONS.iter().enumerate() {
        let name = format!("entry-{}", index + 1);
        let mut options = EntryOptions::new(&name, region)
            .with_domain(usher_types::DomainName::new(format!("{region}-1")));
        if let (0, Some(address)) = (index, bind) {
            options = options.with_bind(address);
        }
        let identity = usher_wire::WireIdentity {
            cluster: CLUSTER.to_owned(),
            node: options.name.clone(),
            incarnation: options.incarnation,
        };
        // Each entry connects to the control node of its own region first.
        let mut wire_addresses: Vec<_> = control.iter().map(|node| node.wire_address()).collect();
        wire_addresses.rotate_left(index);
        let (stop, signal) = usher_kernel::StopSource::new();
        let address = options.bind;
        let options = override_options(options);
        let node = EntryBuilder::new(options, WireLink::new(&wire_addresses, &identity))
            .start(signal)
            .await;
        let node = node.map_err(|error| {
            error::CommandError::Failed(format!("{address} can't be listened on: {error}"))
        })?;
        entries.push(DemoEntry { node, stop });
    }
    Ok(entries)
}

async fn start_engines(
    entries: &[net::SocketAddr],
) -> Result<Vec<FakeEngine>, error::CommandError> {
    let mut engines = Vec::new();
    for (region, number) in REGIONS.iter().flat_map(|region| [(region, 1), (region, 2)]) {
        let options = EngineOptions::new(&format!("engine-{region}-{number}"))
            .with_entries(entries.to_vec())
            .with_service(usher_types::ServiceName::new("assist"))
            .with_region(usher_types::RegionName::new(*region))
            .with_domain(usher_types::DomainName::new(format!("{region}-{number}")))
            .with_model(MODEL)
            .with_announce_interval(ANNOUNCE_INTERVAL)
            .with_time_scale(TIME_SCALE);
        let engine = FakeEngine::start(options).await;
        engines.push(engine.map_err(error::CommandError::failed)?);
    }
    Ok(engines)
}

async fn start_services(
    entries: &[net::SocketAddr],
) -> Result<Vec<FakeService>, error::CommandError> {
    let mut services = Vec::new();
    for region in &REGIONS[..2] {
        let options = ServiceOptions::new(&format!("{SERVICE}-{region}"))
            .with_entries(entries.to_vec())
            .with_service(usher_types::ServiceName::new(SERVICE))
            .with_region(usher_types::RegionName::new(*region))
            .with_domain(usher_types::DomainName::new(format!("{region}-1")))
            .with_behaviour(ServiceBehaviour {
                answer_delay_ms: ANSWER_DELAY_MS,
                ..ServiceBehaviour::default()
            })
            .with_announce_interval(ANNOUNCE_INTERVAL);
        let service = FakeService::start(options).await;
        services.push(service.map_err(error::CommandError::failed)?);
    }
    Ok(services)
}
