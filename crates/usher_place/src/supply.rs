//! How an engine gets the shared parts of a prompt. Not for: choosing the engine.

use std::net;

use usher_roster::TargetEntry;

use crate::{engine, place, work};

/// By how much shared parts that must be read again count beyond the time that they take: the
/// work also holds up every call behind it, so that calls which leave their home under load would
/// make the load grow.
const AGAIN_WEIGHT: f64 = 3.0;

/// How an engine gets the shared parts of a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PartsSupply {
    /// It has them.
    Kept,
    /// It copies them from another engine.
    Copied { from: net::SocketAddr, time: f64 },
    /// It reads them; `again` where another engine has read them or is to read them.
    Read { time: f64, again: bool },
}

impl PartsSupply {
    /// Returns how long it takes, in seconds.
    pub(crate) fn time(self) -> f64 {
        match self {
            Self::Kept => 0.0,
            Self::Copied { time, .. } | Self::Read { time, .. } => time,
        }
    }

    /// Returns what it costs beyond that, in seconds.
    pub(crate) fn extra(self) -> f64 {
        match self {
            Self::Read { time, again: true } => time * AGAIN_WEIGHT,
            Self::Kept | Self::Copied { .. } | Self::Read { .. } => 0.0,
        }
    }

    pub(crate) fn source(self) -> Option<net::SocketAddr> {
        match self {
            Self::Copied { from, .. } => Some(from),
            Self::Kept | Self::Read { .. } => None,
        }
    }
}

/// Returns how an engine that doesn't have the shared parts gets them soonest, where reading them
/// takes `read_time`; `is_first` says that no engine has them and that this one is their home.
pub(crate) fn supply(
    work: &work::PromptWork,
    target: &TargetEntry,
    sources: &[&TargetEntry],
    view: &place::PlaceView<'_>,
    read_time: f64,
    is_first: bool,
) -> PartsSupply {
    let copy = |source: &&TargetEntry| {
        let distance = view.map.between(&source.domain, &target.domain);
        let moving =
            work.shared_tokens() as f64 * engine::MOVE_TIME_PER_TOKEN * distance.move_factor();
        let trip = distance.round_trip().as_secs_f64();
        (source.address, engine::MOVE_COST + trip + moving)
    };
    let copies = sources.iter().map(copy);
    let best = copies.min_by(|(_, one), (_, other)| one.total_cmp(other));
    match best {
        Some((from, time)) if time < read_time => PartsSupply::Copied { from, time },
        _ => PartsSupply::Read {
            time: read_time,
            again: !is_first,
        },
    }
}
