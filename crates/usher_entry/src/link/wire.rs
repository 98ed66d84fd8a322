//! The control connection over the wire protocol, with failover between control nodes.
//!
//! Not for: retrying requests whose result is unknown.

use std::{net, sync::atomic, time};

use usher_wire::{message, message::envelope, CallClient, CallError};

use crate::link;

/// Timeout of a heartbeat; one lost reply must not use up the routing right.
const SYNC_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Timeout of a commit; a new leader is elected within 3 s.
const COMMIT_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// A connection to one of several control nodes that fails over to the next one.
#[derive(Debug)]
pub struct WireLink {
    clients: Vec<CallClient>,
    // Index of the preferred client.
    current: atomic::AtomicUsize,
}

impl WireLink {
    /// Creates a link to control nodes, in order of preference; must be called inside a tokio
    /// runtime.
    pub fn new(addresses: &[net::SocketAddr], identity: &usher_wire::WireIdentity) -> Self {
        let clients = addresses.iter();
        let clients = clients.map(|address| CallClient::new(*address, identity.clone()));
        Self {
            clients: clients.collect(),
            current: atomic::AtomicUsize::new(0),
        }
    }

    fn current(&self) -> Option<(usize, &CallClient)> {
        let index = self.current.load(atomic::Ordering::SeqCst) % self.clients.len().max(1);
        self.clients.get(index).map(|client| (index, client))
    }

    fn switch_from(&self, index: usize) {
        let next = (index + 1) % self.clients.len().max(1);
        // Another request may have switched already.
        let _ = self.current.compare_exchange(
            index,
            next,
            atomic::Ordering::SeqCst,
            atomic::Ordering::SeqCst,
        );
    }

    /// Sends a request to the current node and, as long as none executed it, to the others in turn.
    async fn call(
        &self,
        body: envelope::Body,
        timeout: time::Duration,
    ) -> Result<envelope::Body, link::LinkError> {
        let mut last_error = "no control address is configured".to_owned();
        for _ in 0..self.clients.len() {
            let Some((index, client)) = self.current() else {
                break;
            };
            match client.call(body.clone(), timeout).await {
                Ok(reply) => return Ok(reply),
                Err(CallError::NotSent(error)) => {
                    tracing::debug!(
                        address = %client.address(), error,
                        "control node is unreachable"
                    );
                    self.switch_from(index);
                    last_error = error;
                }
                // A node that is stopping or has no leader didn't execute the request.
                Err(CallError::Refused(refusal)) if is_not_executed(&refusal) => {
                    self.switch_from(index);
                    last_error = refusal.message;
                }
                Err(CallError::Refused(refusal)) => return Err(to_link_error(refusal)),
                Err(error) => {
                    self.switch_from(index);
                    return Err(link::LinkError::Unknown(error.to_string()));
                }
            }
        }
        Err(link::LinkError::NotSent(last_error))
    }
}

fn is_not_executed(refusal: &message::ErrorReply) -> bool {
    matches!(
        refusal.kind(),
        message::ErrorKind::NotLeader | message::ErrorKind::NoQuorum | message::ErrorKind::Stopping
    )
}

fn to_link_error(refusal: message::ErrorReply) -> link::LinkError {
    match refusal.kind() {
        message::ErrorKind::BadRequest => link::LinkError::Refused(refusal.message),
        _ => link::LinkError::Unknown(refusal.message),
    }
}

fn unexpected() -> link::LinkError {
    link::LinkError::Unknown("control replied with an unexpected message type".to_owned())
}

impl link::ControlLink for WireLink {
    async fn sync(
        &self,
        request: message::SyncRequest,
    ) -> Result<message::SyncReply, link::LinkError> {
        let body = envelope::Body::SyncRequest(request);
        match self.call(body, SYNC_TIMEOUT).await? {
            envelope::Body::SyncReply(reply) => Ok(reply),
            _ => Err(unexpected()),
        }
    }

    async fn claim(
        &self,
        call: message::ClaimCall,
    ) -> Result<message::ClaimReply, link::LinkError> {
        let body = envelope::Body::ClaimRequest(message::ClaimRequest { call: Some(call) });
        match self.call(body, COMMIT_TIMEOUT).await? {
            envelope::Body::ClaimReply(reply) => Ok(reply),
            _ => Err(unexpected()),
        }
    }

    async fn finish(&self, finish: message::FinishClaim) -> Result<(), link::LinkError> {
        let finish = Some(finish);
        let body = envelope::Body::FinishRequest(message::FinishRequest { finish });
        match self.call(body, COMMIT_TIMEOUT).await? {
            envelope::Body::Ack(_) => Ok(()),
            _ => Err(unexpected()),
        }
    }

    fn fail_over(&self) {
        if let Some((index, _)) = self.current() {
            self.switch_from(index);
        }
    }
}
