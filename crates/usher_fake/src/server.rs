//! An HTTP server that can simulate a crash by resetting its connections. Not for: its handlers.

use std::{io, net, pin, sync, sync::atomic, task};

use tokio::{io as tokio_io, net as tokio_net, sync as tokio_sync};

/// A connection that is reset instead of closed after a simulated crash.
struct FaultSocket {
    inner: tokio_net::TcpStream,
    crashed: sync::Arc<atomic::AtomicBool>,
}

impl Drop for FaultSocket {
    fn drop(&mut self) {
        if self.crashed.load(atomic::Ordering::SeqCst) {
            let _ = self.inner.set_zero_linger();
        }
    }
}

impl tokio_io::AsyncRead for FaultSocket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl tokio_io::AsyncWrite for FaultSocket {
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

/// A handle to crash or stop a server; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct ServerHandle {
    crashed: sync::Arc<atomic::AtomicBool>,
    ended: sync::Arc<tokio_sync::watch::Sender<bool>>,
}

impl ServerHandle {
    pub(crate) fn new() -> Self {
        Self {
            crashed: sync::Arc::default(),
            ended: sync::Arc::new(tokio_sync::watch::Sender::new(false)),
        }
    }

    /// Resets all connections and stops listening.
    pub(crate) fn crash(&self) {
        self.crashed.store(true, atomic::Ordering::SeqCst);
        self.ended.send_replace(true);
    }

    /// Closes all connections and stops listening.
    pub(crate) fn stop(&self) {
        self.ended.send_replace(true);
    }

    pub(crate) fn is_ended(&self) -> bool {
        *self.ended.borrow()
    }

    pub(crate) async fn ended(&self) {
        let mut ended = self.ended.subscribe();
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

/// Binds the address and serves the router until it is stopped or crashed through the handle.
pub(crate) async fn start(
    bind: net::SocketAddr,
    make_router: impl FnOnce(net::SocketAddr) -> axum::Router,
    handle: ServerHandle,
) -> io::Result<net::SocketAddr> {
    let listener = tokio_net::TcpListener::bind(bind).await?;
    let address = listener.local_addr()?;
    let router = make_router(address);
    tokio::spawn(serve(listener, router, handle));
    Ok(address)
}

async fn serve(listener: tokio_net::TcpListener, router: axum::Router, handle: ServerHandle) {
    let mut connections = tokio::task::JoinSet::new();
    let ended = handle.ended();
    tokio::pin!(ended);
    loop {
        tokio::select! {
            () = &mut ended => break,
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    let _ = socket.set_nodelay(true);
                    let crashed = handle.crashed.clone();
                    let socket = FaultSocket { inner: socket, crashed };
                    connections.spawn(serve_socket(socket, router.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    connections.shutdown().await;
}

async fn serve_socket(socket: FaultSocket, router: axum::Router) {
    let service = hyper_util::service::TowerToHyperService::new(router);
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(hyper_util::rt::TokioIo::new(socket), service)
        .await;
}
