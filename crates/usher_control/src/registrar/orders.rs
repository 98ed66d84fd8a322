//! Gives engines the roles that they should have; only the leader does. Not for: which roles.

use std::{collections, future, net, time};

use http_body_util::BodyExt as _;

use crate::{fleet, plan, registrar};

/// How often wishes are looked for.
const INTERVAL: time::Duration = time::Duration::from_millis(500);

/// How long an engine may take to answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// How long gateways get to hear that an engine will change its role before it is ordered to: two
/// ways between regions, and the time that a busy gateway needs. Engines refuse new calls from then
/// on; with 90 gateways that each found this out by a refusal, these were most of all refusals.
const ANNOUNCE_TIME: time::Duration = time::Duration::from_millis(300);

/// How long an engine is left alone after an order whose effect isn't seen: an order without an
/// answer may be carried out up to 12 s later.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(15);

/// Longest answer of an engine that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// An order to take a role.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleOrder {
    /// Engine that is meant.
    pub engine: usher_types::TargetName,
    /// Role that it gets.
    pub role: usher_types::EngineRole,
    /// Who gives the order.
    pub holder: usher_types::NodeName,
    /// Higher than that of every earlier holder.
    pub fence: usher_types::FenceNumber,
    /// Orders that the engine has accepted before; it refuses the order when that differs.
    pub revision: u64,
}

/// A request to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// Method.
    pub method: http::Method,
    /// Path.
    pub path: String,
    /// Headers beside those of the connection.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}

/// How engines are asked and ordered.
pub trait OrderDialect: Clone + Send + Sync + 'static {
    /// Makes the request for the number of orders that an engine has accepted.
    fn revision_request(&self, engine: &usher_types::TargetName) -> EngineRequest;

    /// Reads that number; `None` when an order is in progress or the answer can't be read.
    fn parse_revision(&self, body: &[u8]) -> Option<u64>;

    /// Makes the request of an order.
    fn order_request(&self, order: &RoleOrder) -> EngineRequest;
}

/// Gives orders until the task is aborted.
pub(crate) async fn run<C, D>(
    dialect: D,
    targets: registrar::TargetRegistry<C>,
    access: fleet::FleetAccess,
    lease: time::Duration,
    clock: C,
) where
    C: usher_types::ClockSource,
    D: OrderDialect,
{
    let mut leads_since = None;
    let mut settling = collections::HashMap::new();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = clock.now();
        let term = access.status().term;
        if !access.holds_lease(term, now) {
            leads_since = None;
            continue;
        }
        // Another holder may have given orders until its lease ended; holders must not take turns
        // faster than that.
        let since = match leads_since {
            Some((known, since)) if known == term => since,
            _ => now,
        };
        leads_since = Some((term, since));
        if now.saturating_duration_since(since) < lease + INTERVAL {
            continue;
        }
        settling.retain(|_, at| now.saturating_duration_since(*at) < SETTLE_TIME);
        let wishes = targets.role_wishes(|engine| settling.contains_key(engine));
        if wishes.is_empty() {
            continue;
        }
        for wish in &wishes {
            settling.insert(wish.engine.name.clone(), now);
            targets.begin_role_change(wish, SETTLE_TIME);
        }
        tokio::time::sleep(ANNOUNCE_TIME).await;
        let may_send = || access.holds_lease(term, clock.now());
        let given = wishes.iter().map(|wish| async {
            let given = give(&dialect, wish, term, access.name(), may_send).await;
            let accepted = matches!(&given, Ok(status) if status.is_success());
            if !accepted {
                targets.end_role_change(&wish.engine.name);
            }
            let outcome = given.map_or_else(|reason| reason, |status| status.to_string());
            tracing::info!(
                engine = %wish.engine.name, role = %wish.role, fence = %term, outcome,
                "role ordered"
            );
            accepted.then_some(&wish.engine.name)
        });
        let accepted = futures_util::future::join_all(given).await;
        for engine in accepted.into_iter().flatten() {
            settling.remove(engine);
        }
    }
}

async fn give<D>(
    dialect: &D,
    wish: &plan::RoleWish,
    term: usher_types::TermNumber,
    holder: usher_types::NodeName,
    may_send: impl Fn() -> bool,
) -> Result<http::StatusCode, String>
where
    D: OrderDialect,
{
    let engine = &wish.engine;
    let asked = send(
        engine.address,
        dialect.revision_request(&engine.name),
        &may_send,
    )
    .await;
    let (_, body) = asked?;
    let revision = dialect.parse_revision(&body);
    let revision = revision.ok_or_else(|| "the engine is busy".to_owned())?;
    let order = RoleOrder {
        engine: engine.name.clone(),
        role: wish.role,
        holder,
        fence: usher_types::FenceNumber::new(term.get()),
        revision,
    };
    let (status, _) = send(engine.address, dialect.order_request(&order), &may_send).await?;
    Ok(status)
}

/// Sends a request over a connection of its own, unless the lease ran out while connecting.
async fn send(
    address: net::SocketAddr,
    wanted: EngineRequest,
    may_send: &impl Fn() -> bool,
) -> Result<(http::StatusCode, bytes::Bytes), String> {
    let exchange = async {
        let socket = tokio::net::TcpStream::connect(address).await;
        let socket = socket.map_err(|error| error.to_string())?;
        // What is given up on must not arrive later.
        let linger = socket2::SockRef::from(&socket).set_linger(Some(time::Duration::ZERO));
        linger.map_err(|error| error.to_string())?;
        let io = hyper_util::rt::TokioIo::new(socket);
        let handshake = hyper::client::conn::http1::handshake(io).await;
        let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
        let mut request = http::Request::new(http_body_util::Full::new(wanted.body));
        *request.method_mut() = wanted.method;
        *request.uri_mut() = wanted.path.parse().map_err(|_| "bad path".to_owned())?;
        *request.headers_mut() = wanted.headers;
        let host = http::HeaderValue::try_from(address.to_string());
        let host = host.map_err(|error| error.to_string())?;
        request.headers_mut().insert(http::header::HOST, host);
        if !may_send() {
            return Err("the lease ran out".to_owned());
        }
        let answered = async {
            let answer = sender.send_request(request).await?;
            let status = answer.status();
            let body = http_body_util::Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
            let body = body
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes);
            Ok::<_, hyper::Error>((status, body.unwrap_or_default()))
        };
        drive(connection, answered).await
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err("no answer in time".to_owned()))
}

/// Runs a connection until its answer is there.
async fn drive<T>(
    connection: impl future::Future<Output = Result<(), hyper::Error>>,
    answered: impl future::Future<Output = Result<T, hyper::Error>>,
) -> Result<T, String> {
    tokio::pin!(connection, answered);
    tokio::select! {
        answer = &mut answered => answer.map_err(|error| error.to_string()),
        ended = &mut connection => match ended {
            Ok(()) => answered.await.map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        },
    }
}
