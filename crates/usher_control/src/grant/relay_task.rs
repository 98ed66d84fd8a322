//! Relays between this node and the leader. Not for: answering entries.

use std::{sync, time};

use usher_wire::message::{self, envelope};

use crate::{fleet, grant, plan};

/// How long the leader may take to answer; a confirmation is of use for 1 s only.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// What the relay of a node works with.
pub(crate) struct RelayParts<C> {
    pub(crate) identity: message::NodeIdentity,
    pub(crate) access: fleet::FleetAccess,
    pub(crate) clients: sync::Arc<fleet::PeerClients>,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) service: sync::Arc<grant::SyncService<C>>,
    pub(crate) desk: sync::Arc<sync::Mutex<grant::LeaderDesk>>,
    pub(crate) clock: C,
}

/// Relays until the task is aborted.
pub(crate) async fn run_relay<C>(parts: RelayParts<C>)
where
    C: usher_types::ClockSource,
{
    let mut ticks = tokio::time::interval(plan::RELAY_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        relay_once(&parts).await;
    }
}

async fn relay_once<C>(parts: &RelayParts<C>)
where
    C: usher_types::ClockSource,
{
    let status = parts.access.status();
    let leads = status.role == usher_replica::ReplicaRole::Leader;
    let Some((leader, address)) = status.leader else {
        return;
    };
    let sent = parts.clock.now();
    let request = make_request(parts, (leader, status.term), sent);
    let reply = if leads {
        let (desk, access) = (&parts.desk, &parts.access);
        grant::answer_relay(desk, access, &parts.router, &parts.clock, request).await
    } else {
        let client = parts.clients.find(address);
        let body = envelope::Body::RelayRequest(request);
        match client.call(body, CALL_TIMEOUT).await {
            Ok(envelope::Body::RelayReply(reply)) => Some(reply),
            Ok(_) => None,
            Err(error) => {
                tracing::debug!(%error, "relay to the leader failed");
                None
            }
        }
    };
    if let Some(reply) = reply {
        let regions = parts.service.regions();
        let now = parts.clock.now();
        parts.service.served().answer(reply, &regions, sent, now);
    }
}

fn make_request<C>(
    parts: &RelayParts<C>,
    leader: (usher_types::NodeName, usher_types::TermNumber),
    now: time::Instant,
) -> message::RelayRequest
where
    C: usher_types::ClockSource,
{
    parts.access.view(|state| {
        let mut served = parts.service.served();
        served.settle(state.targets());
        if served.leader.as_ref() != Some(&leader) {
            // The numbers of loads are the leader's own.
            served.loads_seen = 0;
            served.leader = Some(leader);
        }
        served.request(parts.identity.clone(), now)
    })
}
