//! The encoding in which the author of the routes writes them. Not for: the routes themselves.

use crate::sheet;

/// Parses documents in the format of their author.
pub trait RouteDialect: Clone + Send + Sync + 'static {
    /// Parses and validates a set of routes as its author sent it.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the document is invalid.
    fn read_routes(&self, document: &[u8]) -> Result<sheet::RouteSheet, String>;
}
