//! Snapshot files, replaced atomically. Not for: the contents of a snapshot.

use std::sync;

use crate::{error, record, storage};

const PREFIX: &str = "snapshot-";
const SUFFIX: &str = ".snap";

/// Temporary name of a snapshot from the leader until it is completely written.
pub(crate) const LEADER_TEMPORARY_FILE: &str = "snapshot.tmp";
/// Temporary name of a snapshot of this node's own state, which may be written at the same time.
pub(crate) const OWN_TEMPORARY_FILE: &str = "own-snapshot.tmp";

/// State up to a log index; its contents are opaque to this crate.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredSnapshot {
    /// Last index that the state includes.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Encoded membership at that index.
    pub membership: Vec<u8>,
    /// Encoded state.
    pub data: Vec<u8>,
}

pub(crate) fn file_name(index: u64) -> String {
    format!("{PREFIX}{index:020}{SUFFIX}")
}

pub(crate) fn index_of(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?
        .strip_suffix(SUFFIX)?
        .parse()
        .ok()
}

impl StoredSnapshot {
    fn encode(&self) -> Vec<u8> {
        let mut buffer = Vec::with_capacity(record::HEADER_BYTES + self.data.len() + 64);
        let length = u32::try_from(self.membership.len()).unwrap_or(u32::MAX);
        let parts = [
            &self.term.to_le_bytes()[..],
            &length.to_le_bytes(),
            &self.membership,
            &self.data,
        ];
        record::encode(
            &mut buffer,
            record::RecordType::Snapshot,
            self.index,
            &parts,
        );
        buffer
    }

    fn decode(bytes: &[u8]) -> Result<Self, &'static str> {
        let record = record::decode(bytes)?;
        if record.kind != record::RecordType::Snapshot || record.size() != bytes.len() {
            return Err("file is not a single snapshot record");
        }
        let parse = || {
            let length = record::read_u32(record.payload.get(8..)?)?;
            let rest = record.payload.get(12..)?;
            let length = usize::try_from(length).ok()?;
            Some(Self {
                index: record.index,
                term: record::read_u64(record.payload)?,
                membership: rest.get(..length)?.to_vec(),
                data: rest.get(length..)?.to_vec(),
            })
        };
        parse().ok_or("snapshot record is too short")
    }

    /// Reads the newest snapshot of a folder.
    pub(crate) fn load<D>(folder: &D, names: &[String]) -> Result<Option<Self>, error::LogError>
    where
        D: storage::StorageFolder,
    {
        let Some(index) = names.iter().filter_map(|name| index_of(name)).max() else {
            return Ok(None);
        };
        let name = file_name(index);
        let bytes = folder
            .read(&name)
            .map_err(error::LogError::io("reading", &name))?;
        let snapshot =
            Self::decode(&bytes).map_err(|reason| error::LogError::corrupt(&name, 0, reason))?;
        if snapshot.index != index {
            return Err(error::LogError::corrupt(
                &name,
                0,
                format!("snapshot has index {}, expected {index}", snapshot.index),
            ));
        }
        Ok(Some(snapshot))
    }

    /// Writes and syncs the snapshot under a temporary name.
    pub(crate) fn write<D>(&self, folder: &D, temporary: &str) -> Result<(), error::LogError>
    where
        D: storage::StorageFolder,
    {
        use storage::StorageFile as _;
        let mut file = folder
            .create(temporary)
            .map_err(error::LogError::io("creation", temporary))?;
        file.write_all(&self.encode())
            .map_err(error::LogError::io("writing", temporary))?;
        file.sync().map_err(error::LogError::io("fsync", temporary))
    }
}

/// Renames a written snapshot to its final name. After a crash, either this snapshot or the
/// previous one exists.
pub(crate) fn publish<D>(folder: &D, temporary: &str, index: u64) -> Result<(), error::LogError>
where
    D: storage::StorageFolder,
{
    let name = file_name(index);
    folder
        .rename(temporary, &name)
        .map_err(error::LogError::io("renaming of the temporary file", &name))?;
    folder
        .sync()
        .map_err(error::LogError::io("fsync of the folder", &name))
}

/// Writes snapshots of this node's own state on another thread, concurrently with the log.
///
/// Writing a large snapshot on the log thread would delay the entries.
#[derive(Debug)]
pub struct SnapshotWriter<D> {
    pub(crate) folder: sync::Arc<D>,
}

impl<D> SnapshotWriter<D>
where
    D: storage::StorageFolder,
{
    /// Writes and syncs a snapshot. It takes effect when the log publishes it, see
    /// [`publish_snapshot`](crate::DurableLog::publish_snapshot).
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken. After a failure for lack of room, the partly written
    /// file is removed, so that the log can use its room, and the snapshot can be written again.
    pub fn write(&self, snapshot: &StoredSnapshot) -> Result<(), error::LogError> {
        let written = snapshot.write(&*self.folder, OWN_TEMPORARY_FILE);
        if written.as_ref().is_err_and(error::LogError::is_full) {
            let removed = self.folder.remove(OWN_TEMPORARY_FILE);
            if let Err(error) = removed {
                tracing::warn!(%error, "removing a partly written snapshot failed");
            }
        }
        written
    }
}
