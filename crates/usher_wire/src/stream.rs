//! A connection after its hello. Not for: matching replies to calls.

use std::{net, time};

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::net as tokio_net;
use tokio_util::codec;

use crate::{codec as envelope_codec, error, message};

/// Version of the protocol between the system's own processes.
pub const PROTOCOL_VERSION: u32 = 1;

/// How long connecting and the hello may take.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// After this time without an answer to the opening packet another one is sent from a new socket: five
/// round trips between regions. The kernel sends it again only after a second, and a process that
/// starts together with its peers, as after a loss of power, meets some that aren't up yet.
const DIAL_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How long sent bytes may stay without an answer of the peer's kernel before the connection
/// breaks; bounds how late bytes in flight can still arrive, and how long a silent cut is unseen.
pub const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The longest hello, in bytes; a stranger can't make this side reserve more.
const MAX_HELLO_BYTES: usize = 1_024;

/// A connection that carries envelopes.
pub type WireStream = codec::Framed<tokio_net::TcpStream, envelope_codec::EnvelopeCodec>;

/// Who a side of a connection says it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireIdentity {
    /// Name of the installation.
    pub cluster: String,
    /// Name of the node.
    pub node: usher_types::NodeName,
    /// Life of the node under that name.
    pub incarnation: usher_types::IncarnationId,
}

impl WireIdentity {
    fn hello(&self) -> message::Hello {
        message::Hello {
            protocol: PROTOCOL_VERSION,
            cluster: self.cluster.clone(),
            node: self.node.to_string(),
            incarnation: self.incarnation.get(),
        }
    }

    fn check(&self, hello: message::Hello) -> Result<Self, error::WireError> {
        if hello.protocol != PROTOCOL_VERSION {
            return Err(error::WireError::Protocol {
                ours: PROTOCOL_VERSION,
                theirs: hello.protocol,
            });
        }
        if hello.cluster != self.cluster {
            return Err(error::WireError::Cluster {
                ours: self.cluster.clone(),
                theirs: hello.cluster,
            });
        }
        Ok(Self {
            cluster: hello.cluster,
            node: usher_types::NodeName::new(hello.node),
            incarnation: usher_types::IncarnationId::new(hello.incarnation),
        })
    }
}

/// Connects to a peer and exchanges hellos.
///
/// # Errors
///
/// Fails when the peer can't be reached within 2 s, or belongs to another cluster or protocol.
pub async fn connect(
    address: net::SocketAddr,
    identity: &WireIdentity,
) -> Result<(WireStream, WireIdentity), error::WireError> {
    let dialled = async {
        let socket = dial(address).await?;
        // The side that calls closes with a reset: what it gave up on must not arrive later.
        socket2::SockRef::from(&socket).set_linger(Some(time::Duration::ZERO))?;
        exchange(socket, identity).await
    };
    tokio::time::timeout(HELLO_TIMEOUT, dialled)
        .await
        .map_err(|_| error::WireError::Timeout)?
}

/// Connects to a peer; goes on trying while it doesn't answer.
async fn dial(address: net::SocketAddr) -> std::io::Result<tokio_net::TcpStream> {
    loop {
        let socket = tokio_net::TcpStream::connect(address);
        if let Ok(ended) = tokio::time::timeout(DIAL_TIMEOUT, socket).await {
            return ended;
        }
    }
}

/// Exchanges hellos on a connection that a peer opened.
///
/// # Errors
///
/// Fails when the peer sends no valid hello within 2 s.
pub async fn accept(
    socket: tokio_net::TcpStream,
    identity: &WireIdentity,
) -> Result<(WireStream, WireIdentity), error::WireError> {
    tokio::time::timeout(HELLO_TIMEOUT, exchange(socket, identity))
        .await
        .map_err(|_| error::WireError::Timeout)?
}

fn hello_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HELLO_BYTES)
        .new_codec()
}

async fn exchange(
    socket: tokio_net::TcpStream,
    identity: &WireIdentity,
) -> Result<(WireStream, WireIdentity), error::WireError> {
    use prost::Message as _;
    socket.set_nodelay(true)?;
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let mut frames = codec::Framed::new(socket, hello_codec());
    frames
        .send(bytes::Bytes::from(identity.hello().encode_to_vec()))
        .await
        .map_err(error::WireError::Io)?;
    let frame = frames.next().await.ok_or(error::WireError::Closed)??;
    let hello = message::Hello::decode(frame).map_err(|_| error::WireError::NoHello)?;
    let peer = identity.check(hello)?;
    Ok((
        frames.map_codec(|_| envelope_codec::EnvelopeCodec::new()),
        peer,
    ))
}
