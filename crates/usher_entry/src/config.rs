//! Holds the configuration that the entry uses.
//!
//! Not for: fetching it.

use std::sync;

/// A configuration and its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    /// Version; 0 means that there is no configuration yet.
    pub version: usher_types::ConfigVersion,
    /// Fleet sheet.
    pub sheet: usher_config::FleetSheet,
}

/// Stores the newest configuration and never reverts to an older one.
///
/// ```
/// use usher_entry::{ConfigStore, ConfigState};
/// use usher_types::ConfigVersion;
/// let store = ConfigStore::new();
/// let newer = ConfigState { version: ConfigVersion::new(2), ..Default::default() };
/// assert!(store.apply(newer));
/// let older = ConfigState { version: ConfigVersion::new(1), ..Default::default() };
/// assert!(!store.apply(older));
/// assert_eq!(store.current().version, ConfigVersion::new(2));
/// ```
#[derive(Debug, Default)]
pub struct ConfigStore {
    state: arc_swap::ArcSwap<ConfigState>,
    known: sync::atomic::AtomicBool,
    change: sync::Mutex<()>,
}

impl ConfigStore {
    /// Creates a store at version 0, not yet confirmed as the newest version.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current configuration.
    pub fn current(&self) -> sync::Arc<ConfigState> {
        self.state.load_full()
    }

    /// Returns whether control has confirmed a version of this store as its newest; stays `true`
    /// when newer versions follow.
    pub fn is_known(&self) -> bool {
        self.known.load(sync::atomic::Ordering::SeqCst)
    }

    /// Records that the current version is the newest known to control.
    pub fn confirm(&self) {
        self.known.store(true, sync::atomic::Ordering::SeqCst);
    }

    /// Applies a configuration unless the current one is equal or newer; returns whether it was
    /// applied.
    pub fn apply(&self, state: ConfigState) -> bool {
        let _changing = self
            .change
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if state.version <= self.state.load().version {
            return false;
        }
        self.replace(state);
        true
    }

    /// Applies a configuration of any version, for the test that disables the version check.
    #[doc(hidden)]
    pub fn apply_unchecked(&self, state: ConfigState) {
        self.state.store(sync::Arc::new(state));
    }

    fn replace(&self, state: ConfigState) {
        let version = state.version;
        let old = self.state.swap(sync::Arc::new(state)).version;
        usher_types::invariant!(
            "entry.config-version",
            old < version,
            "configuration went from version {old} to {version}"
        );
    }
}
