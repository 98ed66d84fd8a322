//! Commands from handles to the driver. Not for: messages from peers.

use tokio::sync::oneshot;

use crate::error;

pub(crate) type ProposeReply = oneshot::Sender<Result<Vec<u8>, error::ProposeError>>;
pub(crate) type ReadReply = oneshot::Sender<Result<(), error::ReadError>>;
pub(crate) type ChangeReply = oneshot::Sender<Result<(), error::ChangeMembersError>>;

#[derive(Debug)]
pub(crate) enum ReplicaCommand {
    Propose {
        payload: Vec<u8>,
        reply: ProposeReply,
    },
    Read {
        reply: ReadReply,
    },
    ChangeMembers {
        change: usher_consensus::MembershipChange,
        reply: ChangeReply,
    },
    /// Replaces the configured peers to which this node announces itself.
    SetPeers(Vec<(usher_types::NodeName, std::net::SocketAddr)>),
    Stop,
}
