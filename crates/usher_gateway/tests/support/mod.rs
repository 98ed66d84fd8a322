//! Stand-ins for registrars on one thin link, and a gateway whose routes are observed.

#![allow(dead_code, unreachable_pub)]

use std::{collections, net, sync, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use usher_gateway::{
    AnswerMetadata, CallDialect, CallMetadata, GatewayNode, GatewayOptions, RunningGateway,
    SendMetadata, TargetRequest,
};
use usher_wire::message::{self, envelope};

/// Time after which a test fails instead of waiting on.
const HANG_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Interval at which the version in force is read.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Documents of the tests are their version in digits, filled up with spaces.
#[derive(Clone, Debug)]
pub struct Document {
    pub version: u64,
    pub bytes: Vec<u8>,
}

impl Document {
    pub fn new(version: u64, size: usize) -> Self {
        let mut bytes = version.to_string().into_bytes();
        bytes.resize(size.max(bytes.len()), b' ');
        Self { version, bytes }
    }
}

/// A link that sends one message after the other.
#[derive(Clone, Debug)]
pub struct ThinLink {
    bytes_per_second: u64,
    free_at: sync::Arc<sync::Mutex<tokio::time::Instant>>,
}

impl ThinLink {
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second,
            free_at: sync::Arc::new(sync::Mutex::new(tokio::time::Instant::now())),
        }
    }

    /// Waits until the link has sent a message of this size after all before it.
    async fn send(&self, bytes: usize) {
        let time = time::Duration::from_micros(bytes as u64 * 1_000_000 / self.bytes_per_second);
        let sent_at = {
            let mut free_at = self.free_at.lock().unwrap();
            *free_at = (*free_at).max(tokio::time::Instant::now()) + time;
            *free_at
        };
        tokio::time::sleep_until(sent_at).await;
    }
}

/// A registrar that offers documents.
#[derive(Debug)]
pub struct StandInRegistrar {
    pub address: net::SocketAddr,
    state: sync::Arc<RegistrarState>,
    stop: tokio::sync::watch::Sender<bool>,
}

#[derive(Debug)]
struct RegistrarState {
    link: ThinLink,
    document: tokio::sync::watch::Sender<Document>,
    /// Targets and engines whose role changes, told to watchers that don't know them.
    roster: sync::Mutex<Roster>,
    /// Number of watch requests that get no reply.
    lost_watches: sync::atomic::AtomicUsize,
    /// Number of requests for routes that get no reply.
    lost_requests: sync::atomic::AtomicUsize,
    route_requests: sync::atomic::AtomicUsize,
}

#[derive(Clone, Debug, Default)]
struct Roster {
    targets: Vec<message::TargetBeat>,
    role_changes: Vec<String>,
}

/// Number of the last change of a stand-in's roster.
const ROSTER_CHANGE: u64 = 1;

struct RegistrarHandler(sync::Arc<RegistrarState>);

impl usher_wire::CallHandler for RegistrarHandler {
    async fn handle(
        &self,
        _peer: &usher_wire::WireIdentity,
        body: envelope::Body,
    ) -> Option<envelope::Body> {
        let state = &self.0;
        match body {
            envelope::Body::WatchRequest(request) => {
                let relaxed = sync::atomic::Ordering::Relaxed;
                let lose = |left: usize| left.checked_sub(1);
                let lost = state.lost_watches.fetch_update(relaxed, relaxed, lose);
                if lost.is_ok() {
                    return None;
                }
                let roster = state.roster.lock().unwrap().clone();
                let is_behind = request.cursor < ROSTER_CHANGE && !roster.targets.is_empty();
                if is_behind || request.all_role_changes {
                    return Some(envelope::Body::WatchReply(message::WatchReply {
                        epoch: 1,
                        cursor: ROSTER_CHANGE,
                        domain: "d".to_owned(),
                        targets: if is_behind {
                            roster.targets
                        } else {
                            Vec::new()
                        },
                        role_changes: Some(message::RoleChangeList {
                            engines: roster.role_changes,
                        }),
                        ..Default::default()
                    }));
                }
                let wait = time::Duration::from_millis(u64::from(request.wait_ms));
                let mut document = state.document.subscribe();
                let newer = document.wait_for(|known| known.version != request.routes_version);
                let _ = tokio::time::timeout(wait, newer).await;
                let routes_version = state.document.borrow().version;
                state.link.send(50).await;
                Some(envelope::Body::WatchReply(message::WatchReply {
                    epoch: 1,
                    cursor: request.cursor,
                    routes_version,
                    domain: "d".to_owned(),
                    ..Default::default()
                }))
            }
            envelope::Body::RoutesRequest(_) => {
                let relaxed = sync::atomic::Ordering::Relaxed;
                state.route_requests.fetch_add(1, relaxed);
                let lose = |left: usize| left.checked_sub(1);
                let lost = state.lost_requests.fetch_update(relaxed, relaxed, lose);
                if lost.is_ok() {
                    return None;
                }
                let document = state.document.borrow().clone();
                state.link.send(document.bytes.len()).await;
                Some(envelope::Body::RoutesReply(message::RoutesReply {
                    version: document.version,
                    document: document.bytes,
                    ..Default::default()
                }))
            }
            _ => None,
        }
    }
}

impl StandInRegistrar {
    pub async fn start(link: ThinLink) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = sync::Arc::new(RegistrarState {
            link,
            document: tokio::sync::watch::Sender::new(Document::new(0, 1)),
            roster: sync::Mutex::default(),
            lost_watches: sync::atomic::AtomicUsize::new(0),
            lost_requests: sync::atomic::AtomicUsize::new(0),
            route_requests: sync::atomic::AtomicUsize::new(0),
        });
        let (stop, mut stopped) = tokio::sync::watch::channel(false);
        let handler = sync::Arc::new(RegistrarHandler(state.clone()));
        tokio::spawn(usher_wire::serve(
            listener,
            identity("registrar"),
            handler,
            async move {
                let _ = stopped.wait_for(|stopped| *stopped).await;
            },
        ));
        Self {
            address,
            state,
            stop,
        }
    }

    /// Offers a document from now on.
    pub fn offer(&self, document: &Document) {
        self.state.document.send_replace(document.clone());
    }

    /// Tells watchers of engines, of which some change their role.
    pub fn set_engines(&self, engines: &[&str], changing: &[&str]) {
        let beat = |name: &&str| message::TargetBeat {
            name: (*name).to_owned(),
            service: "model".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            domain: "d".to_owned(),
            role: "prefill".to_owned(),
            sequence: 1,
            ..Default::default()
        };
        *self.state.roster.lock().unwrap() = Roster {
            targets: engines.iter().map(beat).collect(),
            role_changes: changing.iter().map(|name| (*name).to_owned()).collect(),
        };
    }

    /// Gives no reply to the next watch requests.
    pub fn lose_watches(&self, count: usize) {
        let relaxed = sync::atomic::Ordering::Relaxed;
        self.state.lost_watches.store(count, relaxed);
    }

    /// Gives no reply to the next requests for routes.
    pub fn lose_route_requests(&self, count: usize) {
        let relaxed = sync::atomic::Ordering::Relaxed;
        self.state.lost_requests.store(count, relaxed);
    }

    /// Returns the number of requests for routes so far.
    pub fn route_requests(&self) -> usize {
        let relaxed = sync::atomic::Ordering::Relaxed;
        self.state.route_requests.load(relaxed)
    }
}

fn identity(node: &str) -> usher_wire::WireIdentity {
    usher_wire::WireIdentity {
        cluster: "test".to_owned(),
        node: usher_types::NodeName::new(node),
        incarnation: usher_types::IncarnationId::new(1),
    }
}

/// Reads the documents of the tests; calls are not made.
#[derive(Clone, Copy, Debug)]
struct DigitsDialect;

impl usher_route::RouteDialect for DigitsDialect {
    fn read_routes(&self, document: &[u8]) -> Result<usher_route::RouteSheet, String> {
        let text = std::str::from_utf8(document).map_err(|error| error.to_string())?;
        let version = text.trim().parse::<u64>();
        let version = version.map_err(|error| error.to_string())?;
        Ok(usher_route::RouteSheet {
            version: usher_types::ConfigVersion::new(version),
            routes: Vec::new(),
            services: collections::BTreeMap::new(),
            limits: usher_route::CallerLimits::default(),
            teams: None,
        })
    }
}

impl CallDialect for DigitsDialect {
    fn count_parts(&self, _headers: &http::HeaderMap) -> usize {
        0
    }

    fn read_call(&self, _headers: &http::HeaderMap) -> CallMetadata {
        CallMetadata::default()
    }

    fn strip_system_headers(&self, _headers: &mut http::HeaderMap) {}

    fn strip_team_headers(&self, _headers: &mut http::HeaderMap) {}

    fn write_send(&self, _headers: &mut http::HeaderMap, _metadata: &SendMetadata) {}

    fn read_answer(&self, _status: http::StatusCode, _headers: &http::HeaderMap) -> AnswerMetadata {
        AnswerMetadata::default()
    }

    fn read_handle(&self, _body: &[u8]) -> Option<String> {
        None
    }

    fn free_handle(&self, _handle: &str) -> TargetRequest {
        TargetRequest {
            method: http::Method::DELETE,
            path: "/".to_owned(),
        }
    }

    fn ready_path(&self) -> &'static str {
        "/readyz"
    }
}

/// A gateway, and what its metrics say of its routes.
pub struct GatewayUnderTest {
    running: RunningGateway,
    stop: usher_kernel::StopSource,
    health: net::SocketAddr,
    /// Versions in force, each with the time at which it was first seen.
    seen: sync::Arc<sync::Mutex<Vec<(u64, time::Instant)>>>,
    reader: tokio::task::JoinHandle<()>,
}

impl Drop for GatewayUnderTest {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl GatewayUnderTest {
    /// Starts a gateway that watches the registrars.
    pub async fn start(registrars: &[StandInRegistrar]) -> Self {
        let callers = usher_ports::reserve_address();
        let health = usher_ports::reserve_address();
        let domain = usher_types::DomainName::new("d");
        let region = usher_types::RegionName::new("r");
        let regions = collections::BTreeMap::from([(domain.clone(), region)]);
        let options = GatewayOptions {
            cluster: "test".to_owned(),
            node: usher_types::NodeName::new("gateway"),
            domain,
            map: usher_place::DomainMap::new(regions),
            callers,
            health,
            seeds: registrars.iter().map(|known| known.address).collect(),
            retry_share: 0.2,
            retry_slack: 10.0,
            crash_lifetime: time::Duration::from_secs(60),
            usage_window: None,
            caller_budget: usher_memory::MemoryBudget::of_process(256_000_000, 1_024),
            grace: time::Duration::from_secs(1),
        };
        let (stop, signal) = usher_kernel::StopSource::new();
        let node = GatewayNode::new(options, DigitsDialect, usher_types::SystemClock);
        let running = node.start(signal).await.unwrap();
        let seen = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let known = seen.clone();
        let reader = tokio::spawn(async move {
            loop {
                tokio::time::sleep(READ_INTERVAL).await;
                let version = metric(health, "gateway_routes_version").await;
                let version = version.unwrap_or(0);
                let mut known = known.lock().unwrap();
                if version > known.last().map_or(0, |(known, _)| *known) {
                    known.push((version, time::Instant::now()));
                }
            }
        });
        Self {
            running,
            stop,
            health,
            seen,
            reader,
        }
    }

    /// Replaces the registrars from which the others are learned.
    pub async fn set_seeds(&self, registrars: &[StandInRegistrar]) {
        let seeds = registrars.iter().map(|known| known.address).collect();
        self.running.set_seeds(seeds).await;
    }

    /// Waits until this many targets take work.
    pub async fn wait_for_targets(&self, count: u64) {
        let limit = time::Instant::now() + HANG_LIMIT;
        loop {
            let known = metric(self.health, "gateway_targets").await;
            if known == Some(count) {
                return;
            }
            assert!(
                time::Instant::now() < limit,
                "{known:?} targets take work, expected {count}"
            );
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    /// Waits until a version is in force; returns all versions that were seen in force.
    pub async fn wait_for_routes(&self, version: u64) -> Vec<(u64, time::Instant)> {
        let limit = time::Instant::now() + HANG_LIMIT;
        loop {
            let seen = self.seen.lock().unwrap().clone();
            if seen.last().is_some_and(|(known, _)| *known >= version) {
                return seen;
            }
            assert!(
                time::Instant::now() < limit,
                "version {version} is not in force after {HANG_LIMIT:?}"
            );
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
}

/// Reads a gauge of a gateway.
async fn metric(health: net::SocketAddr, name: &str) -> Option<u64> {
    let mut socket = tokio::net::TcpStream::connect(health).await.ok()?;
    let request = b"GET /metrics HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    socket.write_all(request).await.ok()?;
    let mut page = String::new();
    socket.read_to_string(&mut page).await.ok()?;
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
    line.parse().ok()
}
