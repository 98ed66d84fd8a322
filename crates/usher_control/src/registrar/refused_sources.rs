//! The sources of refused records of targets, each of which is logged once. Not for: the checks.

use std::collections;

/// Number of remembered sources. At more, all are forgotten and may be logged again: an odd writer
/// may give each of its entries another name.
const MAX_SOURCES: usize = 1_024;

/// The last reason for which the records of each source were refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedSources {
    reasons: collections::HashMap<String, String>,
}

impl RefusedSources {
    /// Records a refusal; returns whether it must be logged, because it is the first one of its
    /// source or has another reason than the one before.
    pub(crate) fn record(&mut self, source: &str, reason: &str) -> bool {
        if self
            .reasons
            .get(source)
            .is_some_and(|known| known == reason)
        {
            return false;
        }
        if self.reasons.len() >= MAX_SOURCES {
            self.reasons.clear();
        }
        self.reasons.insert(source.to_owned(), reason.to_owned());
        true
    }
}
