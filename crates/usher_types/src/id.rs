//! Typed identifiers and version numbers. Not for: sizes and rates.

use crate::macros;

/// The maximum length of a text identifier.
const MAX_ID_BYTES: usize = 200;

/// The error for a text that isn't a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{what} {text:?} is not valid: expected 1 to 200 printable characters without spaces")]
pub struct ParseIdError {
    what: &'static str,
    text: String,
}

impl ParseIdError {
    pub(crate) fn new(what: &'static str, text: &str) -> Self {
        let text = text.chars().take(MAX_ID_BYTES).collect();
        Self { what, text }
    }
}

fn check_text(what: &'static str, text: &str) -> Result<(), ParseIdError> {
    let valid = !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text.chars().all(|c| c.is_ascii_graphic());
    if valid {
        Ok(())
    } else {
        Err(ParseIdError::new(what, text))
    }
}

macros::text_id!(
    /// The name of an adapter that an engine loads on top of a model.
    AdapterName,
    "adapter"
);
macros::text_id!(
    /// The name of a failure domain.
    DomainName,
    "failure domain"
);
macros::text_id!(
    /// The name of a firm, the level between cooperative and team.
    FirmName,
    "firm"
);
macros::text_id!(
    /// The name of a model.
    ModelName,
    "model"
);
macros::text_id!(
    /// The name of one of the system's own processes, such as an entry or a control node.
    NodeName,
    "node"
);
macros::text_id!(
    /// The name of a region.
    RegionName,
    "region"
);
macros::text_id!(
    /// The identifier of a request, the same in all processes.
    RequestId,
    "request id"
);
macros::text_id!(
    /// The name of a service that callers request.
    ServiceName,
    "service"
);
macros::text_id!(
    /// The name of a target.
    TargetName,
    "target"
);
macros::text_id!(
    /// The name of a team of callers.
    TeamName,
    "team"
);
macros::text_id!(
    /// The name of a version of a model.
    VersionName,
    "version"
);

macros::number_type!(
    /// The version number of a configuration; it only increases.
    ConfigVersion,
    u64,
    ParseIdError
);
macros::number_type!(
    /// The fencing number of an order to an engine; a higher number invalidates lower ones.
    FenceNumber,
    u64,
    ParseIdError
);
macros::number_type!(
    /// Distinguishes successive incarnations of a process or target with the same name.
    IncarnationId,
    u64,
    ParseIdError
);
macros::number_type!(
    /// The index of an entry in the replicated log, starting at 1; 0 precedes the first entry.
    LogIndex,
    u64,
    ParseIdError
);
macros::number_type!(
    /// The number of a term of the consensus group.
    TermNumber,
    u64,
    ParseIdError
);

impl LogIndex {
    /// Returns the next index.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl TermNumber {
    /// Returns the next term.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Generates incarnation numbers that differ each time a process starts.
pub struct IncarnationSource;

impl IncarnationSource {
    /// Generates a random incarnation number from a hasher that the operating
    /// system seeds.
    ///
    /// ```
    /// use usher_types::IncarnationSource;
    /// assert_ne!(IncarnationSource::random(), IncarnationSource::random());
    /// ```
    pub fn random() -> IncarnationId {
        use std::hash::{BuildHasher as _, Hasher as _};
        let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
        hasher.write_u32(std::process::id());
        // 0 is reserved for "no incarnation".
        IncarnationId(hasher.finish().max(1))
    }
}
