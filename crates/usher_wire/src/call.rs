//! Calls over one connection that is reopened after it breaks. Not for: choosing a peer.

use std::{collections, net, sync, time};

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::sync as tokio_sync;

use crate::{error, message, stream};

/// Capacity of the queue of calls that are waiting to be written.
const CALL_QUEUE: usize = 1_024;

type ReplySender = tokio_sync::oneshot::Sender<Result<message::envelope::Body, error::CallError>>;

/// A call in the queue; without `reply` it is a one-way message.
struct PendingCall {
    body: message::envelope::Body,
    reply: Option<ReplySender>,
}

/// Sends calls to one address and matches the replies; cheap to clone.
///
/// The first call opens the connection; the first call after the connection broke reopens it.
#[derive(Clone, Debug)]
pub struct CallClient {
    address: net::SocketAddr,
    queue: tokio_sync::mpsc::Sender<PendingCall>,
}

impl CallClient {
    /// Creates a client for one peer; must be called inside a tokio runtime.
    pub fn new(address: net::SocketAddr, identity: stream::WireIdentity) -> Self {
        let (queue, calls) = tokio_sync::mpsc::channel(CALL_QUEUE);
        tokio::spawn(run_calls(address, identity, calls));
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
    /// After [`CallError::NotSent`](error::CallError::NotSent) the peer has certainly not handled
    /// the call; after [`CallError::Unknown`](error::CallError::Unknown) it may have.
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
            .map_err(|_| {
                error::CallError::NotSent(format!("call queue is full ({CALL_QUEUE} calls)"))
            })?;
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
        // The protocol on top retransmits lost one-way messages.
        let _ = self.queue.try_send(PendingCall { body, reply: None });
    }
}

async fn run_calls(
    address: net::SocketAddr,
    identity: stream::WireIdentity,
    mut calls: tokio_sync::mpsc::Receiver<PendingCall>,
) {
    while let Some(first) = calls.recv().await {
        match stream::connect(address, &identity).await {
            Ok((connection, _)) => run_connection(connection, first, &mut calls).await,
            Err(error) => {
                fail_call(first, &error);
                // Calls queued during this attempt fail with it, so that none becomes stale.
                while let Ok(call) = calls.try_recv() {
                    fail_call(call, &error);
                }
            }
        }
    }
}

fn fail_call(call: PendingCall, error: &error::WireError) {
    if let Some(reply) = call.reply {
        let _ = reply.send(Err(error::CallError::NotSent(error.to_string())));
    }
}

/// Runs one connection until it breaks; calls without a reply then fail with an unknown outcome.
async fn run_connection(
    connection: stream::WireStream,
    first: PendingCall,
    calls: &mut tokio_sync::mpsc::Receiver<PendingCall>,
) {
    let (mut sink, mut source) = connection.split();
    let pending = sync::Arc::new(sync::Mutex::new(
        collections::HashMap::<u64, ReplySender>::new(),
    ));
    let mut call_number = 0;
    let mut next = Some(first);
    loop {
        if let Some(call) = next.take() {
            call_number += 1;
            if let Some(reply) = call.reply {
                lock(&pending).insert(call_number, reply);
            }
            let envelope = message::Envelope {
                call: call_number,
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
                Some(Ok(envelope)) => complete_call(&pending, envelope),
                Some(Err(_)) | None => break,
            },
        }
    }
    for (_, reply) in lock(&pending).drain() {
        let _ = reply.send(Err(error::CallError::Unknown(
            "connection broke".to_owned(),
        )));
    }
}

fn complete_call(
    pending: &sync::Mutex<collections::HashMap<u64, ReplySender>>,
    envelope: message::Envelope,
) {
    let reply = lock(pending).remove(&envelope.call);
    if let Some(reply) = reply {
        let _ = reply.send(envelope.body.ok_or(error::CallError::Unexpected));
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
