//! In-memory folder that loses unsynced data in a simulated crash, for tests. Not for: durable
//! data.

use std::{collections, io, sync};

use crate::storage;

/// Unsynced data that is lost in a simulated crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashLoss {
    /// Nothing is lost, as when only the process ends.
    Nothing,
    /// All unsynced data is lost.
    Unsynced,
    /// All but this many unsynced bytes of each file are lost, as after a torn write.
    KeepBytes(usize),
}

#[derive(Clone, Debug, Default)]
struct MemoryBytes {
    data: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Debug, Default)]
struct MemoryDisk {
    names: collections::BTreeMap<String, u64>,
    durable_names: collections::BTreeMap<String, u64>,
    files: collections::BTreeMap<u64, MemoryBytes>,
    next_file: u64,
    capacity: Option<usize>,
    /// Number of fsyncs that succeed before all further ones fail; `None` lets all succeed.
    syncs_left: Option<u64>,
    sync_count: u64,
}

impl MemoryDisk {
    fn file(&mut self, name: &str) -> io::Result<&mut MemoryBytes> {
        let id = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.files
            .get_mut(id)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn check_sync(&mut self) -> io::Result<()> {
        if self.syncs_left == Some(0) {
            return Err(io::Error::other("injected fsync failure"));
        }
        self.syncs_left = self.syncs_left.map(|left| left - 1);
        self.sync_count += 1;
        Ok(())
    }

    fn used(&self) -> usize {
        self.files.values().map(|file| file.data.len()).sum()
    }

    fn remove_unlinked(&mut self) {
        let (names, durable) = (&self.names, &self.durable_names);
        self.files.retain(|id, _| {
            names
                .values()
                .chain(durable.values())
                .any(|used| used == id)
        });
    }
}

/// An in-memory folder; clones share the same contents.
#[derive(Clone, Debug, Default)]
pub struct MemoryFolder {
    disk: sync::Arc<sync::Mutex<MemoryDisk>>,
}

/// A file of a [`MemoryFolder`].
#[derive(Debug)]
pub struct MemoryFile {
    disk: sync::Arc<sync::Mutex<MemoryDisk>>,
    id: u64,
}

fn lock(disk: &sync::Mutex<MemoryDisk>) -> sync::MutexGuard<'_, MemoryDisk> {
    disk.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

impl MemoryFolder {
    /// Simulates a crash; `loss` defines how much unsynced data is lost.
    pub fn crash(&self, loss: CrashLoss) {
        let mut disk = lock(&self.disk);
        if loss == CrashLoss::Nothing {
            return;
        }
        disk.names = disk.durable_names.clone();
        for file in disk.files.values_mut() {
            let kept = match loss {
                CrashLoss::KeepBytes(bytes) => file.durable.len() + bytes,
                _ => file.durable.len(),
            };
            if file.data.starts_with(&file.durable) {
                file.data.truncate(kept);
            } else {
                file.data = file.durable.clone();
            }
            file.durable = file.data.clone();
        }
        disk.remove_unlinked();
    }

    /// Sets the capacity of the disk in bytes; `None` removes the limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        lock(&self.disk).capacity = bytes;
    }

    /// Makes all fsyncs fail after `syncs` more have succeeded; `None` lets all succeed.
    pub fn fail_syncs_after(&self, syncs: Option<u64>) {
        lock(&self.disk).syncs_left = syncs;
    }

    /// Returns the total size of all files in bytes.
    pub fn used(&self) -> usize {
        lock(&self.disk).used()
    }

    /// Returns the number of successful fsyncs.
    pub fn sync_count(&self) -> u64 {
        lock(&self.disk).sync_count
    }

    /// Changes the bytes of a file, to simulate damage on the disk.
    ///
    /// # Errors
    ///
    /// Fails when the file is missing.
    pub fn damage<D>(&self, name: &str, damage: D) -> io::Result<()>
    where
        D: FnOnce(&mut Vec<u8>),
    {
        let mut disk = lock(&self.disk);
        let file = disk.file(name)?;
        damage(&mut file.data);
        file.durable = file.data.clone();
        Ok(())
    }
}

impl storage::StorageFile for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = lock(&self.disk);
        let free = disk
            .capacity
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(disk.used()));
        let fitting = bytes.get(..free.min(bytes.len())).unwrap_or_default();
        if fitting.is_empty() && !bytes.is_empty() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let file = disk
            .files
            .get_mut(&self.id)
            .ok_or(io::ErrorKind::NotFound)?;
        file.data.extend_from_slice(fitting);
        Ok(fitting.len())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut disk = lock(&self.disk);
        disk.check_sync()?;
        let file = disk
            .files
            .get_mut(&self.id)
            .ok_or(io::ErrorKind::NotFound)?;
        let known = file.durable.len();
        let added = file.data.get(known..).unwrap_or_default();
        file.durable.extend_from_slice(added);
        Ok(())
    }
}

impl storage::StorageFolder for MemoryFolder {
    type File = MemoryFile;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(lock(&self.disk).names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        Ok(lock(&self.disk).file(name)?.data.clone())
    }

    fn create(&self, name: &str) -> io::Result<MemoryFile> {
        let mut disk = lock(&self.disk);
        let id = disk.next_file;
        disk.next_file += 1;
        disk.files.insert(id, MemoryBytes::default());
        disk.names.insert(name.to_owned(), id);
        Ok(MemoryFile {
            disk: self.disk.clone(),
            id,
        })
    }

    fn open_truncated(&self, name: &str, length: u64) -> io::Result<MemoryFile> {
        let mut disk = lock(&self.disk);
        let id = *disk.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        let file = disk.file(name)?;
        if file.data.len() != length {
            file.data.truncate(length);
            file.durable = file.data.clone();
            disk.check_sync()?;
        }
        Ok(MemoryFile {
            disk: self.disk.clone(),
            id,
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = lock(&self.disk);
        let id = disk.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.names.insert(to.to_owned(), id);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut disk = lock(&self.disk);
        disk.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        disk.remove_unlinked();
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut disk = lock(&self.disk);
        disk.check_sync()?;
        disk.durable_names = disk.names.clone();
        disk.remove_unlinked();
        Ok(())
    }
}
