//! Accepts and serves connections of callers and targets.
//!
//! Not for: the handlers.

use std::{convert, io, pin, sync, task, time};

use axum::response::IntoResponse as _;
use tokio::{io as tokio_io, net as tokio_net};
use tower::ServiceExt as _;
use usher_intake::{
    CallMemory, CallerMemory, ConnectionLimits, ConnectionMemory, HeldBody, MeteredSocket,
};
use usher_memory::HolderPhase;

use crate::error;

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Time after which a caller that accepts no bytes is disconnected, where a test disables the limit.
const NO_TIMEOUT: time::Duration = time::Duration::from_secs(24 * 60 * 60);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Maximum size of a request head, in bytes.
    pub(crate) max_head: usize,
    /// Time after which a caller that accepts no bytes is disconnected; `None` disables it.
    pub(crate) write_timeout: Option<time::Duration>,
}

/// A socket whose close can be made a reset.
struct ResetSocket {
    inner: tokio_net::TcpStream,
    /// Set when the close of the connection must be a reset.
    resets: sync::Arc<sync::atomic::AtomicBool>,
}

impl Drop for ResetSocket {
    fn drop(&mut self) {
        if !self.resets.load(sync::atomic::Ordering::Relaxed) {
            return;
        }
        let socket = socket2::SockRef::from(&self.inner);
        if let Err(error) = socket.set_linger(Some(time::Duration::ZERO)) {
            tracing::warn!(%error, "failed to reset the connection of a broken answer");
        }
    }
}

impl tokio_io::AsyncRead for ResetSocket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl tokio_io::AsyncWrite for ResetSocket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Serves until the process is stopped; open connections then finish their requests.
pub(crate) async fn serve(
    listener: tokio_net::TcpListener,
    router: axum::Router,
    limits: ServerLimits,
    memory: CallerMemory,
    stop: usher_kernel::StopSignal,
) {
    let graceful = hyper_util::server::graceful::GracefulShutdown::new();
    let stopped = stop.stopped();
    tokio::pin!(stopped);
    loop {
        let (socket, memory) = tokio::select! {
            () = &mut stopped => break,
            accepted = usher_intake::accept(&listener, &memory) => accepted,
        };
        let caller = CallerConnection {
            socket,
            router: router.clone(),
            limits,
            memory,
        };
        tokio::spawn(caller.run(graceful.watcher(), stop.clone()));
    }
    drop(listener);
    graceful.shutdown().await;
}

/// The connection of a caller or a target.
struct CallerConnection {
    socket: tokio_net::TcpStream,
    router: axum::Router,
    limits: ServerLimits,
    memory: ConnectionMemory,
}

impl CallerConnection {
    async fn run(
        self,
        watcher: hyper_util::server::graceful::Watcher,
        stop: usher_kernel::StopSignal,
    ) {
        tokio::select! {
            begins = usher_intake::begins(&self.socket, &self.memory, HEAD_TIMEOUT) => if !begins {
                return;
            },
            () = stop.stopped() => return,
        }
        // The state of the connection is large, and silent connections don't need it.
        Box::pin(self.serve(watcher)).await;
    }

    async fn serve(self, watcher: hyper_util::server::graceful::Watcher) {
        let Self {
            socket,
            router,
            limits,
            memory,
        } = self;
        let _ = socket.set_nodelay(true);
        let resets = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let socket = ResetSocket {
            inner: socket,
            resets: resets.clone(),
        };
        let limits = ConnectionLimits {
            idle: HEAD_TIMEOUT,
            head: HEAD_TIMEOUT,
            write: limits.write_timeout.unwrap_or(NO_TIMEOUT),
            head_bytes: limits.max_head,
        };
        let socket = MeteredSocket::new(socket, memory.clone(), limits);
        let lacks_chunks = sync::Arc::new(sync::atomic::AtomicBool::new(false));
        let is_old = lacks_chunks.clone();
        let held = memory.clone();
        let service = hyper::service::service_fn(move |request: http::Request<_>| {
            let old = request.version() < http::Version::HTTP_11;
            is_old.store(old, sync::atomic::Ordering::Relaxed);
            let (router, held) = (router.clone(), held.clone());
            async move {
                let answer = answer(router, request, &held).await;
                Ok::<_, convert::Infallible>(answer.map(|body| HeldBody::new(body, held)))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(hyper_util::rt::TokioTimer::new())
            .header_read_timeout(limits.idle)
            .max_buf_size(limits.head_bytes)
            .serve_connection(hyper_util::rt::TokioIo::new(socket), service);
        let connection = watcher.watch(connection);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = memory.told_to_end() => {
                if memory.ends_at_once() {
                    let is_old = lacks_chunks.load(sync::atomic::Ordering::Relaxed);
                    resets.store(is_old, sync::atomic::Ordering::Relaxed);
                    return;
                }
                // A call that was accepted is answered first.
                connection.await
            }
        };
        if let Err(error) = ended {
            tracing::debug!(%error, "caller connection failed");
            // Without chunks, an orderly close would complete a body that was broken off.
            let is_unfinished = error.is_user() || memory.phase() == HolderPhase::Call;
            let resets_connection =
                is_unfinished && lacks_chunks.load(sync::atomic::Ordering::Relaxed);
            resets.store(resets_connection, sync::atomic::Ordering::Relaxed);
        }
    }
}

/// Charges the head of a request, and has it answered.
async fn answer(
    router: axum::Router,
    request: http::Request<hyper::body::Incoming>,
    memory: &ConnectionMemory,
) -> axum::response::Response {
    let (mut parts, body) = request.into_parts();
    let shape = usher_intake::head_shape(&parts);
    if !memory.begin_call(shape, 0).await {
        return error::CallError::no_memory().into_response();
    }
    let call = CallMemory::new(memory.clone(), shape);
    parts.extensions.insert(call);
    let request = http::Request::from_parts(parts, axum::body::Body::new(body));
    let answered: Result<_, convert::Infallible> = router.oneshot(request).await;
    answered.unwrap_or_else(|never| match never {})
}
