//! A TCP relay in front of a process that can cut links silently in one or both directions,
//! delay them and reset them. Not for: packet loss.

use std::{io, net, time};

use prost::Message as _;
use tokio::{io as tokio_io, net as tokio_net, sync, task};
use tokio_io::{AsyncReadExt as _, AsyncWriteExt as _};
use usher_wire::message;

use crate::{link_table, step};

/// Size of the read buffer.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Size limit of the hello frame, in bytes.
const MAX_HELLO_BYTES: usize = 1_024;

/// Timeout for the hello frame of a connection.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Relays connections to one process. The first frame of a connection, the hello, names the
/// connecting process.
///
/// The bytes of a cut link are held back and delivered when the link opens again, as with TCP
/// retransmissions. Dropping the relay closes it and its connections.
pub struct LinkRelay {
    address: net::SocketAddr,
    listener: task::JoinHandle<()>,
}

/// One direction of a relayed connection.
#[derive(Clone)]
struct RelayLink {
    from: step::ProcessName,
    to: step::ProcessName,
    table: sync::watch::Receiver<link_table::LinkTable>,
}

impl LinkRelay {
    /// Starts a relay to the process `name` at `target`, on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(
        name: step::ProcessName,
        target: net::SocketAddr,
        table: &sync::watch::Sender<link_table::LinkTable>,
    ) -> io::Result<Self> {
        let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let listener = task::spawn(accept_all(listener, name, target, table.subscribe()));
        Ok(Self { address, listener })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

async fn accept_all(
    listener: tokio_net::TcpListener,
    name: step::ProcessName,
    target: net::SocketAddr,
    table: sync::watch::Receiver<link_table::LinkTable>,
) {
    let mut links = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    links.spawn(relay_connection(socket, name.clone(), target, table.clone()));
                }
            }
            Some(_) = links.join_next() => {}
        }
    }
}

async fn relay_connection(
    mut client: tokio_net::TcpStream,
    to: step::ProcessName,
    target: net::SocketAddr,
    table: sync::watch::Receiver<link_table::LinkTable>,
) {
    let hello = tokio::time::timeout(HELLO_TIMEOUT, read_hello(&mut client));
    let Ok(Ok((from, first))) = hello.await else {
        return;
    };
    let mut link = RelayLink { from, to, table };
    if !link.wait_open().await {
        return;
    }
    let Ok(mut server) = tokio_net::TcpStream::connect(target).await else {
        return;
    };
    if server.write_all(&first).await.is_err() {
        return;
    }
    // Closing the relayed connection resets it on both sides.
    for socket in [&client, &server] {
        let _ = socket2::SockRef::from(socket).set_linger(Some(time::Duration::ZERO));
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let reverse = RelayLink {
        from: link.to.clone(),
        to: link.from.clone(),
        table: link.table.clone(),
    };
    let mut watched = link.clone();
    tokio::select! {
        () = copy(client_read, server_write, link) => {}
        () = copy(server_read, client_write, reverse) => {}
        () = watched.wait_reset() => {}
    }
}

/// Reads the hello frame and returns the name in it and the bytes of the frame.
async fn read_hello(socket: &mut tokio_net::TcpStream) -> io::Result<(step::ProcessName, Vec<u8>)> {
    let length = socket.read_u32().await?;
    let size = usize::try_from(length).unwrap_or(usize::MAX);
    if size > MAX_HELLO_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut first = length.to_be_bytes().to_vec();
    first.resize(first.len() + size, 0);
    socket.read_exact(&mut first[4..]).await?;
    let hello = message::Hello::decode(&first[4..])
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    Ok((step::ProcessName::new(hello.node), first))
}

async fn copy(
    mut source: tokio_net::tcp::OwnedReadHalf,
    mut sink: tokio_net::tcp::OwnedWriteHalf,
    mut link: RelayLink,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = match source.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        tokio::time::sleep(link.delay()).await;
        if !link.wait_open().await || sink.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // A cut also holds back the close of a connection.
    link.wait_open().await;
}

impl RelayLink {
    fn delay(&self) -> time::Duration {
        self.table.borrow().delay_between(&self.from, &self.to)
    }

    /// Waits until the connections of either process are reset.
    async fn wait_reset(&mut self) {
        let (from, to) = (&self.from, &self.to);
        let before = self.table.borrow().resets_between(from, to);
        let changed = |table: &link_table::LinkTable| table.resets_between(from, to) != before;
        // An error means that the table was dropped: the scenario has ended, and all relays end.
        let _ = self.table.wait_for(changed).await;
    }

    /// Waits until the link is open; returns false if the scenario has ended.
    async fn wait_open(&mut self) -> bool {
        let (from, to) = (&self.from, &self.to);
        self.table
            .wait_for(|table| table.is_open(from, to))
            .await
            .is_ok()
    }
}
