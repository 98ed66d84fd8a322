//! Merges the target records of other registrars into this registrar's registry. Not for:
//! consensus.

use std::net;

use tokio::sync::mpsc;
use usher_watch::WatchGroup;

use crate::{fleet, registrar};

/// Watches the other registrars until the task is aborted; `seeds` delivers changed settings.
pub(crate) async fn run<C>(
    mut group: WatchGroup,
    mut updates: mpsc::Receiver<usher_watch::WatchUpdate>,
    mut seeds: mpsc::Receiver<Vec<net::SocketAddr>>,
    targets: registrar::TargetRegistry<C>,
    broken_calls: registrar::broken_calls::BrokenCallRegistry<C>,
    access: fleet::FleetAccess,
) where
    C: usher_types::ClockSource,
{
    loop {
        let update = tokio::select! {
            Some(update) = updates.recv() => update,
            Some(seeds) = seeds.recv() => {
                group.set_seeds(seeds);
                continue;
            }
            else => return,
        };
        // This node's replica is at least as up to date on the members as any reply.
        let (index, members) = access.member_addresses(0);
        group.set_members(index, &members);
        if let Some(reply) = &update.reply {
            broken_calls.merge(&reply.broken_calls);
        }
        for beat in update.reply.iter().flat_map(|reply| &reply.targets) {
            targets.merge(&update.address, beat);
        }
    }
}
