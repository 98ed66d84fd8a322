//! Accepts connections and serves them until the gateway stops. Not for: the answers.

use std::{convert, future, pin, sync, time};

use hyper_util::rt;
use tokio::net;
use usher_intake::{CallerMemory, ConnectionLimits, ConnectionMemory, HeldBody, MeteredSocket};
use usher_memory::HolderPhase;

use crate::body;

/// The limits of a connection until routes state them. The library has a single timer for the idle
/// time and the head.
pub(crate) const DEFAULT_LIMITS: ConnectionLimits = ConnectionLimits {
    idle: time::Duration::from_secs(30),
    head: time::Duration::from_secs(10),
    write: time::Duration::from_secs(30),
    head_bytes: MIN_HEAD_BYTES,
};

/// Least bytes of a head that are kept while it is read; routes with a higher limit may come while
/// connections are open.
pub(crate) const MIN_HEAD_BYTES: usize = 64 * 1_024;

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

/// Serves connections until the gateway stops, within the memory of `memory`; `limits` returns the
/// limits of a new connection.
pub(crate) async fn serve<S, F, L>(
    listener: net::TcpListener,
    service: S,
    limits: L,
    memory: CallerMemory,
    open: OpenConnections,
    stop: usher_kernel::StopSignal,
) where
    L: Fn() -> ConnectionLimits,
    S: Fn(http::Request<hyper::body::Incoming>, ConnectionMemory) -> F + Clone + 'static + Send,
    F: future::Future<Output = Result<http::Response<body::AnswerBody>, convert::Infallible>>
        + Send
        + 'static,
{
    let delay_over = wait_drain_delay(stop.clone());
    tokio::pin!(delay_over);
    loop {
        let (socket, memory) = tokio::select! {
            () = &mut delay_over => return,
            accepted = usher_intake::accept(&listener, &memory) => accepted,
        };
        let caller = CallerConnection {
            socket,
            memory,
            limits: limits(),
            open: open.clone(),
            stop: stop.clone(),
        };
        tokio::spawn(caller.run(service.clone()));
    }
}

async fn wait_drain_delay(stop: usher_kernel::StopSignal) {
    stop.draining().await;
    tokio::time::sleep(DRAIN_DELAY).await;
}

/// The connection of a caller.
struct CallerConnection {
    socket: net::TcpStream,
    memory: ConnectionMemory,
    limits: ConnectionLimits,
    open: OpenConnections,
    stop: usher_kernel::StopSignal,
}

impl CallerConnection {
    async fn run<S, F>(self, service: S)
    where
        S: Fn(http::Request<hyper::body::Incoming>, ConnectionMemory) -> F + Clone + 'static + Send,
        F: future::Future<Output = Result<http::Response<body::AnswerBody>, convert::Infallible>>
            + Send
            + 'static,
    {
        let open = self.open.clone();
        open.0.send_modify(|count| *count += 1);
        if usher_intake::begins(&self.socket, &self.memory, self.limits.idle).await {
            // The state of the connection is large, and silent connections don't need it.
            Box::pin(self.serve(service)).await;
        }
        open.0.send_modify(|count| *count -= 1);
    }

    async fn serve<S, F>(self, service: S)
    where
        S: Fn(http::Request<hyper::body::Incoming>, ConnectionMemory) -> F + Clone + 'static + Send,
        F: future::Future<Output = Result<http::Response<body::AnswerBody>, convert::Infallible>>
            + Send
            + 'static,
    {
        let Self {
            socket,
            memory,
            limits,
            stop,
            ..
        } = self;
        let _ = socket.set_nodelay(true);
        let draining = stop.clone();
        let lacks_chunks = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let is_old = lacks_chunks.clone();
        let held = memory.clone();
        let service = hyper::service::service_fn(move |request: http::Request<_>| {
            let old = request.version() < http::Version::HTTP_11;
            is_old.store(old, sync::atomic::Ordering::Relaxed);
            // The state of a call is large, and idle connections don't need it.
            let answer = Box::pin(service(request, held.clone()));
            let draining = draining.clone();
            let held = held.clone();
            async move {
                let mut answer = answer.await?;
                if draining.is_draining() {
                    let close = http::HeaderValue::from_static("close");
                    answer.headers_mut().insert(http::header::CONNECTION, close);
                }
                Ok::<_, convert::Infallible>(answer.map(|body| HeldBody::new(body, held)))
            }
        });
        let socket = MeteredSocket::new(socket, memory.clone(), limits);
        let mut connection = hyper::server::conn::http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(limits.idle)
            .max_buf_size(limits.head_bytes)
            .serve_connection(rt::TokioIo::new(socket), service);
        let delay_over = wait_drain_delay(stop);
        let told_to_end = memory.told_to_end();
        tokio::pin!(delay_over, told_to_end);
        let ended = tokio::select! {
            ended = &mut connection => ended,
            () = &mut delay_over => {
                pin::Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
            () = &mut told_to_end => {
                if memory.ends_at_once() {
                    if lacks_chunks.load(sync::atomic::Ordering::Relaxed) {
                        reset(&connection.into_parts().io.into_inner().into_inner());
                    }
                    return;
                }
                // A call that was accepted is answered first.
                pin::Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        if let Err(error) = ended {
            tracing::debug!(%error, "caller connection ended with an error");
            // Without chunks, an orderly close would complete a body that was broken off.
            let is_unfinished = error.is_user() || memory.phase() == HolderPhase::Call;
            if is_unfinished && lacks_chunks.load(sync::atomic::Ordering::Relaxed) {
                reset(&connection.into_parts().io.into_inner().into_inner());
            }
        }
    }
}

/// Makes the close of a connection a reset.
fn reset(socket: &net::TcpStream) {
    let socket = socket2::SockRef::from(socket);
    if let Err(error) = socket.set_linger(Some(time::Duration::ZERO)) {
        tracing::warn!(%error, "failed to reset the connection of a broken answer");
    }
}
