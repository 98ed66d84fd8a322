//! Follows the registrars: targets, routes and control nodes. Not for: calls.

use std::{collections, net, sync, time};

use tokio::sync::mpsc;
use usher_place::TargetDistance;
use usher_wire::message::{self, envelope};

use crate::{core, dialect};

/// How long a registrar may take to send the routes.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// How much later a registrar of another region is asked for routes than a near one, and the next
/// one again: traffic between regions is paid by its volume.
const FETCH_STEP: time::Duration = time::Duration::from_millis(250);

/// Takes news until the task is aborted; new seeds come from changed settings.
pub(crate) async fn run<D, C>(
    core: sync::Arc<core::GatewayCore<D, C>>,
    mut group: usher_watch::WatchGroup,
    mut news: mpsc::Receiver<usher_watch::WatchUpdate>,
    mut seeds: mpsc::Receiver<Vec<net::SocketAddr>>,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let mut asked = collections::HashMap::new();
    let mut reached = collections::BTreeMap::new();
    loop {
        tokio::select! {
            Some(item) = news.recv() => {
                note_reached(&core, &mut reached, &item);
                take(&core, &mut group, &mut asked, item);
            }
            Some(seeds) = seeds.recv() => group.set_seeds(seeds),
            else => return,
        }
    }
}

/// Keeps the client of the nearest registrar that answers.
fn note_reached<D, C>(
    core: &core::GatewayCore<D, C>,
    reached: &mut ReachedTable,
    news: &usher_watch::WatchUpdate,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    reached.retain(|(_, address), _| *address != news.address);
    if let Some(reply) = &news.reply {
        let domain = usher_types::DomainName::new(reply.domain.as_str());
        let distance = core.options.map.between(&core.options.domain, &domain);
        reached.insert((distance, news.address), news.client.clone());
    }
    let nearest = reached.values().next().cloned();
    *core
        .nearest
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner) = nearest;
}

/// Clients of the registrars that answered last, near ones first.
type ReachedTable =
    collections::BTreeMap<(TargetDistance, net::SocketAddr), usher_wire::CallClient>;

fn take<D, C>(
    core: &sync::Arc<core::GatewayCore<D, C>>,
    group: &mut usher_watch::WatchGroup,
    asked: &mut collections::HashMap<net::SocketAddr, u64>,
    news: usher_watch::WatchUpdate,
) where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let Some(reply) = news.reply else {
        asked.remove(&news.address);
        core.take_role_changes(news.address, None);
        return;
    };
    group.set_members(reply.members_index, &reply.members);
    core.keep_role_changes(|registrar| group.addresses().any(|known| known == registrar));
    let mut entries = Vec::with_capacity(reply.targets.len());
    for beat in &reply.targets {
        match usher_roster::TargetEntry::from_message(beat) {
            Ok(entry) => entries.push(entry),
            Err(error) => tracing::warn!(%error, from = %news.address, "target record refused"),
        }
    }
    if !entries.is_empty() {
        core.take_targets(entries);
    }
    if let Some(changes) = &reply.role_changes {
        let engines = changes.engines.iter();
        let engines = engines.map(|name| usher_types::TargetName::new(name.as_str()));
        core.take_role_changes(news.address, Some(engines.collect()));
    }
    let wanted = reply.routes_version;
    if wanted <= core.routes_version() || asked.get(&news.address) == Some(&wanted) {
        return;
    }
    asked.insert(news.address, wanted);
    let domain = usher_types::DomainName::new(reply.domain);
    let distance = core.options.map.between(&core.options.domain, &domain);
    let is_first = core.routes_version() == 0;
    let delay = if is_first || distance == TargetDistance::SameDomain {
        time::Duration::ZERO
    } else {
        let rank = group.addresses().filter(|other| **other < news.address);
        FETCH_STEP * u32::try_from(1 + rank.count()).unwrap_or(1)
    };
    let core = core.clone();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        if wanted > core.routes_version() {
            fetch(&core, &news.client).await;
        }
    });
}

/// Fetches the routes from a registrar and puts them into force.
async fn fetch<D, C>(core: &core::GatewayCore<D, C>, client: &usher_wire::CallClient)
where
    D: dialect::CallDialect,
    C: usher_types::ClockSource,
{
    let request = message::RoutesRequest { confirmed: false };
    let call = client.call(envelope::Body::RoutesRequest(request), FETCH_TIMEOUT);
    let reply = match call.await {
        Ok(envelope::Body::RoutesReply(reply)) => reply,
        Ok(_) => return,
        Err(error) => {
            tracing::warn!(%error, from = %client.address(), "routes could not be fetched");
            return;
        }
    };
    match core.dialect.read_routes(&reply.document) {
        Ok(sheet) => {
            let version = sheet.version;
            if core.take_routes(usher_route::RouteTable::new(sheet)) {
                tracing::info!(%version, from = %client.address(), "routes in force");
            }
        }
        Err(reason) => {
            tracing::error!(version = reply.version, %reason, "routes can't be read");
        }
    }
}
