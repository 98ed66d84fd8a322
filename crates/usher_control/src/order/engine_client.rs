//! HTTP client for engines, with one short connection per request. Not for: the message bodies.

use std::{future, net, time};

use usher_state::OrderRecord;

use crate::{error, order::engine_body, plan};

/// Time for which sent bytes may stay unacknowledged before the kernel drops the connection.
/// [`plan::NEW_LEADER_ORDER_DELAY`] depends on it.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Largest answer body that is read from an engine.
const MAX_ANSWER_BYTES: usize = 1_024 * 1_024;

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderAnswer {
    Accepted,
    Refused,
}

/// Reads engines and sends orders to them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineClient {
    timeout: time::Duration,
}

/// Aborts the task of a connection when the request ends, which resets the connection.
struct ConnectionGuard(tokio::task::JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EngineClient {
    pub(crate) fn new(timeout: time::Duration) -> Self {
        Self { timeout }
    }

    /// Reads the state of an engine; returns `None` if any of the requests fails.
    pub(crate) async fn read(&self, address: &str) -> Option<plan::EngineReading> {
        let state = self.get::<engine_body::StateBody>(address, "/v1/orders");
        let load = self.get::<engine_body::LoadBody>(address, "/v1/load");
        let (state, load) = tokio::join!(state, load);
        Some(state?.reading(&load?))
    }

    async fn get<T>(&self, address: &str, path: &'static str) -> Option<T>
    where
        T: serde::de::DeserializeOwned,
    {
        let request = http::Request::get(path)
            .header(http::header::HOST, address)
            .body(http_body_util::Full::default())
            .ok()?;
        let (status, body) = self.exchange(address, request, || true).await.ok()?;
        let body = status.is_success().then_some(body)?;
        serde_json::from_slice(&body).ok()
    }

    /// Sends an order; `may_write` is checked right before the first byte is written.
    pub(crate) async fn send<G>(
        &self,
        address: &str,
        order: &OrderRecord,
        may_write: G,
    ) -> Result<OrderAnswer, error::EngineError>
    where
        G: FnOnce() -> bool,
    {
        let not_sent = |text: String| error::EngineError::NotSent(text);
        let body = serde_json::to_vec(&engine_body::OrderBody::new(order))
            .map_err(|error| not_sent(error.to_string()))?;
        let request = http::Request::post("/v1/orders")
            .header(http::header::HOST, address)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(http_body_util::Full::from(body))
            .map_err(|error| not_sent(error.to_string()))?;
        let (status, _) = self.exchange(address, request, may_write).await?;
        if status.is_success() {
            Ok(OrderAnswer::Accepted)
        } else if status.is_client_error() {
            Ok(OrderAnswer::Refused)
        } else {
            Err(error::EngineError::Unknown(status.to_string()))
        }
    }

    async fn exchange<G>(
        &self,
        address: &str,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
        may_write: G,
    ) -> Result<(http::StatusCode, bytes::Bytes), error::EngineError>
    where
        G: FnOnce() -> bool,
    {
        let connect = connect(address);
        let (mut sender, head_limit, _guard) = tokio::time::timeout(self.timeout, connect)
            .await
            .map_err(|_| {
            error::EngineError::NotSent(format!("connecting took longer than {:?}", self.timeout))
        })??;
        if !may_write() {
            return Err(error::EngineError::NotSent(
                "the leader lease has expired".to_owned(),
            ));
        }
        let unknown = |text: String| error::EngineError::Unknown(text);
        let exchange = async {
            head_limit.begin();
            let answer = sender.send_request(request).await;
            let answer = answer.map_err(|error| unknown(error.to_string()))?;
            head_limit.end();
            let (parts, body) = answer.into_parts();
            let mut body = usher_answer::AnswerReader::new(&parts.headers, body);
            let body = body
                .read_all(MAX_ANSWER_BYTES)
                .await
                .map_err(|fault| unknown(fault.to_string()))?;
            Ok((parts.status, body))
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .map_err(|_| unknown(format!("no answer within {:?}", self.timeout)))?
    }
}

type EngineSender = hyper::client::conn::http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

async fn connect(
    address: &str,
) -> Result<(EngineSender, usher_answer::HeadLimit, ConnectionGuard), error::EngineError> {
    let not_sent = |text: String| error::EngineError::NotSent(text);
    let address: net::SocketAddr = address
        .parse()
        .map_err(|_| not_sent(format!("{address:?} is not a socket address")))?;
    let socket = tokio::net::TcpStream::connect(address)
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    limit_time_in_flight(&socket).map_err(|error| not_sent(error.to_string()))?;
    let (head_limit, socket) = usher_answer::HeadLimit::new(socket);
    let io = hyper_util::rt::TokioIo::new(socket);
    let (sender, connection) = hyper::client::conn::http1::handshake(io)
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    let task = tokio::spawn(async move {
        let _ = future::IntoFuture::into_future(connection).await;
    });
    Ok((sender, head_limit, ConnectionGuard(task)))
}

/// Limits the time for which the bytes of an order can be in flight: unacknowledged bytes time out,
/// and closing resets the connection instead of sending buffered bytes.
fn limit_time_in_flight(socket: &tokio::net::TcpStream) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(socket);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_linger(Some(time::Duration::ZERO))?;
    socket.set_tcp_nodelay(true)
}
