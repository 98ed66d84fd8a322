//! Answers the heartbeats of entries. Not for: granting shares, which the leader does.

use std::{collections, sync};

use usher_wire::message;

use crate::{fleet, grant};

/// Serves the entries that are connected to this node, on leaders and followers.
#[derive(Debug)]
pub(crate) struct SyncService<C> {
    access: fleet::FleetAccess,
    served: sync::Mutex<grant::ServedEntries>,
    regions: sync::Mutex<RegionCache>,
    clock: C,
}

/// Regions of the targets, cached for one version of the registry.
#[derive(Debug, Default)]
struct RegionCache {
    version: u64,
    regions: RegionMap,
}

/// Region by target; shared, because every heartbeat uses it and it rarely changes.
pub(crate) type RegionMap = sync::Arc<collections::HashMap<String, String>>;

/// State that is newer than that of an entry.
struct StateDelta {
    index: u64,
    config_version: u64,
    sheet: Option<String>,
    registry_version: u64,
    registry: Option<RegistryDelta>,
}

/// The full registry, or its changed targets if `partial` is set.
#[derive(Default)]
struct RegistryDelta {
    partial: bool,
    targets: Vec<message::TargetRecord>,
    gone: Vec<String>,
}

impl<C> SyncService<C>
where
    C: usher_types::ClockSource,
{
    pub(crate) fn new(access: fleet::FleetAccess, clock: C) -> Self {
        Self {
            access,
            served: sync::Mutex::default(),
            regions: sync::Mutex::default(),
            clock,
        }
    }

    /// Locks the relayed data, even if it is poisoned by a panic.
    pub(crate) fn served(&self) -> sync::MutexGuard<'_, grant::ServedEntries> {
        self.served
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the region of each target, which the selection of load reports depends on.
    pub(crate) fn regions(&self) -> RegionMap {
        self.access.view(|state| {
            let mut cache = self
                .regions
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            let version = state.targets().version();
            if cache.version != version {
                let targets = state.targets().present();
                let regions = targets.map(|one| (one.name.clone(), one.region.clone()));
                cache.regions = sync::Arc::new(regions.collect());
                cache.version = version;
            }
            cache.regions.clone()
        })
    }

    /// Answers a heartbeat.
    ///
    /// The state is read after the leader's confirmations, so that a right is never sent with a
    /// state older than the confirmation it is based on. An entry whose state is newer than that of
    /// this node gets no right and no older state.
    pub(crate) fn answer(&self, request: message::SyncRequest) -> message::SyncReply {
        let now = self.clock.now();
        let Some(entry) = request.entry.clone() else {
            return message::SyncReply::default();
        };
        let regions = self.regions();
        let (config_known, registry_known) = (request.config_version, request.registry_version);
        let takes_delta = request.takes_delta;
        let sequence = request.sequence;
        let (loads, shares, issuer) = {
            let mut served = self.served();
            served.apply_heartbeat(request, &regions, now);
            let loads = served.loads_for(&entry, now);
            let shares = served.shares_for(&entry, now);
            (loads, shares, served.issuer.clone())
        };
        let delta = self.delta(config_known, registry_known, takes_delta);
        let behind = config_known > delta.config_version || registry_known > delta.registry_version;
        let right = if behind {
            std::time::Duration::ZERO
        } else {
            issuer.right(now, delta.index)
        };
        let registry_changed = delta.registry.is_some();
        let registry = delta.registry.unwrap_or_default();
        message::SyncReply {
            sequence,
            config_version: delta.config_version,
            config_changed: delta.sheet.is_some(),
            sheet: delta.sheet.unwrap_or_default(),
            registry_version: delta.registry_version,
            registry_changed,
            registry_delta: registry.partial,
            targets: registry.targets,
            gone: registry.gone,
            loads,
            shares,
            right_ms: right.as_millis() as u64,
        }
    }

    fn delta(&self, config_known: u64, registry_known: u64, takes_delta: bool) -> StateDelta {
        self.access.view(|state| {
            let config = state.config();
            let targets = state.targets();
            let sheet = (config.version() > config_known).then(|| config.sheet().to_owned());
            let changed = targets.version() > registry_known;
            StateDelta {
                index: state.index().get(),
                config_version: config.version(),
                sheet,
                registry_version: targets.version(),
                registry: changed.then(|| {
                    let delta = takes_delta.then(|| targets.changed_since(registry_known));
                    match delta.flatten() {
                        Some(targets) => changed_targets(targets),
                        None => all_targets(targets),
                    }
                }),
            }
        })
    }
}

fn all_targets(targets: &usher_state::TargetTable) -> RegistryDelta {
    RegistryDelta {
        targets: targets.present().cloned().collect(),
        ..RegistryDelta::default()
    }
}

fn changed_targets<'s, S>(targets: S) -> RegistryDelta
where
    S: Iterator<Item = &'s usher_state::TargetRegistration>,
{
    let mut delta = RegistryDelta {
        partial: true,
        ..RegistryDelta::default()
    };
    for target in targets {
        if target.gone {
            delta.gone.push(target.record.name.clone());
        } else {
            delta.targets.push(target.record.clone());
        }
    }
    delta
}
