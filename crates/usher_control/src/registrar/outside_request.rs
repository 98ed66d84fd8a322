//! Sends one HTTP request to an engine or an API outside the installation. Not for: when a request
//! is sent.

use std::{future, net, time};

use usher_answer::AnswerFault;

/// Largest answer body that is read.
const MAX_ANSWER_BYTES: usize = 64 * 1_024;

/// An HTTP request to an engine or to an API outside the installation.
#[derive(Clone, Debug, PartialEq)]
pub struct OutsideRequest {
    /// HTTP method.
    pub method: http::Method,
    /// Path of the URI.
    pub path: String,
    /// Headers other than `Host` and those of the connection.
    pub headers: http::HeaderMap,
    /// Request body.
    pub body: bytes::Bytes,
}

/// Status of an answer, and its body if that is complete.
pub(crate) type OutsideAnswer = (http::StatusCode, Result<bytes::Bytes, AnswerFault>);

/// Sends a request over a new connection, unless the lease has expired while connecting.
pub(crate) async fn send_request(
    address: net::SocketAddr,
    wanted: OutsideRequest,
    timeout: time::Duration,
    may_send: &impl Fn() -> bool,
) -> Result<OutsideAnswer, String> {
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
    tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or_else(|_| Err(format!("no answer within {timeout:?}")))
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
