//! Data folder on disk, locked by this process. Not for: the format of records.

use std::{fs, io, path};

use io::Write as _;

use crate::{error, storage};

/// Name of the file that is locked while the folder is in use.
const LOCK_FILE: &str = "lock";

/// A data folder in the file system.
#[derive(Debug)]
pub struct DiskFolder {
    path: path::PathBuf,
    handle: fs::File,
    /// Holds the lock; the operating system releases it when the process ends for any reason.
    _lock: fs::File,
}

impl DiskFolder {
    /// Opens a folder, creates it if needed, and locks it for this process.
    ///
    /// # Errors
    ///
    /// Fails when another process holds the lock, or the folder cannot be created or opened.
    pub fn open(path: impl Into<path::PathBuf>) -> Result<Self, error::LogError> {
        let path = path.into();
        let name = path.display().to_string();
        fs::create_dir_all(&path).map_err(error::LogError::io("creation", &name))?;
        let lock = fs::OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))
            .map_err(error::LogError::io("opening of the lock file", &name))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => {
                return Err(error::LogError::Locked { folder: name })
            }
            Err(fs::TryLockError::Error(error)) => {
                return Err(error::LogError::io("locking", &name)(error))
            }
        }
        let handle = fs::File::open(&path).map_err(error::LogError::io("opening", &name))?;
        // Make the directory entry of the folder itself durable.
        if let Some(parent) = path.parent().filter(|parent| parent.is_dir()) {
            fs::File::open(parent)
                .and_then(|parent| parent.sync_all())
                .map_err(error::LogError::io("fsync of the parent folder", &name))?;
        }
        Ok(Self {
            path,
            handle,
            _lock: lock,
        })
    }
}

impl storage::StorageFile for fs::File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        io::Write::write(self, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.flush()?;
        self.sync_data()
    }
}

impl storage::StorageFolder for DiskFolder {
    type File = fs::File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<fs::File> {
        fs::OpenOptions::new()
            .create(true)
            .truncate(true)
            .write(true)
            .open(self.path.join(name))
    }

    fn open_truncated(&self, name: &str, length: u64) -> io::Result<fs::File> {
        let file = fs::OpenOptions::new()
            .append(true)
            .open(self.path.join(name))?;
        if file.metadata()?.len() != length {
            file.set_len(length)?;
            file.sync_all()?;
        }
        Ok(file)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        self.handle.sync_all()
    }
}
