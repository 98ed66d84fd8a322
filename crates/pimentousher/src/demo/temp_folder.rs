//! Temporary data folder of the demo, removed when the demo ends.

use std::{env, fs, path};

use crate::error;

/// Folder below the system's temporary folder, removed on drop.
#[derive(Debug)]
pub(super) struct TempFolder {
    path: path::PathBuf,
}

impl TempFolder {
    /// Creates a folder with a random name, so that concurrent demos don't share one.
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
