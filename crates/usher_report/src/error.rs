//! Errors of the stored records and of reports. Not for: errors of requests.

use std::{io, path};

/// Reason why records cannot be stored or a report cannot be created.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file of records cannot be read or written.
    #[error("{path}: {error}")]
    File {
        /// Path of the file.
        path: path::PathBuf,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A record cannot be written as JSON.
    #[error("cannot write a record as JSON: {0}")]
    Record(#[from] serde_json::Error),
    /// A chart cannot be drawn.
    #[error("cannot draw the chart: {0}")]
    Chart(String),
}

impl ReportError {
    pub(crate) fn file(path: &path::Path, error: io::Error) -> Self {
        Self::File {
            path: path.to_owned(),
            error,
        }
    }
}
