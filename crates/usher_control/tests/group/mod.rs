//! Test support: control nodes on loopback, fake entries and engines, and operator requests.

#![allow(dead_code, reason = "each test binary uses only a part of this module")]

pub(crate) mod fake;

use std::{
    fs, future, net, path, process,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use usher_control::{ControlNode, ControlOptions, ControlPeer, RunningControl};
use usher_replica::ReplicaRole;
use usher_types::{DomainName, IncarnationId, NodeName, RegionName};
use usher_wire::{
    message::{self, envelope, ClaimState, FinishKind},
    CallClient, CallError, WireIdentity,
};

/// Upper limit of a wait, only to end a test that hangs.
const HANG_LIMIT: Duration = Duration::from_secs(90);

/// Timeout of a call of a fake entry.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

pub(crate) const HEADER: &str =
    "service,kind,region,model,version,adapters,prefill,decode,mixed,floor\n";

/// Returns a sheet with one service; different floors give different sheets.
pub(crate) fn sheet(floor: usize) -> String {
    format!("{HEADER}assist,engine,south-a,gum,1,,0,0,{floor}..9,{floor}\n")
}

/// A group of control nodes.
pub(crate) struct ControlGroup {
    folder: path::PathBuf,
    peers: Vec<ControlPeer>,
    voters: usize,
    /// Running nodes by index; `None` for a stopped node.
    pub(crate) running: Vec<Option<RunningControl>>,
}

impl ControlGroup {
    /// Starts `count` voting nodes.
    pub(crate) async fn start(name: &str, count: usize) -> Self {
        let mut group = Self::plan(name, count);
        for index in 0..count {
            group.start_node(index).await;
        }
        group
    }

    fn plan(name: &str, count: usize) -> Self {
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        let addresses = free_addresses(2 * count);
        let address = |index: usize| addresses[index];
        let peers = (0..count).map(|index| ControlPeer {
            node: NodeName::new(format!("c{index}")),
            wire_address: address(2 * index),
            operator_address: address(2 * index + 1),
            region: RegionName::new("south-a"),
            domain: DomainName::new(format!("d{index}")),
        });
        Self {
            folder,
            peers: peers.collect(),
            voters: count,
            running: (0..count).map(|_| None).collect(),
        }
    }

    /// Starts a node, or restarts it with its existing data folder.
    pub(crate) async fn start_node(&mut self, index: usize) {
        let peer = &self.peers[index];
        let folder = self.folder.join(peer.node.as_str());
        let options = ControlOptions::new(peer.node.as_str(), folder)
            .with_cluster("test")
            .with_region(peer.region.as_str())
            .with_domain(peer.domain.as_str())
            .with_wire_address(peer.wire_address)
            .with_operator_address(peer.operator_address)
            .with_peers(self.peers.clone())
            .with_voters(self.voters)
            .with_weight_store(100.0, 10)
            .with_engine_timeout(Duration::from_millis(500));
        self.running[index] = Some(ControlNode::new(options).start().await.unwrap());
    }

    /// Stops a node abruptly.
    pub(crate) async fn kill(&mut self, index: usize) {
        self.running[index].take().unwrap().kill().await;
    }

    pub(crate) fn node(&self, index: usize) -> &RunningControl {
        self.running[index].as_ref().unwrap()
    }

    pub(crate) fn wire_address(&self, index: usize) -> net::SocketAddr {
        self.peers[index].wire_address
    }

    pub(crate) fn operator_address(&self, index: usize) -> net::SocketAddr {
        self.peers[index].operator_address
    }

    /// Returns the indices of the running nodes.
    pub(crate) fn running_indices(&self) -> Vec<usize> {
        let indices = 0..self.running.len();
        indices
            .filter(|index| self.running[*index].is_some())
            .collect()
    }

    fn leader_now(&self) -> Option<usize> {
        self.running_indices().into_iter().find(|index| {
            let replica = self.node(*index).replica();
            replica.status().role == ReplicaRole::Leader && replica.holds_lease(Instant::now())
        })
    }

    /// Waits for a leader that holds its lease.
    pub(crate) async fn leader(&self) -> usize {
        until("a leader", || async { self.leader_now() }).await
    }

    /// Returns a running node that doesn't lead.
    pub(crate) async fn follower(&self) -> usize {
        let leader = self.leader().await;
        let indices = self.running_indices();
        indices.into_iter().find(|index| *index != leader).unwrap()
    }
}

/// Returns addresses with free ports.
///
/// The ports are below the ephemeral range. Otherwise an outgoing connection of another test could
/// take a port between the check and the listening.
fn free_addresses(count: usize) -> Vec<net::SocketAddr> {
    static GROUPS: AtomicU32 = AtomicU32::new(0);
    let slot = process::id() + 37 * GROUPS.fetch_add(1, Ordering::Relaxed);
    let first = 20_000 + (slot % 750) * 16;
    let ports = (first..32_000).chain(20_000..first);
    let addresses = ports.filter_map(|port| {
        let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port as u16));
        net::TcpListener::bind(address).ok().map(|_| address)
    });
    addresses.take(count).collect()
}

/// Waits until `poll` returns a value.
pub(crate) async fn until<T, F, W>(what: &str, mut poll: F) -> T
where
    F: FnMut() -> W,
    W: future::Future<Output = Option<T>>,
{
    let limit = Instant::now() + HANG_LIMIT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < limit, "waiting for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A minimal entry that only talks to control nodes.
pub(crate) struct FakeEntry {
    pub(crate) identity: message::NodeIdentity,
    client: CallClient,
    pub(crate) config_version: u64,
    pub(crate) registry_version: u64,
    sequence: u64,
    pub(crate) sheet: String,
    pub(crate) targets: Vec<message::TargetRecord>,
    pub(crate) announced: Vec<message::TargetRecord>,
    pub(crate) loads: Vec<message::LoadReport>,
    pub(crate) demands: Vec<message::ServiceDemand>,
    pub(crate) takes_delta: bool,
}

impl FakeEntry {
    pub(crate) fn new(name: &str, incarnation: u64, address: net::SocketAddr) -> Self {
        Self {
            identity: message::NodeIdentity {
                name: name.to_owned(),
                incarnation,
            },
            client: client(name, incarnation, address),
            config_version: 0,
            registry_version: 0,
            sequence: 0,
            sheet: String::new(),
            targets: Vec::new(),
            announced: Vec::new(),
            loads: Vec::new(),
            demands: Vec::new(),
            takes_delta: false,
        }
    }

    /// Switches to another control node.
    pub(crate) fn move_to(&mut self, address: net::SocketAddr) {
        let identity = &self.identity;
        self.client = client(&identity.name, identity.incarnation, address);
    }

    pub(crate) fn request(&mut self) -> message::SyncRequest {
        self.sequence += 1;
        message::SyncRequest {
            entry: Some(self.identity.clone()),
            region: "south-a".to_owned(),
            domain: "d0".to_owned(),
            config_version: self.config_version,
            registry_version: self.registry_version,
            announced: self.announced.clone(),
            loads: self.loads.clone(),
            demands: self.demands.clone(),
            sequence: self.sequence,
            stopping: false,
            takes_delta: self.takes_delta,
        }
    }

    /// Sends a heartbeat and applies the reply; asserts that the reply contains no older state.
    pub(crate) async fn sync(&mut self) -> Result<message::SyncReply, CallError> {
        let body = envelope::Body::SyncRequest(self.request());
        let reply = match self.client.call(body, CALL_TIMEOUT).await? {
            envelope::Body::SyncReply(reply) => reply,
            other => panic!("unexpected {other:?}"),
        };
        if reply.config_changed {
            assert!(reply.config_version > self.config_version, "an older sheet");
            self.config_version = reply.config_version;
            self.sheet = reply.sheet.clone();
        }
        if reply.registry_changed {
            assert!(
                reply.registry_version > self.registry_version,
                "older targets"
            );
            self.registry_version = reply.registry_version;
            self.apply_targets(&reply);
        }
        if reply.right_ms > 0 {
            assert_eq!(reply.config_version, self.config_version);
            assert_eq!(reply.registry_version, self.registry_version);
        }
        Ok(reply)
    }

    fn apply_targets(&mut self, reply: &message::SyncReply) {
        if !reply.registry_delta {
            self.targets = reply.targets.clone();
            return;
        }
        let changed = |name: &String| reply.targets.iter().any(|one| one.name == *name);
        self.targets
            .retain(|known| !changed(&known.name) && !reply.gone.contains(&known.name));
        self.targets.extend(reply.targets.iter().cloned());
        self.targets.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Sends heartbeats until a reply contains a routing right.
    pub(crate) async fn wait_for_right(&mut self) -> message::SyncReply {
        let limit = Instant::now() + HANG_LIMIT;
        loop {
            match self.sync().await {
                Ok(reply) if reply.right_ms > 0 => return reply,
                _ => assert!(Instant::now() < limit, "waiting for a right"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub(crate) async fn claim(&self, key: &str, request: &str) -> Result<ClaimState, CallError> {
        let call = message::ClaimCall {
            key: key.to_owned(),
            fingerprint: vec![7; 32],
            entry: Some(self.identity.clone()),
            request_id: request.to_owned(),
        };
        let body = envelope::Body::ClaimRequest(message::ClaimRequest { call: Some(call) });
        match self.client.call(body, CALL_TIMEOUT).await? {
            envelope::Body::ClaimReply(reply) => Ok(reply.state()),
            other => panic!("unexpected {other:?}"),
        }
    }

    pub(crate) async fn finish(
        &self,
        key: &str,
        request: &str,
        kind: FinishKind,
    ) -> Result<(), CallError> {
        let finish = message::FinishClaim {
            key: key.to_owned(),
            entry: Some(self.identity.clone()),
            request_id: request.to_owned(),
            kind: kind.into(),
            answer: None,
        };
        let body = envelope::Body::FinishRequest(message::FinishRequest {
            finish: Some(finish),
        });
        self.client.call(body, CALL_TIMEOUT).await.map(|_| ())
    }
}

fn client(name: &str, incarnation: u64, address: net::SocketAddr) -> CallClient {
    let identity = WireIdentity {
        cluster: "test".to_owned(),
        node: NodeName::new(name),
        incarnation: IncarnationId::new(incarnation),
    };
    CallClient::new(address, identity)
}

/// Returns the record with which an entry announces an engine.
pub(crate) fn engine(name: &str, incarnation: u64, address: &str) -> message::TargetRecord {
    message::TargetRecord {
        name: name.to_owned(),
        incarnation,
        address: address.to_owned(),
        kind: "engine".to_owned(),
        service: "assist".to_owned(),
        shape: Some(message::EngineShape {
            model: "gum".to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
            role: "mixed".to_owned(),
        }),
        region: "south-a".to_owned(),
        domain: "d0".to_owned(),
        kv_pieces: 100,
        fenced: true,
        leaving: false,
    }
}

pub(crate) fn load(name: &str, incarnation: u64) -> message::LoadReport {
    message::LoadReport {
        target: name.to_owned(),
        incarnation,
        running: 1,
        ..message::LoadReport::default()
    }
}

/// Sends an operator's request to a node and returns status, headers and JSON body of the answer;
/// returns `None` if the node can't be reached.
pub(crate) async fn send_operator_request(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: Option<serde_json::Value>,
) -> Option<(u16, http::HeaderMap, serde_json::Value)> {
    let socket = tokio::net::TcpStream::connect(address).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(socket);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(connection);
    let text = body.map(|body| body.to_string()).unwrap_or_default();
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(http_body_util::Full::<bytes::Bytes>::from(text))
        .unwrap();
    let answer = sender.send_request(request).await.ok()?;
    let (status, headers) = (answer.status().as_u16(), answer.headers().clone());
    let bytes = answer.into_body().collect().await.ok()?.to_bytes();
    let body = serde_json::from_slice(&bytes).unwrap_or_default();
    Some((status, headers, body))
}

/// Sends an operator's request to any node, follows redirects, and retries while there is no
/// leader.
pub(crate) async fn send_to_leader(
    group: &ControlGroup,
    method: &str,
    path: &str,
    body: Option<serde_json::Value>,
) -> (u16, serde_json::Value) {
    let mut address = group.operator_address(group.running_indices()[0]);
    let limit = Instant::now() + HANG_LIMIT;
    loop {
        match send_operator_request(address, method, path, body.clone()).await {
            Some((307, headers, _)) => {
                let location = headers["location"].to_str().unwrap();
                let rest = location.strip_prefix("http://").unwrap();
                address = rest.split_once('/').unwrap().0.parse().unwrap();
                continue;
            }
            Some((status, _, body)) if status != 503 => return (status, body),
            _ => address = group.operator_address(group.follower().await),
        }
        assert!(Instant::now() < limit, "no leader answers {path}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

pub(crate) fn config_change(request: &str, base: u64, sheet: &str) -> Option<serde_json::Value> {
    Some(serde_json::json!({
        "operator": "ops",
        "request_id": request,
        "base_version": base,
        "sheet": sheet,
    }))
}
