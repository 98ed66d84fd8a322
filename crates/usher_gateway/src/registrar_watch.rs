//! Applies updates of the registrars: targets, routes and control nodes. Not for: calls.

use std::{collections, net, sync, time};

use tokio::sync::mpsc;
use usher_place::TargetDistance;
use usher_wire::message::{self, envelope};

use crate::{core, dialect};

/// Maximum time for a registrar to send the routes.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Delay before the routes are fetched from a registrar of another failure domain, and between such
/// registrars: traffic between regions is billed by volume.
const FETCH_STAGGER: time::Duration = time::Duration::from_millis(250);

/// Applies updates until the task is aborted; new seeds come from changed settings.
pub(crate) async fn run<D, C>(
    core: sync::Arc<core::GatewayCore<D, C>>,
    mut group: usher_watch::WatchGroup,
    mut updates: mpsc::Receiver<usher_watch::WatchUpdate>,
    mut seeds: mpsc::Receiver<Vec<net::SocketAddr>>,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let mut requested = collections::HashMap::new();
    let mut reachable = collections::BTreeMap::new();
    loop {
        tokio::select! {
            Some(update) = updates.recv() => {
                update_nearest(&core, &mut reachable, &update);
                apply_update(&core, &mut group, &mut requested, update);
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
    requested: &mut collections::HashMap<net::SocketAddr, u64>,
    update: usher_watch::WatchUpdate,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let Some(reply) = update.reply else {
        requested.remove(&update.address);
        core.set_role_changes(update.address, None);
        return;
    };
    group.set_members(reply.members_index, &reply.members);
    core.retain_role_changes(|registrar| group.addresses().any(|known| known == registrar));
    let mut entries = Vec::with_capacity(reply.targets.len());
    for beat in &reply.targets {
        match usher_roster::TargetEntry::from_message(beat) {
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
    let offered = reply.routes_version;
    if offered <= core.routes_version() || requested.get(&update.address) == Some(&offered) {
        return;
    }
    requested.insert(update.address, offered);
    core.metrics.set_offered_version(offered);
    let domain = usher_types::DomainName::new(reply.domain);
    let distance = core.options.map.between(&core.options.domain, &domain);
    let is_first = core.routes_version() == 0;
    let delay = if is_first || distance == TargetDistance::SameDomain {
        time::Duration::ZERO
    } else {
        let rank = group.addresses().filter(|other| **other < update.address);
        FETCH_STAGGER * u32::try_from(1 + rank.count()).unwrap_or(1)
    };
    tracing::info!(
        version = offered,
        held = core.routes_version(),
        from = %update.address,
        delay_ms = delay.as_millis(),
        "newer routes offered"
    );
    let core = core.clone();
    let offered_at = tokio::time::Instant::now();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        if offered > core.routes_version() {
            fetch(&core, &update.client, offered_at).await;
        }
    });
}

/// Fetches the routes from a registrar and activates them.
async fn fetch<D, C>(
    core: &core::GatewayCore<D, C>,
    client: &usher_wire::CallClient,
    offered_at: tokio::time::Instant,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let started = tokio::time::Instant::now();
    let request = message::RoutesRequest { confirmed: false };
    let call = client.call(envelope::Body::RoutesRequest(request), FETCH_TIMEOUT);
    let reply = match call.await {
        Ok(envelope::Body::RoutesReply(reply)) => reply,
        Ok(_) => {
            tracing::warn!(from = %client.address(), "the reply is not a routes reply");
            return;
        }
        Err(error) => {
            core.metrics.routes_fetched("failed", 0);
            tracing::warn!(
                %error,
                from = %client.address(),
                held = core.routes_version(),
                fetch_ms = started.elapsed().as_millis(),
                offered_ms = offered_at.elapsed().as_millis(),
                "failed to fetch the routes"
            );
            return;
        }
    };
    let bytes = reply.document.len();
    core.metrics.routes_fetched("answered", bytes);
    let fetched = tokio::time::Instant::now();
    match core.dialect.read_routes(&reply.document) {
        Ok(sheet) => {
            let version = sheet.version;
            if core.update_routes(usher_route::RouteTable::new(sheet)) {
                tracing::info!(
                    %version,
                    from = %client.address(),
                    bytes,
                    fetch_ms = (fetched - started).as_millis(),
                    parse_ms = fetched.elapsed().as_millis(),
                    offered_ms = offered_at.elapsed().as_millis(),
                    "routes in force"
                );
            }
        }
        Err(reason) => {
            tracing::error!(version = reply.version, %reason, "failed to parse the routes");
        }
    }
}
