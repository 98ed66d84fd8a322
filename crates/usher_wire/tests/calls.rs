//! Calls over real connections: replies reach their call, and lost replies are distinguished from
//! requests that were never sent.

use std::{net, sync, time};

use tokio::net as tokio_net;
use usher_types::{IncarnationId, NodeName};
use usher_wire::{message, CallClient, CallError, CallHandler, WireError, WireIdentity};

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

fn identity(cluster: &str, node: &str) -> WireIdentity {
    WireIdentity {
        cluster: cluster.to_owned(),
        node: NodeName::new(node),
        incarnation: IncarnationId::new(1),
    }
}

fn request(sequence: u64) -> message::envelope::Body {
    message::envelope::Body::SyncRequest(message::SyncRequest {
        sequence,
        ..Default::default()
    })
}

/// Replies to a heartbeat with its sequence number; delays odd ones, so that replies are reordered.
struct EchoHandler;

impl CallHandler for EchoHandler {
    async fn handle(
        &self,
        _peer: &WireIdentity,
        body: message::envelope::Body,
    ) -> Option<message::envelope::Body> {
        let message::envelope::Body::SyncRequest(request) = body else {
            return None;
        };
        if request.sequence % 2 == 1 {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        Some(message::envelope::Body::SyncReply(message::SyncReply {
            sequence: request.sequence,
            ..Default::default()
        }))
    }
}

async fn start_server(cluster: &str) -> net::SocketAddr {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = sync::Arc::new(EchoHandler);
    let identity = identity(cluster, "server");
    tokio::spawn(usher_wire::serve(
        listener,
        identity,
        handler,
        std::future::pending(),
    ));
    address
}

/// Guards against replies that reach the wrong call when they arrive out of order.
#[tokio::test]
async fn replies_match_their_calls_out_of_order() {
    let address = start_server("one").await;
    let client = CallClient::new(address, identity("one", "client"));
    let mut tasks = tokio::task::JoinSet::new();
    for sequence in 0..100 {
        let client = client.clone();
        tasks.spawn(async move { (sequence, client.call(request(sequence), TIMEOUT).await) });
    }
    while let Some(result) = tasks.join_next().await {
        let (sequence, reply) = result.unwrap();
        let message::envelope::Body::SyncReply(reply) = reply.unwrap() else {
            panic!("reply of another kind");
        };
        assert_eq!(reply.sequence, sequence);
    }
}

/// Guards against reporting a request as possibly sent when the connection was refused.
#[tokio::test]
async fn refused_connection_is_not_sent() {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = CallClient::new(address, identity("one", "client"));
    let error = client.call(request(1), TIMEOUT).await.unwrap_err();
    assert!(matches!(error, CallError::NotSent(_)), "{error}");
}

/// Guards against reporting "not sent" when the peer closed the connection after reading the
/// request.
#[tokio::test]
async fn closed_connection_after_the_request_is_unknown() {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        use futures_util::StreamExt as _;
        let (socket, _) = listener.accept().await.unwrap();
        let (mut stream, _) = usher_wire::accept(socket, &identity("one", "server"))
            .await
            .unwrap();
        let _ = stream.next().await;
    });
    let client = CallClient::new(address, identity("one", "client"));
    let error = client.call(request(1), TIMEOUT).await.unwrap_err();
    assert!(matches!(error, CallError::Unknown(_)), "{error}");
}

/// Guards against bytes that arrive after the caller abandoned the call: the peer must see a reset
/// immediately, and a partitioned connection must break within 2 s.
#[tokio::test]
async fn caller_closes_with_a_reset() {
    use futures_util::StreamExt as _;
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = tokio::spawn(async move {
        let (socket, _) = listener.accept().await.unwrap();
        let (stream, _) = usher_wire::accept(socket, &identity("one", "server"))
            .await
            .unwrap();
        stream.into_future().await.0
    });
    let (stream, _) = usher_wire::connect(address, &identity("one", "client"))
        .await
        .unwrap();
    let limit = socket2::SockRef::from(stream.get_ref()).tcp_user_timeout();
    assert_eq!(limit.unwrap(), Some(usher_wire::TCP_USER_TIMEOUT));
    drop(stream);
    let seen = peer.await.unwrap();
    let Some(Err(WireError::Io(error))) = seen else {
        panic!("closed without a reset: {seen:?}");
    };
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Guards against two clusters on one network that exchange messages by mistake.
#[tokio::test]
async fn peer_of_another_cluster_is_refused() {
    let address = start_server("one").await;
    let error = usher_wire::connect(address, &identity("two", "client"))
        .await
        .unwrap_err();
    assert!(matches!(error, WireError::Cluster { .. }), "{error}");
}

/// Guards against a caller that waits 1 s until the kernel retransmits a dropped SYN. A peer that
/// starts at the same time, as after a power loss, may drop the first SYN.
#[tokio::test]
async fn peer_that_comes_up_late_is_reached_soon() {
    let socket = tokio_net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    // Connections that are not accepted fill the backlog, so that further SYN packets are dropped.
    let mut waiting = Vec::new();
    loop {
        let dial = tokio_net::TcpStream::connect(address);
        match tokio::time::timeout(time::Duration::from_millis(100), dial).await {
            Ok(socket) => waiting.push(socket.unwrap()),
            Err(_) => break,
        }
    }
    let started = time::Instant::now();
    let caller = tokio::spawn(async move {
        let connected = usher_wire::connect(address, &identity("one", "client")).await;
        connected.map(|_| started.elapsed())
    });
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    drop(waiting);
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let accepted = usher_wire::accept(socket, &identity("one", "server")).await;
                tokio::time::sleep(TIMEOUT).await;
                drop(accepted);
            });
        }
    });
    let took = caller.await.unwrap().unwrap();
    assert!(took < time::Duration::from_millis(800), "{took:?}");
}
