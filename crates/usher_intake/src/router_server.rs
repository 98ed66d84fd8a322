//! Serves an HTTP router within a memory account. Not for: the router.

use std::{convert, time};

use crate::{
    acceptor, head_shape, BodyFault, BodyReader, CallerMemory, ConnectionLimits, ConnectionMemory,
    HeldBody, MeteredSocket,
};
use hyper_util::server::graceful;
use tokio::net;
use tower::ServiceExt as _;
use usher_memory::PhaseCost;

/// Limits of a connection of a target or an operator.
const LIMITS: ConnectionLimits = ConnectionLimits {
    idle: time::Duration::from_secs(300),
    head: time::Duration::from_secs(10),
    write: time::Duration::from_secs(30),
    head_bytes: 64 * 1_024,
};

/// Time for a complete body; a large configuration over a slow link takes a few seconds.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Retry delay that a client is given when there is no memory for its request, in seconds:
/// connections without progress for a second end for others.
const MEMORY_RETRY_AFTER: &str = "1";

/// Serves a router until the process stops; open connections then finish their requests. Bodies have
/// at most `max_body` bytes.
pub async fn serve_router(
    listener: net::TcpListener,
    router: axum::Router,
    memory: CallerMemory,
    max_body: usize,
    stop: usher_kernel::StopSignal,
) {
    let shutdown = graceful::GracefulShutdown::new();
    let stopped = stop.stopped();
    tokio::pin!(stopped);
    loop {
        let (socket, memory) = tokio::select! {
            () = &mut stopped => break,
            accepted = acceptor::accept(&listener, &memory) => accepted,
        };
        let server = RouterServer {
            router: router.clone(),
            memory,
            max_body,
        };
        tokio::spawn(server.serve(socket, shutdown.watcher(), stop.clone()));
    }
    drop(listener);
    shutdown.shutdown().await;
}

/// Serves one connection.
#[derive(Clone)]
struct RouterServer {
    router: axum::Router,
    memory: ConnectionMemory,
    max_body: usize,
}

impl RouterServer {
    async fn serve(
        self,
        socket: net::TcpStream,
        watcher: graceful::Watcher,
        stop: usher_kernel::StopSignal,
    ) {
        let memory = self.memory.clone();
        tokio::select! {
            begins = acceptor::begins(&socket, &memory, LIMITS.idle) => if !begins {
                return;
            },
            () = stop.stopped() => return,
        }
        let _ = socket.set_nodelay(true);
        let held = memory.clone();
        let service = hyper::service::service_fn(move |request| {
            let (server, held) = (self.clone(), held.clone());
            async move {
                let answer = server.answer(request).await;
                Ok::<_, convert::Infallible>(answer.map(|body| HeldBody::new(body, held)))
            }
        });
        let socket = MeteredSocket::new(socket, memory.clone(), LIMITS);
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(hyper_util::rt::TokioTimer::new())
            .header_read_timeout(LIMITS.idle)
            .max_buf_size(LIMITS.head_bytes)
            .serve_connection(hyper_util::rt::TokioIo::new(socket), service);
        let connection = watcher.watch(connection);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = memory.told_to_end() => {
                if memory.ends_at_once() {
                    return;
                }
                // A call that was accepted is answered first.
                connection.await
            }
        };
        if let Err(error) = ended {
            tracing::debug!(%error, "connection of a client ended with an error");
        }
    }

    /// Reads the body of a request, and answers it.
    async fn answer(
        self,
        request: http::Request<hyper::body::Incoming>,
    ) -> axum::response::Response {
        let Self {
            router,
            memory,
            max_body,
        } = self;
        let (parts, body) = request.into_parts();
        if !memory
            .begin_call(head_shape(&parts), PhaseCost::SMALL_ANSWER)
            .await
        {
            return refuse(http::StatusCode::SERVICE_UNAVAILABLE);
        }
        let read = BodyReader::new(&memory, max_body).read(body);
        let status = match tokio::time::timeout(BODY_TIMEOUT, read).await {
            Ok(Ok(body)) => {
                let request = http::Request::from_parts(parts, axum::body::Body::from(body));
                let answered: Result<_, convert::Infallible> = router.oneshot(request).await;
                let answer = answered.unwrap_or_else(|never| match never {});
                let bytes = http_body::Body::size_hint(answer.body()).lower();
                let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
                if bytes <= PhaseCost::SMALL_ANSWER || memory.charge_answer(bytes).await {
                    return answer;
                }
                http::StatusCode::SERVICE_UNAVAILABLE
            }
            Ok(Err(BodyFault::TooLong { .. })) => http::StatusCode::PAYLOAD_TOO_LARGE,
            Ok(Err(BodyFault::NoRoom)) => http::StatusCode::SERVICE_UNAVAILABLE,
            Ok(Err(BodyFault::Incomplete)) => http::StatusCode::BAD_REQUEST,
            Ok(Err(BodyFault::Stalled)) | Err(_) => http::StatusCode::REQUEST_TIMEOUT,
        };
        refuse(status)
    }
}

fn refuse(status: http::StatusCode) -> axum::response::Response {
    let close = [(http::header::CONNECTION, "close")];
    if status == http::StatusCode::SERVICE_UNAVAILABLE {
        let after = [(http::header::RETRY_AFTER, MEMORY_RETRY_AFTER)];
        return axum::response::IntoResponse::into_response((status, close, after));
    }
    axum::response::IntoResponse::into_response((status, close))
}
