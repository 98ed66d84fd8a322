//! Errors of the durable log. Not for: errors of the replicated state.

use std::io;

use crate::room_folder;

/// Reason why the log cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// Another process uses the folder.
    #[error("data folder {folder} is in use by another process")]
    Locked {
        /// The folder.
        folder: String,
    },
    /// A file operation failed.
    #[error("{operation} of {file} failed: {error}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file or folder.
        file: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A record is damaged at a position that cannot be explained by a torn write.
    #[error("{file} is corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// The file.
        file: String,
        /// Offset at which the damaged record starts.
        offset: u64,
        /// Description of the damage.
        reason: String,
    },
    /// A required file is missing.
    #[error("data folder lacks {file}: {reason}")]
    Missing {
        /// The file.
        file: String,
        /// Reason why the file is required.
        reason: String,
    },
    /// An earlier write or fsync failed, so that the contents of the disk are unknown.
    #[error("the log is unusable because an earlier write or fsync failed")]
    Unusable,
}

impl LogError {
    /// Returns whether an operation failed for lack of room on the disk.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Io { error, .. } if room_folder::is_full(error))
    }

    /// Returns a function that converts an error of the operating system.
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |error| Self::Io {
            operation,
            file,
            error,
        }
    }

    pub(crate) fn corrupt(file: &str, offset: usize, reason: impl Into<String>) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset: offset as u64,
            reason: reason.into(),
        }
    }
}
