//! Identifiers of the things that the system names. Not for: sizes and rates.

use crate::macros;

/// The longest text identifier, in bytes.
const MAX_ID_BYTES: usize = 200;

/// Tells why a text isn't an identifier.
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
    /// Names an adapter that an engine loads on top of a model.
    AdapterName,
    "adapter"
);
macros::text_id!(
    /// Names a failure domain.
    DomainName,
    "failure domain"
);
macros::text_id!(
    /// Names a firm, the level between cooperative and team.
    FirmName,
    "firm"
);
macros::text_id!(
    /// Names a model.
    ModelName,
    "model"
);
macros::text_id!(
    /// Names one of the system's own processes, entry or control.
    NodeName,
    "node"
);
macros::text_id!(
    /// Names a region.
    RegionName,
    "region"
);
macros::text_id!(
    /// Identifies a request through all processes.
    RequestId,
    "request id"
);
macros::text_id!(
    /// Names a service that callers ask for.
    ServiceName,
    "service"
);
macros::text_id!(
    /// Names a target.
    TargetName,
    "target"
);
macros::text_id!(
    /// Names a team of callers.
    TeamName,
    "team"
);
macros::text_id!(
    /// Names a version of a model.
    VersionName,
    "version"
);

macros::number_type!(
    /// Numbers the configurations; it only goes up.
    ConfigVersion,
    u64,
    ParseIdError
);
macros::number_type!(
    /// Numbers the orders to engines; a higher number makes lower ones void.
    FenceNumber,
    u64,
    ParseIdError
);
macros::number_type!(
    /// Tells apart two lives of a process or a target under one name.
    IncarnationId,
    u64,
    ParseIdError
);
macros::number_type!(
    /// Numbers the entries of the replicated log, from 1; 0 is before the first.
    LogIndex,
    u64,
    ParseIdError
);
macros::number_type!(
    /// Numbers the terms of the consensus group.
    TermNumber,
    u64,
    ParseIdError
);

impl LogIndex {
    /// Returns the index that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl TermNumber {
    /// Returns the term that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Makes incarnation numbers that two lives of a process don't share.
pub struct IncarnationSource;

impl IncarnationSource {
    /// Makes a random incarnation number from the operating system's hash seed.
    ///
    /// ```
    /// use usher_types::IncarnationSource;
    /// assert_ne!(IncarnationSource::random(), IncarnationSource::random());
    /// ```
    pub fn random() -> IncarnationId {
        use std::hash::{BuildHasher as _, Hasher as _};
        let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
        hasher.write_u32(std::process::id());
        // Zero is kept for "no incarnation".
        IncarnationId(hasher.finish().max(1))
    }
}
