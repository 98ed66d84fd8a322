//! Access to the replicated state from this node. Not for: interpreting the state.

mod command_router;
mod fleet_access;
mod peer_clients;

pub(crate) use command_router::CommandRouter;
pub(crate) use fleet_access::FleetAccess;
pub(crate) use peer_clients::PeerClients;
