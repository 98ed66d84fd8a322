//! Connections and the exchange of hellos. Not for: matching replies to calls.

use std::{net, time};

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::net as tokio_net;
use tokio_util::codec;

use crate::{codec as envelope_codec, error, message};

/// Version of the protocol between the system's own processes.
pub const PROTOCOL_VERSION: u32 = 1;

/// Time limit for connecting and exchanging hellos.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time without a reply to the SYN after which the connection is attempted again from a new socket;
/// five round trips between regions. The kernel retransmits a SYN only after 1 s, which is too late
/// when a process starts together with its peers, as after a power loss, and some are not up yet.
const CONNECT_ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time that sent bytes may remain unacknowledged by the peer's kernel before the connection
/// breaks. It limits how late bytes in flight can still arrive, and how long a silent network
/// partition goes undetected.
pub const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum length of a hello, in bytes; an unknown peer cannot make this side allocate more.
const MAX_HELLO_BYTES: usize = 1_024;

/// A connection that carries envelopes, after the exchange of hellos.
pub type WireStream = codec::Framed<tokio_net::TcpStream, envelope_codec::EnvelopeCodec>;

/// Identity that a side of a connection announces in its hello.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireIdentity {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the node.
    pub node: usher_types::NodeName,
    /// Incarnation of the node.
    pub incarnation: usher_types::IncarnationId,
}

impl WireIdentity {
    fn hello(&self) -> message::Hello {
        message::Hello {
            protocol: PROTOCOL_VERSION,
            cluster: self.cluster.clone(),
            node: self.node.to_string(),
            incarnation: self.incarnation.get(),
            takes_deltas: true,
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
/// Fails when the peer cannot be reached within 2 s, belongs to another cluster, or uses another
/// protocol version.
pub async fn connect(
    address: net::SocketAddr,
    identity: &WireIdentity,
) -> Result<(WireStream, WireIdentity), error::WireError> {
    let connecting = async {
        let socket = connect_with_retry(address).await?;
        // The calling side closes with a reset, so that abandoned requests do not arrive later.
        socket2::SockRef::from(&socket).set_linger(Some(time::Duration::ZERO))?;
        exchange_hellos(socket, identity).await
    };
    tokio::time::timeout(HELLO_TIMEOUT, connecting)
        .await
        .map_err(|_| error::WireError::Timeout)?
}

/// Connects to a peer, retrying while it does not respond.
async fn connect_with_retry(address: net::SocketAddr) -> std::io::Result<tokio_net::TcpStream> {
    loop {
        let socket = tokio_net::TcpStream::connect(address);
        if let Ok(ended) = tokio::time::timeout(CONNECT_ATTEMPT_TIMEOUT, socket).await {
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
    tokio::time::timeout(HELLO_TIMEOUT, exchange_hellos(socket, identity))
        .await
        .map_err(|_| error::WireError::Timeout)?
}

fn hello_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_HELLO_BYTES)
        .new_codec()
}

async fn exchange_hellos(
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
    let sends_deltas = hello.takes_deltas;
    let peer = identity.check(hello)?;
    let codec = envelope_codec::EnvelopeCodec::new().with_deltas(sends_deltas);
    Ok((frames.map_codec(|_| codec), peer))
}
