//! Applies updates of the registrars: targets, offered routes and control nodes. Not for: calls,
//! nor fetching the routes.

use std::{collections, net, sync};

use tokio::sync::mpsc;
use usher_place::TargetDistance;

use crate::{core, dialect, route_follower};

/// Applies updates until the task is aborted; new seeds come from changed settings.
pub(crate) async fn run<D, C>(
    core: sync::Arc<core::GatewayCore<D, C>>,
    mut group: usher_watch::WatchGroup,
    mut updates: mpsc::Receiver<usher_watch::WatchUpdate>,
    mut seeds: mpsc::Receiver<Vec<net::SocketAddr>>,
    offers: route_follower::RouteOffers,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let mut reachable = collections::BTreeMap::new();
    loop {
        tokio::select! {
            Some(update) = updates.recv() => {
                update_nearest(&core, &mut reachable, &update);
                apply_update(&core, &mut group, &offers, update);
            }
            Some(seeds) = seeds.recv() => group.set_seeds(seeds),
            else => return,
        }
    }
}

/// Keeps the client of the nearest registrar that answers.
fn update_nearest<D, C>(
    core: &core::GatewayCore<D, C>,
    reachable: &mut ReachableRegistrars,
    update: &usher_watch::WatchUpdate,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    reachable.retain(|(_, address), _| *address != update.address);
    if let Some(reply) = &update.reply {
        let domain = usher_types::DomainName::new(reply.domain.as_str());
        let distance = core.options.map.between(&core.options.domain, &domain);
        reachable.insert((distance, update.address), update.client.clone());
    }
    let nearest_registrar = reachable.values().next().cloned();
    *core
        .nearest_registrar
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner) = nearest_registrar;
}

/// Clients of the registrars whose last request succeeded, the nearest first.
type ReachableRegistrars =
    collections::BTreeMap<(TargetDistance, net::SocketAddr), usher_wire::CallClient>;

fn apply_update<D, C>(
    core: &sync::Arc<core::GatewayCore<D, C>>,
    group: &mut usher_watch::WatchGroup,
    offers: &route_follower::RouteOffers,
    update: usher_watch::WatchUpdate,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let Some(reply) = update.reply else {
        offers.withdraw(update.address);
        core.set_role_changes(update.address, None);
        return;
    };
    group.set_members(reply.members_index, &reply.members);
    core.retain_role_changes(|registrar| group.addresses().any(|known| known == registrar));
    let mut entries = Vec::with_capacity(reply.targets.len());
    let wall = core.clock.wall();
    for beat in &reply.targets {
        match usher_roster::TargetEntry::from_message(beat, wall) {
            Ok(entry) => entries.push(entry),
            Err(error) => tracing::warn!(%error, from = %update.address, "target record refused"),
        }
    }
    if !entries.is_empty() {
        core.merge_targets(entries);
    }
    if let Some(changes) = &reply.role_changes {
        let engines = changes.engines.iter();
        let engines = engines.map(|name| usher_types::TargetName::new(name.as_str()));
        core.set_role_changes(update.address, Some(engines.collect()));
    }
    let domain = usher_types::DomainName::new(reply.domain);
    let distance = core.options.map.between(&core.options.domain, &domain);
    core.metrics.set_offered_version(reply.routes_version);
    offers.offer(
        update.client,
        reply.routes_version,
        distance,
        core.clock.now(),
    );
}
