//! A TCP relay whose link can be cut silently. Not for: delays or loss of single bytes.

use std::{io, net};

use tokio::{io as tokio_io, net as tokio_net, sync, task};
use tokio_io::{AsyncReadExt as _, AsyncWriteExt as _};

/// How many bytes are read at once.
const BUFFER_BYTES: usize = 16 * 1_024;

usher_types::value_type! {
    /// Whether a link carries bytes.
    pub enum LinkState {
        /// Bytes go through.
        Open,
        /// Bytes are held, and arrive when the link opens again, as from a kernel that resends.
        Cut,
    }
}

/// Relays connections from an address of its own to another one.
///
/// Dropping it closes the relay and its connections.
pub struct LinkRelay {
    address: net::SocketAddr,
    state: sync::watch::Sender<LinkState>,
    listener: task::JoinHandle<()>,
}

impl LinkRelay {
    /// Starts a relay to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, watch) = sync::watch::channel(LinkState::Open);
        let listener = task::spawn(accept_all(listener, target, watch));
        Ok(Self {
            address,
            state,
            listener,
        })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Opens or cuts the link, for present and future connections.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

async fn accept_all(
    listener: tokio_net::TcpListener,
    target: net::SocketAddr,
    state: sync::watch::Receiver<LinkState>,
) {
    let mut links = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    links.spawn(relay(socket, target, state.clone()));
                }
            }
            Some(_) = links.join_next() => {}
        }
    }
}

async fn relay(
    near: tokio_net::TcpStream,
    target: net::SocketAddr,
    mut state: sync::watch::Receiver<LinkState>,
) {
    if wait_open(&mut state).await.is_err() {
        return;
    }
    let Ok(far) = tokio_net::TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = copy(near_read, far_write, state.clone()) => {}
        () = copy(far_read, near_write, state) => {}
    }
}

async fn copy(
    mut source: tokio_net::tcp::OwnedReadHalf,
    mut sink: tokio_net::tcp::OwnedWriteHalf,
    mut state: sync::watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match source.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        // A close by either side is held back by a cut as well, so it is waited for here.
        if wait_open(&mut state).await.is_err() || sink.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    let _ = wait_open(&mut state).await;
}

async fn wait_open(
    state: &mut sync::watch::Receiver<LinkState>,
) -> Result<(), sync::watch::error::RecvError> {
    state.wait_for(|now| *now == LinkState::Open).await?;
    Ok(())
}
