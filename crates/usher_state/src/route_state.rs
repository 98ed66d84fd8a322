//! The current set of routes, whose version numbers are assigned by its author.
//! Not for: the meaning of a route.

use usher_wire::message;

/// Holds the set of routes with the highest version that was ever submitted.
///
/// The content of a version never changes: a submission with the same or a lower version is
/// ignored, whatever its content.
#[derive(Clone, Debug, Default)]
pub struct RouteState {
    version: u64,
    document: bytes::Bytes,
}

impl RouteState {
    /// Returns the current version, or 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document of the current version, exactly as it was received.
    pub fn document(&self) -> &bytes::Bytes {
        &self.document
    }

    /// Replaces the set of routes if the new version is higher.
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
