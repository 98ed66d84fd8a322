//! Accepts connections and serves them until the gateway stops. Not for: the answers.

use std::{convert, future, pin, sync, time};

use hyper_util::rt;
use tokio::net;

use crate::body;

/// Delay after a failed accept, for instance when file handles are exhausted.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Maximum time from the end of one request on a connection to the complete head of the next one,
/// until routes state it. The library has a single timer for the idle time and the head.
pub(crate) const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Time for which a gateway that is stopping still accepts connections and requests. A load
/// balancer that checks once a second needs two failed checks to remove it, and callers are asked
/// to close their connections meanwhile.
pub(crate) const DRAIN_DELAY: time::Duration = time::Duration::from_millis(2_800);

/// Counts the open connections.
#[derive(Clone, Debug)]
pub(crate) struct OpenConnections(sync::Arc<tokio::sync::watch::Sender<usize>>);

impl OpenConnections {
    pub(crate) fn new() -> Self {
        Self(sync::Arc::new(tokio::sync::watch::Sender::new(0)))
    }

    /// Waits until no connection is open.
    pub(crate) async fn all_closed(&self) {
        let mut count = self.0.subscribe();
        // The sender lives as long as this value.
        let _ = count.wait_for(|count| *count == 0).await;
    }
}

/// Serves connections until the gateway stops; `idle_timeout` returns the time for which a new
/// connection may wait for each request.
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
    let delay_over = wait_drain_delay(stop.clone());
    tokio::pin!(delay_over);
    loop {
        tokio::select! {
            () = &mut delay_over => return,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let idle_timeout = idle_timeout();
                    let open = open.clone();
                    let connection = run(socket, service.clone(), idle_timeout, open, stop.clone());
                    tokio::spawn(connection);
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

async fn wait_drain_delay(stop: usher_kernel::StopSignal) {
    stop.draining().await;
    tokio::time::sleep(DRAIN_DELAY).await;
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
    let lacks_chunks = sync::Arc::new(sync::atomic::AtomicBool::new(false));
    let is_old = lacks_chunks.clone();
    let service = hyper::service::service_fn(move |request: http::Request<_>| {
        let old = request.version() < http::Version::HTTP_11;
        is_old.store(old, sync::atomic::Ordering::Relaxed);
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
    let mut connection = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .serve_connection(rt::TokioIo::new(socket), service);
    let delay_over = wait_drain_delay(stop);
    tokio::pin!(delay_over);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = &mut delay_over => {
            pin::Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "caller connection ended with an error");
        // Without chunks, an orderly close would complete a body that was broken off.
        if error.is_user() && lacks_chunks.load(sync::atomic::Ordering::Relaxed) {
            reset(&connection.into_parts().io.into_inner());
        }
    }
    open.0.send_modify(|count| *count -= 1);
}

/// Makes the close of a connection a reset.
fn reset(socket: &net::TcpStream) {
    let socket = socket2::SockRef::from(socket);
    if let Err(error) = socket.set_linger(Some(time::Duration::ZERO)) {
        tracing::warn!(%error, "failed to reset the connection of a broken answer");
    }
}
