//! The routes whose versions come from outside. Not for: what a route means.

use usher_wire::message;

/// Holds the set of routes with the highest version that was ever put.
///
/// A version keeps its first content: an author who resends it gets the same outcome, and other
/// content under a version that is held changes nothing.
#[derive(Clone, Debug, Default)]
pub struct RouteState {
    version: u64,
    document: bytes::Bytes,
}

impl RouteState {
    /// Returns the version in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document of the version in force, as it was received.
    pub fn document(&self) -> &bytes::Bytes {
        &self.document
    }

    /// Puts a set of routes into force if its version is higher.
    pub(crate) fn put(&mut self, put: message::RoutePut) -> message::RoutePutOutcome {
        let changed = put.version > self.version;
        if changed {
            self.version = put.version;
            self.document = put.document.into();
        }
        message::RoutePutOutcome {
            version: self.version,
            changed,
        }
    }

    pub(crate) fn save(&self) -> message::RoutePut {
        message::RoutePut {
            version: self.version,
            document: self.document.to_vec(),
        }
    }

    pub(crate) fn load(part: message::RoutePut) -> Self {
        Self {
            version: part.version,
            document: part.document.into(),
        }
    }
}
