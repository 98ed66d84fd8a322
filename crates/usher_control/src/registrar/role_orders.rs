//! Orders engines to change their role, on the leader only. Not for: choosing the roles.

use std::{collections, future, net, time};

use usher_answer::AnswerFault;

use crate::{fleet, plan, registrar};

/// Interval at which role changes are planned.
const PLAN_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Timeout of one request to an engine, including the connection set-up.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Delay between announcing a role change to the gateways and ordering it: two one-way delays
/// between regions, plus the processing time of a busy gateway. An engine refuses new calls from
/// the order on. Without the announcement, each of 90 gateways learned this from a refused call,
/// and most refusals were of this kind.
const ROLE_CHANGE_NOTICE: time::Duration = time::Duration::from_millis(300);

/// Time for which an engine gets no other order after one whose effect is not seen: an order
/// without an answer may be carried out up to 12 s later.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(15);

/// Largest answer body that is read from an engine.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// An order to change to a role.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleOrder {
    /// Engine that receives the order.
    pub engine: usher_types::TargetName,
    /// New role.
    pub role: usher_types::EngineRole,
    /// Node that sends the order.
    pub holder: usher_types::NodeName,
    /// Fencing number, higher than that of every earlier holder.
    pub fence: usher_types::FenceNumber,
    /// Number of orders that the engine has accepted so far; it refuses the order on a mismatch.
    pub revision: u64,
}

/// An HTTP request to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRequest {
    /// HTTP method.
    pub method: http::Method,
    /// Path of the URI.
    pub path: String,
    /// Headers other than `Host` and those of the connection.
    pub headers: http::HeaderMap,
    /// Request body.
    pub body: bytes::Bytes,
}

/// The HTTP protocol in which engines are queried and receive orders.
pub trait OrderDialect: Clone + Send + Sync + 'static {
    /// Builds the request for the number of orders that an engine has accepted.
    fn revision_request(&self, engine: &usher_types::TargetName) -> EngineRequest;

    /// Parses the answer to [`Self::revision_request`]; returns `None` when an order is in progress
    /// or the answer is invalid.
    fn parse_revision(&self, body: &[u8]) -> Option<u64>;

    /// Builds the request that delivers an order.
    fn order_request(&self, order: &RoleOrder) -> EngineRequest;
}

/// Plans and sends role orders until the task is aborted.
pub(crate) async fn run<C, D>(
    dialect: D,
    targets: registrar::TargetRegistry<C>,
    access: fleet::FleetAccess,
    order_lease: time::Duration,
    clock: C,
) where
    C: usher_types::ClockSource,
    D: OrderDialect,
{
    let mut leader_since = None;
    // Engines whose order is not accepted yet, and when it was planned.
    let mut settling = collections::HashMap::new();
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        let now = clock.now();
        let term = access.status().term;
        if !access.holds_lease(term, now) {
            leader_since = None;
            continue;
        }
        // The previous leader may have sent orders until its leader lease ended, and the holder of
        // an engine must not change within an order lease, so a new leader waits for that long.
        let since = match leader_since {
            Some((known, since)) if known == term => since,
            _ => now,
        };
        leader_since = Some((term, since));
        if now.saturating_duration_since(since) < order_lease + PLAN_INTERVAL {
            continue;
        }
        settling.retain(|_, at| now.saturating_duration_since(*at) < SETTLE_TIME);
        let assignments = targets.plan_role_changes(|engine| settling.contains_key(engine));
        if assignments.is_empty() {
            continue;
        }
        for assignment in &assignments {
            settling.insert(assignment.engine.name.clone(), now);
            targets.begin_role_change(assignment, SETTLE_TIME);
        }
        tokio::time::sleep(ROLE_CHANGE_NOTICE).await;
        let may_send = || access.holds_lease(term, clock.now());
        let orders = assignments.iter().map(|assignment| async {
            let answer = send_order(&dialect, assignment, term, access.name(), may_send).await;
            let accepted = matches!(&answer, Ok(status) if status.is_success());
            if !accepted {
                targets.end_role_change(&assignment.engine.name);
            }
            let outcome = answer.map_or_else(|reason| reason, |status| status.to_string());
            tracing::info!(
                engine = %assignment.engine.name, role = %assignment.role, fence = %term, outcome,
                "role ordered"
            );
            accepted.then_some(&assignment.engine.name)
        });
        let accepted = futures_util::future::join_all(orders).await;
        for engine in accepted.into_iter().flatten() {
            settling.remove(engine);
        }
    }
}

/// Reads the revision of an engine and sends it an order for that revision.
async fn send_order<D>(
    dialect: &D,
    assignment: &plan::RoleAssignment,
    term: usher_types::TermNumber,
    holder: usher_types::NodeName,
    may_send: impl Fn() -> bool,
) -> Result<http::StatusCode, String>
where
    D: OrderDialect,
{
    let engine = &assignment.engine;
    let answer = send_request(
        engine.address,
        dialect.revision_request(&engine.name),
        &may_send,
    )
    .await;
    let (_, body) = answer?;
    let body = body.map_err(|fault| format!("failed to read the engine's report: {fault}"))?;
    let revision = dialect.parse_revision(&body);
    let revision = revision.ok_or_else(|| {
        "the engine is carrying out an order, or its report is invalid".to_owned()
    })?;
    let order = RoleOrder {
        engine: engine.name.clone(),
        role: assignment.role,
        holder,
        fence: usher_types::FenceNumber::new(term.get()),
        revision,
    };
    // The status alone says whether the engine has accepted the order.
    let (status, _) =
        send_request(engine.address, dialect.order_request(&order), &may_send).await?;
    Ok(status)
}

/// Status of an answer, and its body if that is complete.
type EngineAnswer = (http::StatusCode, Result<bytes::Bytes, AnswerFault>);

/// Sends a request over a new connection, unless the lease has expired while connecting.
async fn send_request(
    address: net::SocketAddr,
    wanted: EngineRequest,
    may_send: &impl Fn() -> bool,
) -> Result<EngineAnswer, String> {
    let exchange = async {
        let socket = tokio::net::TcpStream::connect(address).await;
        let socket = socket.map_err(|error| error.to_string())?;
        // Closing resets the connection, so that an abandoned request does not arrive later.
        let linger = socket2::SockRef::from(&socket).set_linger(Some(time::Duration::ZERO));
        linger.map_err(|error| error.to_string())?;
        let (head_limit, socket) = usher_answer::HeadLimit::new(socket);
        let io = hyper_util::rt::TokioIo::new(socket);
        let handshake = hyper::client::conn::http1::handshake(io).await;
        let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
        let mut request = http::Request::new(http_body_util::Full::new(wanted.body));
        *request.method_mut() = wanted.method;
        *request.uri_mut() = wanted
            .path
            .parse()
            .map_err(|_| format!("invalid path {:?}", wanted.path))?;
        *request.headers_mut() = wanted.headers;
        let host = http::HeaderValue::try_from(address.to_string());
        let host = host.map_err(|error| error.to_string())?;
        request.headers_mut().insert(http::header::HOST, host);
        if !may_send() {
            return Err("the leader lease expired while connecting".to_owned());
        }
        let answered = async {
            head_limit.begin();
            let answer = sender.send_request(request).await?;
            head_limit.end();
            let (parts, body) = answer.into_parts();
            let mut body = usher_answer::AnswerReader::new(&parts.headers, body);
            let body = body.read_all(MAX_ANSWER_BYTES).await;
            Ok::<_, hyper::Error>((parts.status, body))
        };
        poll_until_answered(connection, answered).await
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(format!("no answer within {ANSWER_TIMEOUT:?}")))
}

/// Polls a connection until the answer to its request has arrived.
async fn poll_until_answered<T>(
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
