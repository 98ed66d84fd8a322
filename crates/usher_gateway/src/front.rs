//! Accepts connections and serves them until the gateway stops. Not for: what is answered.

use std::{convert, future, sync, time};

use hyper_util::rt;
use tokio::net;

use crate::body;

/// How long to wait after a failed accept, for instance without file handles.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Longest time without a new request on a connection, its head included, before any routes state
/// it: the library measures both from the end of the request before.
pub(crate) const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// How long a gateway that stops still accepts connections and requests. A load balancer that asks
/// once a second needs two refusals to take it out, and callers are told to close meanwhile.
const LINGER: time::Duration = time::Duration::from_millis(2_800);

/// Counts connections that are open.
#[derive(Clone, Debug)]
pub(crate) struct OpenConnections(sync::Arc<tokio::sync::watch::Sender<usize>>);

impl OpenConnections {
    pub(crate) fn new() -> Self {
        Self(sync::Arc::new(tokio::sync::watch::Sender::new(0)))
    }

    /// Waits until no connection is open.
    pub(crate) async fn closed(&self) {
        let mut count = self.0.subscribe();
        // The sender lives as long as this value.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

/// Serves connections until the gateway stops; `idle_time` tells how long a new connection may wait
/// for each request.
pub(crate) async fn serve<S, F, I>(
    listener: net::TcpListener,
    service: S,
    idle_timeout: I,
    open: OpenConnections,
    stop: usher_kernel::StopSignal,
) where
    I: Fn() -> time::Duration,
    S: Fn(http::Request<hyper::body::Incoming>) -> F + Clone + 'static + Send,
    F: future::Future<Output = Result<http::Response<body::AnswerBody>, convert::Infallible>>
        + Send
        + 'static,
{
    let lingered = linger(stop.clone());
    tokio::pin!(lingered);
    loop {
        tokio::select! {
            () = &mut lingered => return,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let idle_timeout = idle_timeout();
                    let open = open.clone();
                    let connection = run(socket, service.clone(), idle_timeout, open, stop.clone());
                    tokio::spawn(connection);
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

async fn linger(stop: usher_kernel::StopSignal) {
    stop.draining().await;
    tokio::time::sleep(LINGER).await;
}

async fn run<S, F>(
    socket: net::TcpStream,
    service: S,
    idle_timeout: time::Duration,
    open: OpenConnections,
    stop: usher_kernel::StopSignal,
) where
    S: Fn(http::Request<hyper::body::Incoming>) -> F + Clone + 'static + Send,
    F: future::Future<Output = Result<http::Response<body::AnswerBody>, convert::Infallible>>
        + Send
        + 'static,
{
    open.0.send_modify(|count| *count += 1);
    let _ = socket.set_nodelay(true);
    let draining = stop.clone();
    let service = hyper::service::service_fn(move |request| {
        let answer = service(request);
        let draining = draining.clone();
        async move {
            let mut answer = answer.await?;
            if draining.is_draining() {
                let close = http::HeaderValue::from_static("close");
                answer.headers_mut().insert(http::header::CONNECTION, close);
            }
            Ok::<_, convert::Infallible>(answer)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .serve_connection(rt::TokioIo::new(socket), service);
    tokio::pin!(connection);
    let lingered = linger(stop);
    tokio::pin!(lingered);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = &mut lingered => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection of a caller ended with an error");
    }
    open.0.send_modify(|count| *count -= 1);
}
