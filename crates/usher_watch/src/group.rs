//! The registrars that are watched. Not for: a single watch.

use std::{collections, net};

use tokio::{sync::mpsc, task};

use crate::watch;

/// News that may wait; a watch waits for room, so that a slow reader slows the watches down.
const NEWS_QUEUE: usize = 64;

/// Who watches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatcherKind {
    /// A gateway, which hears of all targets from every registrar.
    Gateway,
    /// A registrar, which hears from each other one what only that one knows.
    Registrar,
}

/// One watch per registrar; watches end when the group is dropped.
#[derive(Debug)]
pub struct WatchGroup {
    identity: usher_wire::WireIdentity,
    kind: WatcherKind,
    own: Option<net::SocketAddr>,
    seeds: Vec<net::SocketAddr>,
    members: Vec<net::SocketAddr>,
    members_index: u64,
    watches: collections::HashMap<net::SocketAddr, task::JoinHandle<()>>,
    news: mpsc::Sender<watch::WatchUpdate>,
}

impl WatchGroup {
    /// Starts watching the seeds; the receiver gets the news of all watches.
    pub fn new(
        identity: usher_wire::WireIdentity,
        kind: WatcherKind,
        own: Option<net::SocketAddr>,
        seeds: Vec<net::SocketAddr>,
    ) -> (Self, mpsc::Receiver<watch::WatchUpdate>) {
        let (news, receiver) = mpsc::channel(NEWS_QUEUE);
        let mut group = Self {
            identity,
            kind,
            own,
            seeds,
            members: Vec::new(),
            members_index: 0,
            watches: collections::HashMap::new(),
            news,
        };
        group.refresh();
        (group, receiver)
    }

    /// Replaces the seeds, as after a change of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddr>) {
        self.seeds = seeds;
        self.refresh();
    }

    /// Takes the control group as a registrar told it; an older one changes nothing.
    pub fn set_members(&mut self, index: u64, members: &[String]) {
        if index <= self.members_index || members.is_empty() {
            return;
        }
        self.members_index = index;
        self.members = members
            .iter()
            .filter_map(|text| text.parse().ok())
            .collect();
        self.refresh();
    }

    /// Returns the registrars that are watched.
    pub fn addresses(&self) -> impl Iterator<Item = &net::SocketAddr> {
        self.watches.keys()
    }

    fn refresh(&mut self) {
        let wanted: collections::BTreeSet<_> = self
            .members
            .iter()
            .chain(&self.seeds)
            .filter(|address| Some(**address) != self.own)
            .copied()
            .collect();
        self.watches.retain(|address, task| {
            let kept = wanted.contains(address);
            if !kept {
                task.abort();
            }
            kept
        });
        for address in wanted {
            let plan = watch::WatchPlan {
                address,
                identity: self.identity.clone(),
                is_gateway: self.kind == WatcherKind::Gateway,
            };
            let news = self.news.clone();
            self.watches
                .entry(address)
                .or_insert_with(|| tokio::spawn(watch::run(plan, news)));
        }
    }
}

impl Drop for WatchGroup {
    fn drop(&mut self) {
        for task in self.watches.values() {
            task.abort();
        }
    }
}
