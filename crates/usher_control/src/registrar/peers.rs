//! Learns from other registrars which targets they hear. Not for: consensus.

use std::net;

use tokio::sync::mpsc;
use usher_watch::WatchGroup;

use crate::{fleet, registrar};

/// Watches the other registrars until the task is aborted; new seeds come from changed settings.
pub(crate) async fn run<C>(
    mut group: WatchGroup,
    mut news: mpsc::Receiver<usher_watch::WatchNews>,
    mut seeds: mpsc::Receiver<Vec<net::SocketAddr>>,
    targets: registrar::TargetRegistry<C>,
    access: fleet::FleetAccess,
) where
    C: usher_types::ClockSource,
{
    loop {
        let item = tokio::select! {
            Some(item) = news.recv() => item,
            Some(seeds) = seeds.recv() => {
                group.set_seeds(seeds);
                continue;
            }
            else => return,
        };
        // The own replica knows the members at least as well as any reply.
        let (index, members) = access.member_addresses(0);
        group.set_members(index, &members);
        for beat in item.reply.iter().flat_map(|reply| &reply.targets) {
            match usher_roster::TargetEntry::from_message(beat) {
                Ok(entry) => targets.merge(entry),
                Err(error) => tracing::warn!(%error, from = %item.address, "target record refused"),
            }
        }
    }
}
