//! Waits for room on a full disk instead of failing. Not for: other failures of a disk.

use std::{io, sync, time};

use crate::{snapshot, storage};

/// Pause before the first attempt to write to a full disk again; doubles with each attempt.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Longest pause between two attempts to write to a full disk.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Returns whether an operation failed for lack of room.
pub(crate) fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}

#[derive(Debug, Default, Eq, PartialEq)]
enum WaitMode {
    /// Writes to a full disk fail.
    #[default]
    Fail,
    /// Writes to a full disk wait for room.
    Wait,
}

/// Decides how long the writers of a folder wait for room; shared by all of them.
#[derive(Clone, Debug, Default)]
pub struct DiskRoom {
    shared: sync::Arc<(sync::Mutex<WaitMode>, sync::Condvar)>,
}

impl DiskRoom {
    /// Makes writes wait for room from now on.
    pub fn begin_waiting(&self) {
        *self.lock() = WaitMode::Wait;
    }

    /// Makes all waiting and later writes to a full disk fail.
    pub fn end_waiting(&self) {
        *self.lock() = WaitMode::Fail;
        self.shared.1.notify_all();
    }

    /// Waits for a time; returns whether another attempt should follow.
    pub fn wait(&self, pause: time::Duration) -> bool {
        let mode = self.lock();
        let waits = |mode: &mut WaitMode| *mode == WaitMode::Wait;
        let waited = self.shared.1.wait_timeout_while(mode, pause, waits);
        let (mode, _) = waited.unwrap_or_else(sync::PoisonError::into_inner);
        *mode == WaitMode::Wait
    }

    /// Repeats an operation for as long as the disk is full.
    fn retry<T>(&self, name: &str, mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        let mut pause = FIRST_PAUSE;
        let mut attempts = 0_u32;
        loop {
            let result = operation();
            if !result.as_ref().is_err_and(is_full) {
                if attempts > 0 {
                    tracing::info!(file = %name, attempts, "the disk takes writes again");
                }
                return result;
            }
            if attempts == 0 {
                tracing::warn!(file = %name, "the disk is full; waiting for room");
            }
            attempts += 1;
            if !self.wait(pause) {
                return result;
            }
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, WaitMode> {
        let mode = self.shared.0.lock();
        mode.unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A folder whose writes wait while its disk is full.
///
/// A write continues behind the bytes that the disk has taken. A snapshot of the node's own state
/// fails at once: it can be written again later, and its partly written file takes room that the
/// log needs.
#[derive(Debug)]
pub struct RoomFolder<D> {
    folder: D,
    room: DiskRoom,
}

impl<D> RoomFolder<D>
where
    D: storage::StorageFolder,
{
    /// Wraps a folder. Writes wait only after [`DiskRoom::begin_waiting`].
    pub fn new(folder: D, room: DiskRoom) -> Self {
        Self { folder, room }
    }
}

/// A file of a [`RoomFolder`].
#[derive(Debug)]
pub struct RoomFile<F> {
    file: F,
    name: String,
    /// `None` when writes to a full disk fail at once.
    room: Option<DiskRoom>,
}

impl<F> storage::StorageFile for RoomFile<F>
where
    F: storage::StorageFile,
{
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let file = &mut self.file;
        match &self.room {
            Some(room) => room.retry(&self.name, || file.write(bytes)),
            None => file.write(bytes),
        }
    }

    /// Isn't repeated: after a failure it is unknown which bytes are durable.
    fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }
}

impl<D> storage::StorageFolder for RoomFolder<D>
where
    D: storage::StorageFolder,
{
    type File = RoomFile<D::File>;

    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.folder.read(name)
    }

    fn create(&self, name: &str) -> io::Result<Self::File> {
        let room = (name != snapshot::OWN_TEMPORARY_FILE).then(|| self.room.clone());
        let file = match &room {
            Some(room) => room.retry(name, || self.folder.create(name)),
            None => self.folder.create(name),
        };
        Ok(RoomFile {
            file: file?,
            name: name.to_owned(),
            room,
        })
    }

    fn open_truncated(&self, name: &str, length: u64) -> io::Result<Self::File> {
        Ok(RoomFile {
            file: self.folder.open_truncated(name, length)?,
            name: name.to_owned(),
            room: Some(self.room.clone()),
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.room.retry(to, || self.folder.rename(from, to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.room.retry(name, || self.folder.remove(name))
    }

    fn sync(&self) -> io::Result<()> {
        self.folder.sync()
    }
}
