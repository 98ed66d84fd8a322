//! Which engines a call chooses among. Not for: their costs.

use usher_roster::TargetEntry;

use crate::{place, work};

/// Engines of the nearest region among which a call chooses, drawn by the call. Loads are known 0.1
/// to 0.2 s late: when each of 90 gateways chose among all engines, 50 calls went to the same one
/// within 0.2 s, and first events came 0.3 to 0.8 s later.
const DRAWN: usize = 3;

/// Returns the home of shared parts among the engines of the nearest region: all gateways of a
/// region agree on it without a word, so that parts which no engine has are read there once.
pub(crate) fn home<'t>(
    parts: u64,
    candidates: &[&'t TargetEntry],
    view: &place::PlaceView<'_>,
) -> Option<&'t usher_types::TargetName> {
    let region = |target: &TargetEntry| view.distance(target).region();
    let nearest = candidates.iter().map(|target| region(target)).min()?;
    let near = candidates.iter().filter(|target| region(target) == nearest);
    let home = near.min_by_key(|target| work::mix(parts, work::text_key(target.name.as_str())));
    home.map(|target| &target.name)
}

/// Engines drawn for a call.
pub(crate) struct DrawnEngines<'t> {
    pub(crate) near: Vec<&'t TargetEntry>,
    pub(crate) far: Option<&'t TargetEntry>,
}

/// Draws some engines of the nearest region, and one of the others.
pub(crate) fn draw<'t>(
    call: u64,
    candidates: &[&'t TargetEntry],
    is_usable: impl Fn(&TargetEntry) -> bool,
    view: &place::PlaceView<'_>,
) -> DrawnEngines<'t> {
    let mut lots: Vec<_> = candidates
        .iter()
        .filter(|target| is_usable(target))
        .map(|target| {
            let region = view.distance(target).region();
            let lot = work::mix(call, work::text_key(target.name.as_str()));
            (region, lot, *target)
        })
        .collect();
    lots.sort_by_key(|(region, lot, _)| (*region, *lot));
    let nearest = lots.first().map(|(region, _, _)| *region);
    let far = lots.partition_point(|(region, _, _)| Some(*region) == nearest);
    let (near, far) = lots.split_at(far);
    DrawnEngines {
        near: near
            .iter()
            .take(DRAWN)
            .map(|(_, _, target)| *target)
            .collect(),
        far: far.first().map(|(_, _, target)| *target),
    }
}
