//! Samples the engines that a call chooses among. Not for: their costs.

use usher_roster::TargetEntry;

use crate::{placement, work};

/// Number of engines of the nearest region that are sampled for a call. Loads are known with a
/// delay of 0.1 to 0.2 s: when each of 90 gateways chose among all engines, 50 calls went to the
/// same one within 0.2 s, and first events were delayed by 0.3 to 0.8 s.
const SAMPLE_SIZE: usize = 3;

/// Returns the home engine of a shared prefix in the nearest region, by rendezvous hashing: all
/// gateways of a region get the same one without communication, so that a prefix which no engine
/// has cached is read there once.
pub(crate) fn home<'t>(
    prefix: u64,
    candidates: &[&'t TargetEntry],
    view: &placement::PlacementView<'_>,
) -> Option<&'t usher_types::TargetName> {
    let region = |target: &TargetEntry| view.distance(target).by_region();
    let nearest = candidates.iter().map(|target| region(target)).min()?;
    let near = candidates.iter().filter(|target| region(target) == nearest);
    let home = near.min_by_key(|target| work::mix(prefix, work::text_key(target.name.as_str())));
    home.map(|target| &target.name)
}

/// The engines sampled for a call.
pub(crate) struct EngineSample<'t> {
    pub(crate) near: Vec<&'t TargetEntry>,
    pub(crate) far: Option<&'t TargetEntry>,
}

/// Samples some engines of the nearest region, and one of the other regions.
pub(crate) fn sample<'t>(
    call: u64,
    candidates: &[&'t TargetEntry],
    is_usable: impl Fn(&TargetEntry) -> bool,
    view: &placement::PlacementView<'_>,
) -> EngineSample<'t> {
    let mut ranked: Vec<_> = candidates
        .iter()
        .filter(|target| is_usable(target))
        .map(|target| {
            let region = view.distance(target).by_region();
            let hash = work::mix(call, work::text_key(target.name.as_str()));
            (region, hash, *target)
        })
        .collect();
    ranked.sort_by_key(|(region, hash, _)| (*region, *hash));
    let nearest = ranked.first().map(|(region, _, _)| *region);
    let far = ranked.partition_point(|(region, _, _)| Some(*region) == nearest);
    let (near, far) = ranked.split_at(far);
    EngineSample {
        near: near
            .iter()
            .take(SAMPLE_SIZE)
            .map(|(_, _, target)| *target)
            .collect(),
        far: far.first().map(|(_, _, target)| *target),
    }
}
