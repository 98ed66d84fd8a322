//! Typed access to this node's replica of the fleet state. Not for: routing commands.

use std::{fmt, time};

use prost::Message as _;
use usher_replica::{ProposeError, ReadError};
use usher_wire::message;

/// Handle of this node's replica, which encodes commands and decodes outcomes; cheap to clone.
#[derive(Clone)]
pub(crate) struct FleetAccess {
    replica: usher_replica::ReplicaHandle<usher_state::FleetState>,
}

impl FleetAccess {
    pub(crate) fn new(replica: usher_replica::ReplicaHandle<usher_state::FleetState>) -> Self {
        Self { replica }
    }

    /// Proposes a command on this node.
    pub(crate) async fn propose(
        &self,
        command: &message::StateCommand,
    ) -> Result<message::StateOutcome, ProposeError> {
        let outcome = self.replica.propose(command.encode_to_vec()).await?;
        message::StateOutcome::decode(outcome.as_slice())
            .map_err(|error| ProposeError::Unknown(error.to_string()))
    }

    /// Reads the state with all accepted changes; succeeds only on the leader.
    pub(crate) async fn read<T, F>(&self, inspect: F) -> Result<T, ReadError>
    where
        F: FnOnce(&usher_state::FleetState) -> T,
    {
        self.replica.read().await?;
        Ok(self.replica.view(inspect))
    }

    /// Reads the state that this node has applied so far.
    pub(crate) fn view<T>(&self, inspect: impl FnOnce(&usher_state::FleetState) -> T) -> T {
        self.replica.view(inspect)
    }

    pub(crate) fn status(&self) -> usher_replica::ReplicaStatus {
        self.replica.status()
    }

    /// Returns the name of this node.
    pub(crate) fn name(&self) -> usher_types::NodeName {
        self.replica.identity().name.clone()
    }

    /// Returns a receiver of the applied index.
    pub(crate) fn watch_applied(&self) -> tokio::sync::watch::Receiver<usher_types::LogIndex> {
        self.replica.watch_applied()
    }

    /// Returns the index of the membership and the wire addresses of the members; the addresses are
    /// omitted if `known_index` is current.
    pub(crate) fn member_addresses(&self, known_index: u64) -> (u64, Vec<String>) {
        let status = self.replica.status();
        if status.members_index == known_index {
            return (known_index, Vec::new());
        }
        let members = status.membership.members.iter();
        (
            status.members_index,
            members.map(|member| member.address.clone()).collect(),
        )
    }

    /// Returns whether this node leads in `term` and its lease is valid at `now`.
    pub(crate) fn holds_lease(&self, term: usher_types::TermNumber, now: time::Instant) -> bool {
        self.replica.status().term == term && self.replica.holds_lease(now)
    }

    /// Returns whether this node considers itself the leader, which may be out of date.
    pub(crate) fn leads(&self) -> bool {
        self.status().role == usher_replica::ReplicaRole::Leader
    }

    pub(crate) fn receive(&self, message: message::ConsensusMessage) {
        self.replica.receive(message);
    }
}

impl fmt::Debug for FleetAccess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetAccess")
    }
}
