//! Handle through which services use a replica. Not for: running it.

use std::{sync, time};

use tokio::sync::{mpsc, oneshot, watch};
use usher_wire::message;

use crate::{command, error, shared_state, state_machine, status};

/// Maximum size of a command, in bytes; an append request with it must fit into a frame of 4 MiB.
const MAX_COMMAND_BYTES: usize = 3 * 1_024 * 1_024;

/// Proposes commands to a replica and reads its state; cheap to clone.
///
/// The replica stops when the last handle is dropped.
#[derive(Debug)]
pub struct ReplicaHandle<M> {
    pub(crate) shared: sync::Arc<shared_state::SharedState<M>>,
    pub(crate) commands: mpsc::Sender<command::ReplicaCommand>,
    pub(crate) messages: mpsc::Sender<message::ConsensusMessage>,
    pub(crate) identity: usher_consensus::NodeId,
}

impl<M> Clone for ReplicaHandle<M> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            commands: self.commands.clone(),
            messages: self.messages.clone(),
            identity: self.identity.clone(),
        }
    }
}

impl<M> ReplicaHandle<M>
where
    M: state_machine::StateMachine,
{
    /// Returns the identity of this node.
    pub fn identity(&self) -> &usher_consensus::NodeId {
        &self.identity
    }

    /// Proposes a command, waits until it is applied and returns its outcome.
    ///
    /// # Errors
    ///
    /// After [`ProposeError::Unknown`](error::ProposeError::Unknown) the command may still take
    /// effect; after every other error it never does.
    pub async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>, error::ProposeError> {
        if payload.len() > MAX_COMMAND_BYTES {
            return Err(error::ProposeError::TooLarge {
                bytes: payload.len(),
                limit: MAX_COMMAND_BYTES,
            });
        }
        let (reply, outcome) = oneshot::channel();
        self.commands
            .try_send(command::ReplicaCommand::Propose { payload, reply })
            .map_err(|error| match error {
                mpsc::error::TrySendError::Full(_) => error::ProposeError::Busy,
                mpsc::error::TrySendError::Closed(_) => error::ProposeError::Stopped,
            })?;
        outcome
            .await
            .unwrap_or_else(|_| Err(error::ProposeError::Unknown("replica stopped".to_owned())))
    }

    /// Waits until the local state includes all commands that were committed before this call, so
    /// that a following [`view`](Self::view) is linearizable.
    ///
    /// # Errors
    ///
    /// Fails when this node is not the leader, or no quorum confirms its leadership.
    pub async fn read(&self) -> Result<(), error::ReadError> {
        let (reply, ready) = oneshot::channel();
        self.commands
            .send(command::ReplicaCommand::Read { reply })
            .await
            .map_err(|_| error::ReadError::Stopped)?;
        ready.await.unwrap_or(Err(error::ReadError::Stopped))
    }

    /// Reads the local state, which may be stale unless [`read`](Self::read) was called before.
    pub fn view<R, V>(&self, view: V) -> R
    where
        V: FnOnce(&M) -> R,
    {
        view(&self.shared.read_state().machine)
    }

    /// Returns the status of this node and its view of the group.
    pub fn status(&self) -> status::ReplicaStatus {
        self.shared.read_status().clone()
    }

    /// Returns a watch channel with the applied index.
    pub fn watch_applied(&self) -> watch::Receiver<usher_types::LogIndex> {
        self.shared.applied.subscribe()
    }

    /// Makes a single-server membership change and waits until it is committed.
    ///
    /// # Errors
    ///
    /// Fails when the change is rejected, see [`ChangeError`](usher_consensus::ChangeError), when
    /// its outcome is unknown, or when the replica has stopped.
    pub async fn change_members(
        &self,
        change: usher_consensus::MembershipChange,
    ) -> Result<(), error::ChangeMembersError> {
        let (reply, done) = oneshot::channel();
        self.commands
            .send(command::ReplicaCommand::ChangeMembers { change, reply })
            .await
            .map_err(|_| error::ChangeMembersError::Stopped)?;
        done.await
            .unwrap_or(Err(error::ChangeMembersError::Unknown))
    }

    /// Returns whether this node holds the leader lease, so that no other node can be the leader
    /// of a later term at this time.
    pub fn holds_lease(&self, now: time::Instant) -> bool {
        let status = self.shared.read_status();
        status.role == status::ReplicaRole::Leader
            && status.lease_until.is_some_and(|expiry| now < expiry)
    }

    /// Queues a message from a peer; drops it when the queue is full, as a network may.
    pub fn receive(&self, message: message::ConsensusMessage) {
        // The consensus protocol retransmits lost messages.
        let _ = self.messages.try_send(message);
    }

    /// Replaces the configured peers, to which this node announces itself while it has no leader;
    /// used after a change of the settings.
    pub async fn set_peers(&self, peers: Vec<(usher_types::NodeName, std::net::SocketAddr)>) {
        // A replica that has stopped does not announce itself.
        let _ = self
            .commands
            .send(command::ReplicaCommand::SetPeers(peers))
            .await;
    }

    /// Stops the replica and waits until its storage is closed.
    pub async fn stop(&self) {
        let _ = self.commands.send(command::ReplicaCommand::Stop).await;
        self.stopped().await;
    }

    /// Waits until the replica has stopped; returns the reason if it failed.
    ///
    /// After a failure the daemon must exit with an error, because the node must not vote without
    /// its storage.
    pub async fn stopped(&self) -> Option<String> {
        let mut stopped = self.shared.stopped.subscribe();
        let reason = stopped.wait_for(Option::is_some).await;
        reason
            .ok()
            .and_then(|reason| reason.clone())
            .filter(|reason| !reason.is_empty())
    }
}
