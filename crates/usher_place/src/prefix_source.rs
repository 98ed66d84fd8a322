//! How an engine gets the shared prefix of a prompt. Not for: choosing the engine.

use std::net;

use usher_roster::TargetEntry;

use crate::{placement, rates, work};

/// Weight of reading a shared prefix again, in addition to its time: the work also delays every
/// call queued behind it, so that calls which leave their home engine under load would increase the
/// load further.
const REPEATED_PREFILL_WEIGHT: f64 = 3.0;

/// How an engine gets the shared prefix of a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PrefixSource {
    /// It has the prefix cached.
    Cached,
    /// It copies the prefix from another engine.
    Copied { from: net::SocketAddr, time: f64 },
    /// It reads the prefix; `repeated` when another engine has read it or is its home.
    Prefill { time: f64, repeated: bool },
}

impl PrefixSource {
    /// Returns the time it takes, in seconds.
    pub(crate) fn time(self) -> f64 {
        match self {
            Self::Cached => 0.0,
            Self::Copied { time, .. } | Self::Prefill { time, .. } => time,
        }
    }

    /// Returns the cost in addition to that time, in seconds.
    pub(crate) fn penalty(self) -> f64 {
        match self {
            Self::Prefill {
                time,
                repeated: true,
            } => time * REPEATED_PREFILL_WEIGHT,
            Self::Cached | Self::Copied { .. } | Self::Prefill { .. } => 0.0,
        }
    }

    pub(crate) fn copy_from(self) -> Option<net::SocketAddr> {
        match self {
            Self::Copied { from, .. } => Some(from),
            Self::Cached | Self::Prefill { .. } => None,
        }
    }
}

/// Returns the fastest source of the shared prefix for an engine that doesn't have it cached.
/// Reading it takes `read_time`; `is_first` states that no engine has it and that this one is its
/// home. A copy takes as long as handing over a prompt of the same length.
pub(crate) fn choose_source(
    work: &work::PromptWork,
    target: &TargetEntry,
    sources: &[&TargetEntry],
    view: &placement::PlacementView<'_>,
    read_time: f64,
    is_first: bool,
    handover: &rates::TimeEstimate,
) -> PrefixSource {
    let copy = |source: &&TargetEntry| {
        let distance = view.map.between(&source.domain, &target.domain);
        let tokens = work.shared_tokens() as f64 * distance.transfer_factor();
        let trip = distance.round_trip().as_secs_f64();
        (source.address, trip + handover.seconds(tokens))
    };
    let copies = sources.iter().map(copy);
    let best = copies.min_by(|(_, one), (_, other)| one.total_cmp(other));
    match best {
        Some((from, time)) if time < read_time => PrefixSource::Copied { from, time },
        _ => PrefixSource::Prefill {
            time: read_time,
            repeated: !is_first,
        },
    }
}
