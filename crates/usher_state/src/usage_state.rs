//! The fixed counts of usage windows. Not for: collecting or reporting counts.

use std::collections;

use prost::Message;
use usher_wire::message;

/// Windows whose counts are kept; older ones are overdue.
const MAX_FIXED_WINDOWS: usize = 16;

/// Counts of a window, which never change.
#[derive(Clone, PartialEq, Message)]
pub struct FixedUsage {
    /// The window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Counts by team.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<message::UsageCount>,
    /// Whether the report of the window was accepted.
    #[prost(bool, tag = "3")]
    pub accepted: bool,
}

/// The newest windows whose counts are fixed.
#[derive(Clone, Debug, Default)]
pub struct UsageState {
    fixed: collections::BTreeMap<u64, FixedUsage>,
    /// Newest fixed window; no window up to it can be fixed again.
    newest: u64,
}

impl UsageState {
    /// Returns the newest fixed window; 0 for none.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the fixed windows whose report is not known to be accepted, oldest first.
    pub fn unreported(&self) -> impl Iterator<Item = &FixedUsage> {
        self.fixed.values().filter(|fixed| !fixed.accepted)
    }

    /// Fixes the counts of a window, unless it or a later one is fixed.
    pub(crate) fn fix(&mut self, fix: message::UsageFix) -> message::UsageOutcome {
        for window in &fix.accepted {
            if let Some(fixed) = self.fixed.get_mut(window) {
                fixed.accepted = true;
            }
        }
        let changed = fix.window > self.newest;
        if changed {
            self.newest = fix.window;
            let fixed = FixedUsage {
                window: fix.window,
                counts: fix.counts,
                accepted: false,
            };
            self.fixed.insert(fix.window, fixed);
        }
        while self.fixed.len() > MAX_FIXED_WINDOWS {
            self.fixed.pop_first();
        }
        message::UsageOutcome { changed }
    }

    pub(crate) fn save(&self) -> Vec<FixedUsage> {
        self.fixed.values().cloned().collect()
    }

    /// Restores the windows; the newest one is always among them.
    pub(crate) fn load(windows: Vec<FixedUsage>) -> Self {
        let windows = windows.into_iter();
        let fixed: collections::BTreeMap<_, _> =
            windows.map(|fixed| (fixed.window, fixed)).collect();
        let newest = fixed.keys().next_back().copied().unwrap_or_default();
        Self { fixed, newest }
    }
}
