//! Calls over one connection that is made again when it breaks. Not for: choosing a peer.

use std::{collections, net, sync, time};

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::sync as tokio_sync;

use crate::{error, message, stream};

/// How many calls may wait to be written.
const CALL_QUEUE: usize = 1_024;

type ReplySender = tokio_sync::oneshot::Sender<Result<message::envelope::Body, error::CallError>>;

struct PendingCall {
    body: message::envelope::Body,
    reply: Option<ReplySender>,
}

/// Sends calls to one address and matches the replies; cheap to clone.
///
/// The connection is opened by the first call and again after it broke.
#[derive(Clone, Debug)]
pub struct CallClient {
    address: net::SocketAddr,
    queue: tokio_sync::mpsc::Sender<PendingCall>,
}

impl CallClient {
    /// Makes a client for one peer; must be called inside a tokio runtime.
    pub fn new(address: net::SocketAddr, identity: stream::WireIdentity) -> Self {
        let (queue, calls) = tokio_sync::mpsc::channel(CALL_QUEUE);
        tokio::spawn(run_client(address, identity, calls));
        Self { address, queue }
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Sends a call and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`](error::CallError::NotSent) is certain; [`CallError::Unknown`](error::CallError::Unknown) means the peer may have acted.
    pub async fn call(
        &self,
        body: message::envelope::Body,
        timeout: time::Duration,
    ) -> Result<message::envelope::Body, error::CallError> {
        let (reply, receiver) = tokio_sync::oneshot::channel();
        self.queue
            .try_send(PendingCall {
                body,
                reply: Some(reply),
            })
            .map_err(|_| error::CallError::NotSent("call queue is full".to_owned()))?;
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(Ok(message::envelope::Body::Error(error)))) => {
                Err(error::CallError::Refused(error))
            }
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(error::CallError::Unknown("client stopped".to_owned())),
            Err(_) => Err(error::CallError::Unknown(format!(
                "no reply within {timeout:?}"
            ))),
        }
    }

    /// Sends a message without waiting for a reply; drops it when the queue is full.
    pub fn send_one_way(&self, body: message::envelope::Body) {
        // A lost one-way message is repeated by the protocol above.
        let _ = self.queue.try_send(PendingCall { body, reply: None });
    }
}

async fn run_client(
    address: net::SocketAddr,
    identity: stream::WireIdentity,
    mut calls: tokio_sync::mpsc::Receiver<PendingCall>,
) {
    while let Some(first) = calls.recv().await {
        match stream::connect(address, &identity).await {
            Ok((connection, _)) => drive(connection, first, &mut calls).await,
            Err(error) => {
                refuse(first, &error);
                // Calls that waited for this attempt fail with it, so that none goes stale.
                while let Ok(call) = calls.try_recv() {
                    refuse(call, &error);
                }
            }
        }
    }
}

fn refuse(call: PendingCall, error: &error::WireError) {
    if let Some(reply) = call.reply {
        let _ = reply.send(Err(error::CallError::NotSent(error.to_string())));
    }
}

/// Runs one connection until it breaks; calls without a reply then end as unknown.
async fn drive(
    connection: stream::WireStream,
    first: PendingCall,
    calls: &mut tokio_sync::mpsc::Receiver<PendingCall>,
) {
    let (mut sink, mut source) = connection.split();
    let waiting = sync::Arc::new(sync::Mutex::new(
        collections::HashMap::<u64, ReplySender>::new(),
    ));
    let mut number = 0;
    let mut next = Some(first);
    loop {
        if let Some(call) = next.take() {
            number += 1;
            if let Some(reply) = call.reply {
                lock(&waiting).insert(number, reply);
            }
            let envelope = message::Envelope {
                call: number,
                body: Some(call.body),
            };
            if sink.send(envelope).await.is_err() {
                break;
            }
        }
        tokio::select! {
            call = calls.recv() => match call {
                Some(call) => next = Some(call),
                None => break,
            },
            frame = source.next() => match frame {
                Some(Ok(envelope)) => deliver(&waiting, envelope),
                Some(Err(_)) | None => break,
            },
        }
    }
    for (_, reply) in lock(&waiting).drain() {
        let _ = reply.send(Err(error::CallError::Unknown(
            "connection broke".to_owned(),
        )));
    }
}

fn deliver(
    waiting: &sync::Mutex<collections::HashMap<u64, ReplySender>>,
    envelope: message::Envelope,
) {
    if let Some(reply) = lock(waiting).remove(&envelope.call) {
        let _ = reply.send(envelope.body.ok_or(error::CallError::Unexpected));
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
