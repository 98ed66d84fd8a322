//! Accepts and serves connections of callers and targets.
//!
//! Not for: the handlers.

use std::{future, io, pin, sync, task, time};

use tokio::{io as tokio_io, net as tokio_net};
use tower::ServiceExt as _;

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Delay after a failed accept, such as when no file descriptors are left.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Maximum size of a request head, in bytes.
    pub(crate) max_head: usize,
    /// Time after which a caller that accepts no bytes is disconnected; `None` disables it.
    pub(crate) write_timeout: Option<time::Duration>,
}

/// A socket with a write timeout.
struct TimedSocket {
    inner: tokio_net::TcpStream,
    write_timeout: Option<time::Duration>,
    write_timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    /// Set when the close of the connection must be a reset.
    resets: sync::Arc<sync::atomic::AtomicBool>,
}

impl TimedSocket {
    /// Returns an error if a write has been pending longer than the write timeout.
    fn check_timeout<T>(
        &mut self,
        context: &mut task::Context<'_>,
        written: task::Poll<io::Result<T>>,
    ) -> task::Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let Some(write_timeout) = self.write_timeout else {
            return written;
        };
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(write_timeout)));
        match future::Future::poll(write_timer.as_mut(), context) {
            task::Poll::Ready(()) => task::Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            task::Poll::Pending => task::Poll::Pending,
        }
    }
}

impl Drop for TimedSocket {
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

impl tokio_io::AsyncRead for TimedSocket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl tokio_io::AsyncWrite for TimedSocket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check_timeout(context, written)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.check_timeout(context, written)
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
    stop: usher_kernel::StopSignal,
) {
    let graceful = hyper_util::server::graceful::GracefulShutdown::new();
    let watcher = sync::Arc::new(graceful);
    let stopped = stop.stopped();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => serve_socket(socket, router.clone(), limits, &watcher),
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
    drop(listener);
    if let Ok(graceful) = sync::Arc::try_unwrap(watcher) {
        graceful.shutdown().await;
    }
}

fn serve_socket(
    socket: tokio_net::TcpStream,
    router: axum::Router,
    limits: ServerLimits,
    watcher: &hyper_util::server::graceful::GracefulShutdown,
) {
    let _ = socket.set_nodelay(true);
    let resets = sync::Arc::new(sync::atomic::AtomicBool::new(false));
    let socket = TimedSocket {
        inner: socket,
        write_timeout: limits.write_timeout,
        write_timer: None,
        resets: resets.clone(),
    };
    let lacks_chunks = sync::Arc::new(sync::atomic::AtomicBool::new(false));
    let is_old = lacks_chunks.clone();
    let router = router.map_request(move |request: http::Request<hyper::body::Incoming>| {
        let old = request.version() < http::Version::HTTP_11;
        is_old.store(old, sync::atomic::Ordering::Relaxed);
        request
    });
    let service = hyper_util::service::TowerToHyperService::new(router);
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(limits.max_head)
        .serve_connection(hyper_util::rt::TokioIo::new(socket), service);
    let connection = watcher.watch(connection);
    tokio::spawn(async move {
        tokio::pin!(connection);
        if let Err(error) = connection.as_mut().await {
            tracing::debug!(%error, "caller connection failed");
            // Without chunks, an orderly close would complete a body that was broken off.
            let resets_connection =
                error.is_user() && lacks_chunks.load(sync::atomic::Ordering::Relaxed);
            resets.store(resets_connection, sync::atomic::Ordering::Relaxed);
        }
    });
}
