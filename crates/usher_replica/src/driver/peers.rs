//! Sends messages to peers. Not for: receiving them.

use std::{collections, net};

use usher_wire::{message, CallClient, WireIdentity};

/// Most addresses that are remembered from senders.
const MAX_STATED: usize = 64;

/// One connection per peer, made when it is first needed.
#[derive(Debug)]
pub(crate) struct PeerTable {
    identity: WireIdentity,
    /// Where others reach this node.
    own_address: net::SocketAddr,
    known: Vec<(usher_types::NodeName, net::SocketAddr)>,
    /// Addresses that senders stated, of nodes that neither the settings nor the members name.
    stated: collections::HashMap<usher_types::NodeName, net::SocketAddr>,
    clients: collections::HashMap<net::SocketAddr, CallClient>,
}

impl PeerTable {
    pub(crate) fn new(
        identity: WireIdentity,
        own_address: net::SocketAddr,
        known: Vec<(usher_types::NodeName, net::SocketAddr)>,
    ) -> Self {
        let known = known
            .into_iter()
            .filter(|(name, _)| *name != identity.node)
            .collect();
        Self {
            identity,
            own_address,
            known,
            stated: collections::HashMap::new(),
            clients: collections::HashMap::new(),
        }
    }

    /// Replaces the nodes of the settings; the group is founded only with those of the start.
    pub(crate) fn set_known(&mut self, known: Vec<(usher_types::NodeName, net::SocketAddr)>) {
        let own = &self.identity.node;
        self.known = known.into_iter().filter(|(name, _)| name != own).collect();
    }

    /// Notes where the sender of a message says that it is reached.
    pub(crate) fn note_sender(&mut self, message: &message::ConsensusMessage) {
        let Ok(address) = message.from_address.parse() else {
            return;
        };
        if self.stated.len() >= MAX_STATED {
            self.stated.clear();
        }
        let from = usher_consensus::NodeId::from_message(message.from.as_ref());
        self.stated.insert(from.name, address);
    }

    /// Sends a message to the member it is addressed to.
    pub(crate) fn send(
        &mut self,
        members: &usher_consensus::MemberTable,
        mut message: message::ConsensusMessage,
    ) {
        let to = usher_consensus::NodeId::from_message(message.to.as_ref());
        // A voter has the members in its log; a learner may be about to get them.
        if !members.is_voter(&to) {
            message.from_address = self.own_address.to_string();
        }
        let address = members
            .get(&to)
            .and_then(|member| member.address.parse().ok())
            .or_else(|| self.address_of(&to.name));
        if let Some(address) = address {
            self.post(address, message);
        }
    }

    /// Sends a message to all nodes of the settings, and to the last known members: those of the
    /// settings may have been replaced since.
    pub(crate) fn announce(
        &mut self,
        members: &usher_consensus::MemberTable,
        message: &message::ConsensusMessage,
    ) {
        let own = &self.identity.node;
        let current = members
            .iter()
            .filter(|(node, _)| node.name != *own)
            .filter_map(|(_, member)| member.address.parse().ok());
        let known = self.known.iter().map(|(_, address)| *address);
        let addresses: collections::BTreeSet<net::SocketAddr> = known.chain(current).collect();
        for address in addresses {
            self.post(address, message.clone());
        }
    }

    pub(crate) fn address_of(&self, name: &usher_types::NodeName) -> Option<net::SocketAddr> {
        let known = self.known.iter().find(|(known, _)| known == name);
        known
            .map(|(_, address)| *address)
            .or_else(|| self.stated.get(name).copied())
    }

    fn post(&mut self, address: net::SocketAddr, message: message::ConsensusMessage) {
        let identity = &self.identity;
        let client = self
            .clients
            .entry(address)
            .or_insert_with(|| CallClient::new(address, identity.clone()));
        client.send_one_way(message::envelope::Body::Consensus(message));
    }
}
