//! Files of one folder as an interface, so that tests can inject faults. Not for: records.

use std::io;

/// A file that is written at its end.
pub trait StorageFile: Send + 'static {
    /// Writes bytes at the end; they are durable only after [`sync`](StorageFile::sync).
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken; a part may have been written.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything written durable.
    ///
    /// # Errors
    ///
    /// After a failure it isn't known what is durable, and a second call proves nothing.
    fn sync(&mut self) -> io::Result<()>;
}

/// A flat folder that one process uses at a time.
///
/// New, renamed and removed names are durable only after [`sync`](StorageFolder::sync).
pub trait StorageFolder: Send + Sync + 'static {
    /// Type of its files.
    type File: StorageFile;

    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Fails when the file is missing or can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, replacing one of that name.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Cuts a file to a length, durably, and opens it for writing at its end.
    ///
    /// # Errors
    ///
    /// Fails when the file is missing or the disk is broken.
    fn open_cut(&self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Renames a file, replacing one of the new name.
    ///
    /// # Errors
    ///
    /// Fails when the file is missing or the disk is broken.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Fails when the file is missing or the disk is broken.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes changed names durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk is broken.
    fn sync(&self) -> io::Result<()>;
}
