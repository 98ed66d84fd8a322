//! Distances between a gateway and targets, and the input of a placement. Not for: measured
//! latencies.

use std::{collections, fmt, time};

use crate::{load_tracker, spill};

/// Round trip within a failure domain, as the deployments' sheets state it.
const SAME_DOMAIN_ROUND_TRIP: time::Duration = time::Duration::from_micros(400);
/// Round trip between failure domains of a region, as the sheets state it.
const SAME_REGION_ROUND_TRIP: time::Duration = time::Duration::from_micros(2_800);
/// Round trip between regions, as the sheets state it.
const OTHER_REGION_ROUND_TRIP: time::Duration = time::Duration::from_millis(60);

usher_types::value_type! {
    /// The network distance of a target.
    pub enum TargetDistance {
        /// In the same failure domain.
        SameDomain,
        /// In the same region.
        SameRegion,
        /// In another region.
        OtherRegion,
    }
}

impl fmt::Display for TargetDistance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SameDomain => "same-domain",
            Self::SameRegion => "same-region",
            Self::OtherRegion => "other-region",
        })
    }
}

impl TargetDistance {
    /// Returns the distance without regard to failure domains: all of a region are equally near.
    pub(crate) fn by_region(self) -> Self {
        self.max(Self::SameRegion)
    }

    /// Returns the factor by which a KV transfer takes longer than within a failure domain, as the
    /// platform states it.
    pub(crate) fn transfer_factor(self) -> f64 {
        match self {
            Self::SameDomain => 1.0,
            Self::SameRegion => 2.0,
            Self::OtherRegion => 10.0,
        }
    }

    /// Returns the round-trip time.
    pub fn round_trip(self) -> time::Duration {
        match self {
            Self::SameDomain => SAME_DOMAIN_ROUND_TRIP,
            Self::SameRegion => SAME_REGION_ROUND_TRIP,
            Self::OtherRegion => OTHER_REGION_ROUND_TRIP,
        }
    }
}

/// The region of each failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainMap {
    regions: collections::BTreeMap<usher_types::DomainName, usher_types::RegionName>,
}

impl DomainMap {
    /// Makes a map.
    pub fn new(
        regions: collections::BTreeMap<usher_types::DomainName, usher_types::RegionName>,
    ) -> Self {
        Self { regions }
    }

    /// Returns the distance between two failure domains; an unknown one counts as another region.
    pub fn between(
        &self,
        one: &usher_types::DomainName,
        other: &usher_types::DomainName,
    ) -> TargetDistance {
        if one == other {
            return TargetDistance::SameDomain;
        }
        match (self.regions.get(one), self.regions.get(other)) {
            (Some(one), Some(other)) if one == other => TargetDistance::SameRegion,
            _ => TargetDistance::OtherRegion,
        }
    }
}

/// The input of a choice among the targets of a service.
#[derive(Clone, Copy, Debug)]
pub struct PlacementView<'t> {
    /// All targets of the service.
    pub targets: &'t [usher_roster::TargetEntry],
    /// Targets that have already failed the call.
    pub tried: &'t [usher_types::TargetName],
    /// Loads of the targets.
    pub loads: &'t load_tracker::LoadTracker,
    /// The region of each failure domain.
    pub map: &'t DomainMap,
    /// Failure domain from which distances are measured: that of the gateway, or of the engine that
    /// holds the prompt.
    pub from: &'t usher_types::DomainName,
    /// The current time.
    pub now: time::Instant,
}

impl<'t> PlacementView<'t> {
    /// Returns the distance of a target.
    pub(crate) fn distance(&self, target: &usher_roster::TargetEntry) -> TargetDistance {
        self.map.between(self.from, &target.domain)
    }

    /// Returns whether a target is in the failure domain from which distances are measured.
    pub(crate) fn is_here(&self, target: &usher_roster::TargetEntry) -> bool {
        target.domain == *self.from
    }

    /// Returns whether the region has targets in further failure domains.
    pub(crate) fn has_neighbours(&self) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| self.distance(target) == TargetDistance::SameRegion)
    }

    /// Returns why a call leaves the failure domain when it is sent to a target.
    pub fn spill_reason(&self, target: &usher_roster::TargetEntry) -> Option<spill::SpillReason> {
        if self.is_here(target) {
            return None;
        }
        let has_target = self.loads.with_loads(|loads| {
            let mut candidates = self.candidates(loads);
            candidates.any(|other| {
                self.is_here(other) && other.role == target.role && self.is_usable(loads, other)
            })
        });
        Some(if has_target {
            spill::SpillReason::Queue
        } else {
            spill::SpillReason::NoTarget
        })
    }

    /// Returns whether a target is not avoided at present.
    pub(crate) fn is_usable(
        &self,
        loads: &load_tracker::LoadTable,
        target: &usher_roster::TargetEntry,
    ) -> bool {
        let load = loads.get(&target.name);
        !load.is_some_and(|load| load.is_avoided(self.now))
    }

    /// Returns the targets that may run the call.
    pub(crate) fn candidates<'l>(
        &self,
        loads: &'l load_tracker::LoadTable,
    ) -> impl Iterator<Item = &'t usher_roster::TargetEntry> + use<'t, 'l> {
        let (tried, now) = (self.tried, self.now);
        let wants_pause = move |target: &usher_roster::TargetEntry| {
            let load = loads.get(&target.name);
            load.is_some_and(|load| load.pause_end(target, now).is_some())
        };
        self.targets.iter().filter(move |target| {
            target.takes_work() && !tried.contains(&target.name) && !wants_pause(target)
        })
    }

    /// Returns when the service can run calls again, if all its targets that could do so want a
    /// pause. An engine that only reads prompts can't run a call by itself.
    pub fn service_pause_end(&self) -> Option<time::Instant> {
        self.loads.with_loads(|loads| {
            let mut first = None;
            let runs_calls = |target: &&usher_roster::TargetEntry| {
                target.takes_work() && target.role != Some(usher_types::EngineRole::Prefill)
            };
            for target in self.targets.iter().filter(runs_calls) {
                let load = loads.get(&target.name);
                let end = load.and_then(|load| load.pause_end(target, self.now))?;
                first = Some(first.map_or(end, |first: time::Instant| first.min(end)));
            }
            first
        })
    }
}
