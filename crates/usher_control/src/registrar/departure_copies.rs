//! Copies of the records of targets that have left, at other registrars. Not for: this registrar's
//! own file.

use std::{net, sync, time};

use futures_util::StreamExt as _;
use usher_wire::message::{self, envelope};

use crate::fleet;

/// Asks other registrars to store targets that have left; cheap to clone.
///
/// With one copy more than registrars may lose their disks at once, one that knows of the departure is
/// left to tell the others.
#[derive(Clone, Debug)]
pub(crate) struct DepartureCopies {
    access: fleet::FleetAccess,
    clients: sync::Arc<fleet::PeerClients>,
    own_address: net::SocketAddr,
    /// Number of other registrars that must have stored a departure.
    wanted: usize,
}

impl DepartureCopies {
    pub(crate) fn new(
        access: fleet::FleetAccess,
        clients: sync::Arc<fleet::PeerClients>,
        own_address: net::SocketAddr,
        wanted: usize,
    ) -> Self {
        Self {
            access,
            clients,
            own_address,
            wanted,
        }
    }

    /// Returns whether enough other registrars have stored a target within a time.
    pub(crate) async fn store(&self, target: message::TargetBeat, limit: time::Duration) -> bool {
        if self.wanted == 0 {
            return true;
        }
        let (_, members) = self.access.member_addresses(0);
        let others = members.iter().filter_map(|text| text.parse().ok());
        let others = others.filter(|address| *address != self.own_address);
        let calls = others.map(|address| {
            let client = self.clients.find(address);
            let targets = vec![target.clone()];
            let request = envelope::Body::StoreTargets(message::StoreTargets { targets });
            async move { client.call(request, limit).await }
        });
        let mut calls: futures_util::stream::FuturesUnordered<_> = calls.collect();
        let mut stored = 0;
        while let Some(reply) = calls.next().await {
            match reply {
                Ok(envelope::Body::Ack(_)) => stored += 1,
                Ok(_) => tracing::debug!("unexpected reply to a request to store a target"),
                Err(error) => tracing::debug!(%error, "a registrar has not stored a target"),
            }
            if stored >= self.wanted {
                return true;
            }
        }
        false
    }
}
