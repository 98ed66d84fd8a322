//! A folder that is removed when the demo ends. Not for: data that is kept.

use std::{env, fs, path};

use crate::error;

/// A folder below the system's temporary one.
#[derive(Debug)]
pub(super) struct TempFolder {
    path: path::PathBuf,
}

impl TempFolder {
    /// Makes a folder with a name that no other demo uses.
    pub(super) fn new() -> Result<Self, error::CommandError> {
        let name = format!(
            "pimentousher-demo-{}",
            usher_types::IncarnationSource::random()
        );
        let path = env::temp_dir().join(name);
        fs::create_dir(&path).map_err(|error| {
            error::CommandError::Failed(format!(
                "{} can't be made: {error}; set TMPDIR to a folder that can be written",
                path.display()
            ))
        })?;
        Ok(Self { path })
    }

    pub(super) fn join(&self, name: &str) -> path::PathBuf {
        self.path.join(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
