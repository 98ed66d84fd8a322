//! Pool with one connection to each other control node. Not for: choosing a node.

use std::{collections, net, sync};

/// One client per address; the clients reconnect automatically.
#[derive(Debug)]
pub(crate) struct PeerClients {
    identity: usher_wire::WireIdentity,
    clients: sync::Mutex<collections::HashMap<net::SocketAddr, usher_wire::CallClient>>,
}

impl PeerClients {
    pub(crate) fn new(identity: usher_wire::WireIdentity) -> Self {
        Self {
            identity,
            clients: sync::Mutex::default(),
        }
    }

    /// Returns the client for an address, and creates it if there is none.
    pub(crate) fn find(&self, address: net::SocketAddr) -> usher_wire::CallClient {
        let mut clients = self
            .clients
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        clients
            .entry(address)
            .or_insert_with(|| usher_wire::CallClient::new(address, self.identity.clone()))
            .clone()
    }
}
