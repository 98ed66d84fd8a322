//! Server that accepts connections and dispatches calls. Not for: the contents of replies.

use std::{future, sync};

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::{net, sync as tokio_sync};

use crate::{message, stream};

/// Capacity of the queue of replies that are waiting to be written on one connection.
const REPLY_QUEUE: usize = 256;

/// Handles calls from peers.
pub trait CallHandler: Send + Sync + 'static {
    /// Handles one message from a peer; `None` sends no reply.
    fn handle(
        &self,
        peer: &stream::WireIdentity,
        body: message::envelope::Body,
    ) -> impl future::Future<Output = Option<message::envelope::Body>> + Send;
}

/// Serves connections until `stop` resolves; each call runs as its own task.
pub async fn serve<H, S>(
    listener: net::TcpListener,
    identity: stream::WireIdentity,
    handler: sync::Arc<H>,
    stop: S,
) where
    H: CallHandler,
    S: future::Future<Output = ()>,
{
    let mut tasks = tokio::task::JoinSet::new();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    tasks.spawn(serve_socket(socket, identity.clone(), handler.clone()));
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    // Accepting again immediately would spin, for example when file handles are
                    // exhausted.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
    tasks.shutdown().await;
}

async fn serve_socket<H>(
    socket: net::TcpStream,
    identity: stream::WireIdentity,
    handler: sync::Arc<H>,
) where
    H: CallHandler,
{
    match stream::accept(socket, &identity).await {
        Ok((connection, peer)) => serve_stream(connection, peer, handler).await,
        Err(error) => tracing::debug!(%error, "rejected a connection"),
    }
}

async fn serve_stream<H>(
    connection: stream::WireStream,
    peer: stream::WireIdentity,
    handler: sync::Arc<H>,
) where
    H: CallHandler,
{
    let (mut sink, mut source) = connection.split();
    let (replies, mut outgoing) = tokio_sync::mpsc::channel::<message::Envelope>(REPLY_QUEUE);
    let peer = sync::Arc::new(peer);
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            frame = source.next() => match frame {
                Some(Ok(message::Envelope { call, body: Some(body) })) => {
                    let (handler, peer) = (handler.clone(), peer.clone());
                    let replies = replies.clone();
                    tasks.spawn(async move {
                        if let Some(body) = handler.handle(&peer, body).await {
                            let envelope = message::Envelope { call, body: Some(body) };
                            let _ = replies.send(envelope).await;
                        }
                    });
                }
                // A message without a known body comes from a peer with a newer version.
                Some(Ok(_)) => {}
                Some(Err(error)) => {
                    tracing::debug!(%error, node = %peer.node, "reading from a connection failed");
                    break;
                }
                None => break,
            },
            Some(envelope) = outgoing.recv() => {
                if sink.send(envelope).await.is_err() {
                    break;
                }
            }
            Some(_) = tasks.join_next() => {}
        }
    }
}
