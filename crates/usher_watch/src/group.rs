//! The set of watched registrars. Not for: a single watch.

use std::{collections, net};

use tokio::{sync::mpsc, task};

use crate::watch;

/// Capacity of the queue of updates; a watch waits when it is full, so that a slow reader slows the
/// watches down.
const UPDATE_QUEUE_SIZE: usize = 64;

/// The kind of process that watches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatcherKind {
    /// A gateway, which gets all targets from every registrar.
    Gateway,
    /// A registrar, which gets from another one only the targets that report to that one.
    Registrar,
}

/// One watch per registrar; watches end when the group is dropped.
#[derive(Debug)]
pub struct WatchGroup {
    identity: usher_wire::WireIdentity,
    kind: WatcherKind,
    /// Address of this registrar, which isn't watched; none for a gateway.
    own_address: Option<net::SocketAddr>,
    seeds: Vec<net::SocketAddr>,
    members: Vec<net::SocketAddr>,
    members_index: u64,
    watches: collections::HashMap<net::SocketAddr, task::JoinHandle<()>>,
    updates: mpsc::Sender<watch::WatchUpdate>,
}

impl WatchGroup {
    /// Starts to watch the seeds; the receiver gets the updates of all watches.
    pub fn new(
        identity: usher_wire::WireIdentity,
        kind: WatcherKind,
        own_address: Option<net::SocketAddr>,
        seeds: Vec<net::SocketAddr>,
    ) -> (Self, mpsc::Receiver<watch::WatchUpdate>) {
        let (updates, receiver) = mpsc::channel(UPDATE_QUEUE_SIZE);
        let mut group = Self {
            identity,
            kind,
            own_address,
            seeds,
            members: Vec::new(),
            members_index: 0,
            watches: collections::HashMap::new(),
            updates,
        };
        group.refresh();
        (group, receiver)
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddr>) {
        self.seeds = seeds;
        self.refresh();
    }

    /// Replaces the members of the control group if `index` is newer than the known one.
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

    /// Returns the watched registrars.
    pub fn addresses(&self) -> impl Iterator<Item = &net::SocketAddr> {
        self.watches.keys()
    }

    fn refresh(&mut self) {
        let wanted: collections::BTreeSet<_> = self
            .members
            .iter()
            .chain(&self.seeds)
            .filter(|address| Some(**address) != self.own_address)
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
            let options = watch::WatchOptions {
                address,
                identity: self.identity.clone(),
                is_gateway: self.kind == WatcherKind::Gateway,
            };
            let updates = self.updates.clone();
            self.watches
                .entry(address)
                .or_insert_with(|| tokio::spawn(watch::run(options, updates)));
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
