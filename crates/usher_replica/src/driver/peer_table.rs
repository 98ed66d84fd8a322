//! Sending of messages to peers. Not for: receiving them.

use std::{collections, net};

use usher_wire::{message, CallClient, WireIdentity};

/// Maximum number of addresses remembered from received messages.
const MAX_REPORTED_ADDRESSES: usize = 64;

/// Addresses of peers and one connection per address, opened on first use.
#[derive(Debug)]
pub(crate) struct PeerTable {
    identity: WireIdentity,
    /// Address at which peers reach this node.
    own_address: net::SocketAddr,
    configured: Vec<(usher_types::NodeName, net::SocketAddr)>,
    /// Addresses that senders reported, for nodes that are in neither the settings nor the
    /// membership.
    reported: collections::HashMap<usher_types::NodeName, net::SocketAddr>,
    clients: collections::HashMap<net::SocketAddr, CallClient>,
}

impl PeerTable {
    pub(crate) fn new(
        identity: WireIdentity,
        own_address: net::SocketAddr,
        configured: Vec<(usher_types::NodeName, net::SocketAddr)>,
    ) -> Self {
        let configured = configured
            .into_iter()
            .filter(|(name, _)| *name != identity.node)
            .collect();
        Self {
            identity,
            own_address,
            configured,
            reported: collections::HashMap::new(),
            clients: collections::HashMap::new(),
        }
    }

    /// Replaces the peers from the settings; a bootstrap still uses those from the start.
    pub(crate) fn set_configured(
        &mut self,
        configured: Vec<(usher_types::NodeName, net::SocketAddr)>,
    ) {
        let own = &self.identity.node;
        self.configured = configured
            .into_iter()
            .filter(|(name, _)| name != own)
            .collect();
    }

    /// Records the address that the sender of a message reports for itself.
    pub(crate) fn record_sender_address(&mut self, message: &message::ConsensusMessage) {
        let Ok(address) = message.from_address.parse() else {
            return;
        };
        if self.reported.len() >= MAX_REPORTED_ADDRESSES {
            self.reported.clear();
        }
        let from = usher_consensus::NodeId::from_message(message.from.as_ref());
        self.reported.insert(from.name, address);
    }

    /// Sends a message to the member it is addressed to.
    pub(crate) fn send(
        &mut self,
        members: &usher_consensus::MemberTable,
        mut message: message::ConsensusMessage,
    ) {
        let to = usher_consensus::NodeId::from_message(message.to.as_ref());
        // A voter has the addresses of the members in its log; a learner may not have them yet.
        if !members.is_voter(&to) {
            message.from_address = self.own_address.to_string();
        }
        let address = members
            .get(&to)
            .and_then(|member| member.address.parse().ok())
            .or_else(|| self.address_of(&to.name));
        if let Some(address) = address {
            self.send_to(address, message);
        }
    }

    /// Sends a message to all nodes from the settings and to the last known members, because the
    /// nodes from the settings may have been replaced.
    pub(crate) fn broadcast(
        &mut self,
        members: &usher_consensus::MemberTable,
        message: &message::ConsensusMessage,
    ) {
        let own = &self.identity.node;
        let current = members
            .iter()
            .filter(|(node, _)| node.name != *own)
            .filter_map(|(_, member)| member.address.parse().ok());
        let configured = self.configured.iter().map(|(_, address)| *address);
        let addresses: collections::BTreeSet<net::SocketAddr> = configured.chain(current).collect();
        for address in addresses {
            self.send_to(address, message.clone());
        }
    }

    pub(crate) fn address_of(&self, name: &usher_types::NodeName) -> Option<net::SocketAddr> {
        let configured = self
            .configured
            .iter()
            .find(|(configured, _)| configured == name);
        configured
            .map(|(_, address)| *address)
            .or_else(|| self.reported.get(name).copied())
    }

    fn send_to(&mut self, address: net::SocketAddr, message: message::ConsensusMessage) {
        let identity = &self.identity;
        let client = self
            .clients
            .entry(address)
            .or_insert_with(|| CallClient::new(address, identity.clone()));
        client.send_one_way(message::envelope::Body::Consensus(message));
    }
}
