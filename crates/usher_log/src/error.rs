//! Errors of the log. Not for: errors of the replicated state.

use std::io;

/// Tells why the log can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// Another process uses the folder.
    #[error("data folder {folder} is in use by another process")]
    Locked {
        /// The folder.
        folder: String,
    },
    /// The operating system refused an operation.
    #[error("{operation} of {file} failed: {error}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// On which file.
        file: String,
        /// Answer of the operating system.
        error: io::Error,
    },
    /// A record is damaged at a place where no unfinished write explains it.
    #[error("{file} is corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// The file.
        file: String,
        /// Where the damaged record starts.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// A file that must be there is missing.
    #[error("data folder lacks {file}: {reason}")]
    Missing {
        /// The file.
        file: String,
        /// Why it must be there.
        reason: String,
    },
    /// An earlier write or fsync failed; what is on disk is no longer known.
    #[error("the log is unusable since an earlier write or fsync failed")]
    Unusable,
}

impl LogError {
    /// Makes a function that converts an error of the operating system.
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
