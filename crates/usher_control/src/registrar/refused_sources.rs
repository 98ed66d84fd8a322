//! The sources of refused records of targets, each of which is logged once. Not for: the checks.

use std::collections;

/// Number of remembered sources. At more, all are forgotten and may be logged again: an odd writer
/// may give each of its entries another name.
const MAX_SOURCES: usize = 1_024;

/// The sources whose records were refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedSources {
    names: collections::HashSet<String>,
}

impl RefusedSources {
    /// Records a refusal; returns whether it is the first one of its source and must be logged. The
    /// reason doesn't count, as it may state a number that differs each time.
    pub(crate) fn record(&mut self, source: &str) -> bool {
        if self.names.contains(source) {
            return false;
        }
        if self.names.len() >= MAX_SOURCES {
            self.names.clear();
        }
        self.names.insert(source.to_owned())
    }
}
