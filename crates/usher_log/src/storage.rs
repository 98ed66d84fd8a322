//! Interface to the files of one folder, so that tests can inject faults. Not for: records.

use std::io;

/// An append-only file.
pub trait StorageFile: Send + 'static {
    /// Appends a part of the bytes and returns its length; it is durable only after
    /// [`sync`](StorageFile::sync).
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken; nothing has been written then.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize>;

    /// Appends all bytes.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken; a part may have been written.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut rest = bytes;
        while !rest.is_empty() {
            match self.write(rest) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => rest = rest.get(written..).unwrap_or_default(),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Makes all written bytes durable.
    ///
    /// # Errors
    ///
    /// After a failure it is unknown which bytes are durable, even if a later call succeeds.
    fn sync(&mut self) -> io::Result<()>;
}

/// A flat folder that one process uses at a time.
///
/// New, renamed and removed names are durable only after [`sync`](StorageFolder::sync).
pub trait StorageFolder: Send + Sync + 'static {
    /// Type of the files in the folder.
    type File: StorageFile;

    /// Returns the names of all files.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a complete file.
    ///
    /// # Errors
    ///
    /// Fails when the file is missing or cannot be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, replacing an existing file of that name.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Durably truncates a file to `length` and opens it for appending.
    ///
    /// # Errors
    ///
    /// Fails when the file is missing or the disk is broken.
    fn open_truncated(&self, name: &str, length: u64) -> io::Result<Self::File>;

    /// Renames a file, replacing an existing file of the new name.
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

    /// Makes created, renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk is broken.
    fn sync(&self) -> io::Result<()>;
}
