//! Exchanges reports between this node and the leader. Not for: answering entries.

use std::{sync, time};

use usher_wire::message::{self, envelope};

use crate::{fleet, grant, plan};

/// Timeout of a call to the leader; a confirmation is valid for only 1 s.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Dependencies of the relay task.
pub(crate) struct RelayContext<C> {
    pub(crate) identity: message::NodeIdentity,
    pub(crate) access: fleet::FleetAccess,
    pub(crate) clients: sync::Arc<fleet::PeerClients>,
    pub(crate) router: sync::Arc<fleet::CommandRouter<C>>,
    pub(crate) service: sync::Arc<grant::SyncService<C>>,
    pub(crate) leader_state: sync::Arc<sync::Mutex<grant::LeaderState>>,
    pub(crate) clock: C,
}

/// Runs the relay until the task is aborted.
pub(crate) async fn run_relay<C>(context: RelayContext<C>)
where
    C: usher_types::ClockSource,
{
    let mut ticks = tokio::time::interval(plan::RELAY_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        relay_once(&context).await;
    }
}

async fn relay_once<C>(context: &RelayContext<C>)
where
    C: usher_types::ClockSource,
{
    let status = context.access.status();
    let leads = status.role == usher_replica::ReplicaRole::Leader;
    let Some((leader, address)) = status.leader else {
        return;
    };
    let sent = context.clock.now();
    let request = make_request(context, (leader, status.term), sent);
    let reply = if leads {
        let (leader_state, access) = (&context.leader_state, &context.access);
        grant::answer_relay(
            leader_state,
            access,
            &context.router,
            &context.clock,
            request,
        )
        .await
    } else {
        let client = context.clients.find(address);
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
        let regions = context.service.regions();
        let now = context.clock.now();
        context
            .service
            .served()
            .apply_reply(reply, &regions, sent, now);
    }
}

fn make_request<C>(
    context: &RelayContext<C>,
    leader: (usher_types::NodeName, usher_types::TermNumber),
    now: time::Instant,
) -> message::RelayRequest
where
    C: usher_types::ClockSource,
{
    context.access.view(|state| {
        let mut served = context.service.served();
        served.remove_registered(state.targets());
        if served.leader.as_ref() != Some(&leader) {
            // Sequence numbers of load reports are only valid for one leader in one term.
            served.loads_seen = 0;
            served.leader = Some(leader);
        }
        served.next_request(context.identity.clone(), now)
    })
}
