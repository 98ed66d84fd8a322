//! Distances between a gateway and targets. Not for: measured delays.

use std::{collections, time};

use crate::book;

/// Round trip within a failure domain, as the deployments' sheets state it.
const SAME_DOMAIN: time::Duration = time::Duration::from_micros(400);
/// Round trip between failure domains of a region, as the sheets state it.
const SAME_REGION: time::Duration = time::Duration::from_micros(2_800);
/// Round trip between regions, as the sheets state it.
const OTHER_REGION: time::Duration = time::Duration::from_millis(60);

usher_types::value_type! {
    /// How far a target is from another place.
    pub enum TargetDistance {
        /// In the same failure domain.
        Domain,
        /// In the same region.
        Region,
        /// In another region.
        Far,
    }
}

impl TargetDistance {
    /// Returns the distance between regions: places of one region are equally near.
    pub(crate) fn region(self) -> Self {
        self.max(Self::Region)
    }

    /// Returns by which factor moving memory takes longer than within a failure domain, as the
    /// platform states it.
    pub(crate) fn move_factor(self) -> f64 {
        match self {
            Self::Domain => 1.0,
            Self::Region => 2.0,
            Self::Far => 10.0,
        }
    }

    /// Returns the time of a round trip.
    pub fn round_trip(self) -> time::Duration {
        match self {
            Self::Domain => SAME_DOMAIN,
            Self::Region => SAME_REGION,
            Self::Far => OTHER_REGION,
        }
    }
}

/// The regions of failure domains.
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

    /// Returns how far two failure domains are from each other; one that isn't known is far.
    pub fn between(
        &self,
        one: &usher_types::DomainName,
        other: &usher_types::DomainName,
    ) -> TargetDistance {
        if one == other {
            return TargetDistance::Domain;
        }
        match (self.regions.get(one), self.regions.get(other)) {
            (Some(one), Some(other)) if one == other => TargetDistance::Region,
            _ => TargetDistance::Far,
        }
    }
}

/// What a choice among the targets of a service is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlaceView<'t> {
    /// All targets of the service.
    pub targets: &'t [usher_roster::TargetEntry],
    /// Targets that failed the call.
    pub tried: &'t [usher_types::TargetName],
    /// Loads of the targets.
    pub loads: &'t book::LoadBook,
    /// Where failure domains are.
    pub map: &'t DomainMap,
    /// From where distances count: the gateway, or the engine that holds the prompt.
    pub from: &'t usher_types::DomainName,
    /// The present.
    pub now: time::Instant,
}

impl<'t> PlaceView<'t> {
    /// Returns how far a target is.
    pub(crate) fn distance(&self, target: &usher_roster::TargetEntry) -> TargetDistance {
        self.map.between(self.from, &target.domain)
    }

    /// Returns whether a target isn't avoided at present.
    pub(crate) fn is_usable(
        &self,
        loads: &book::LoadTable,
        target: &usher_roster::TargetEntry,
    ) -> bool {
        let load = loads.get(&target.name);
        !load.is_some_and(|load| load.is_avoided(self.now))
    }

    /// Returns the targets that may get the call.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = &'t usher_roster::TargetEntry> {
        let tried = self.tried;
        self.targets
            .iter()
            .filter(move |target| target.takes_work() && !tried.contains(&target.name))
    }
}
