//! Errors of records and reports. Not for: errors of requests.

use std::{io, path};

/// Tells why records can't be kept or a report can't be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file of records can't be read or written.
    #[error("{path}: {error}")]
    File {
        /// Path of the file.
        path: path::PathBuf,
        /// What the operating system says.
        error: io::Error,
    },
    /// A record can't be written as JSON.
    #[error("cannot write a record as JSON: {0}")]
    Record(#[from] serde_json::Error),
    /// A chart can't be drawn.
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
