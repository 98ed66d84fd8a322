//! The configuration version that the entry acts on. Not for: fetching it.

use std::sync;

/// A configuration that is acted on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigState {
    /// Its version; 0 is before the first.
    pub version: usher_types::ConfigVersion,
    /// Its sheet.
    pub sheet: usher_config::FleetSheet,
}

/// Keeps the newest configuration and never goes back to an older one.
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
    /// Makes a store at version 0 that doesn't know the newest version.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration that is acted on.
    pub fn current(&self) -> sync::Arc<ConfigState> {
        self.state.load_full()
    }

    /// Returns whether the newest version has been seen.
    pub fn is_known(&self) -> bool {
        self.known.load(sync::atomic::Ordering::SeqCst)
    }

    /// Notes that the current version is the newest that control knows of.
    pub fn confirm(&self) {
        self.known.store(true, sync::atomic::Ordering::SeqCst);
    }

    /// Acts on a configuration, unless an equal or newer one is acted on already.
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

    /// Acts on any version, for the test that shows what the comparison is for.
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
