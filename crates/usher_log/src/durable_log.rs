//! The durable log: writing, syncing and compaction. Not for: deciding when to write.

use std::sync;

use crate::{error, record, replay, segment, snapshot, storage};

/// Name of the file with the node's incarnation.
const IDENTITY_FILE: &str = "identity";
/// Temporary name of the identity file until it is completely written.
const IDENTITY_TEMPORARY_FILE: &str = "identity.tmp";

/// Limits of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Segment size above which a new segment is started, in bytes.
    pub segment_bytes: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1_024 * 1_024,
        }
    }
}

/// Log entries, term, vote and snapshots in one folder.
///
/// Changes are buffered and become durable together with the next [`sync`](DurableLog::sync).
///
/// ```
/// use usher_log::{DurableLog, LogRecord, LogSettings, MemoryFolder};
/// let new = usher_types::IncarnationId::new(7);
/// let folder = MemoryFolder::default();
/// let (mut log, _) = DurableLog::open(folder.clone(), LogSettings::default(), new)?;
/// log.append(&LogRecord { index: 1, term: 1, kind: 0, payload: b"first".to_vec() });
/// log.sync()?;
/// let (_, recovered) = DurableLog::open(folder, LogSettings::default(), new)?;
/// assert_eq!(recovered.entries.len(), 1);
/// # Ok::<(), usher_log::LogError>(())
/// ```
#[derive(Debug)]
pub struct DurableLog<D>
where
    D: storage::StorageFolder,
{
    folder: sync::Arc<D>,
    settings: LogSettings,
    incarnation: usher_types::IncarnationId,
    vote: record::VoteRecord,
    segment: segment::OpenSegment<D::File>,
    /// Closed segments, in order; the open segment follows them.
    closed: Vec<segment::SegmentSpan>,
    /// Highest index in the open segment.
    last_index: u64,
    /// Index of the newest snapshot.
    snapshot_index: u64,
    buffer: Vec<u8>,
    usable: bool,
}

impl<D> DurableLog<D>
where
    D: storage::StorageFolder,
{
    /// Opens the log of a folder and returns its recovered contents.
    ///
    /// An empty folder is given the incarnation `new`, which identifies the node as long as the
    /// folder exists.
    ///
    /// # Errors
    ///
    /// Fails when the folder cannot be read or a record is damaged. A torn write at the end of the
    /// last segment is not damage and is truncated.
    pub fn open(
        folder: D,
        settings: LogSettings,
        new: usher_types::IncarnationId,
    ) -> Result<(Self, replay::RecoveredLog), error::LogError> {
        let names = folder
            .list()
            .map_err(error::LogError::io("listing", "the data folder"))?;
        let incarnation = load_identity(&folder, &names, new)?;
        let snapshot = snapshot::StoredSnapshot::load(&folder, &names)?;
        let replay = replay::LogReplay::read(&folder, &names)?;
        let (vote, torn_tail) = (replay.vote.clone(), replay.torn_tail.clone());
        let mut spans = replay.spans.clone();
        let tail_bytes = replay.tail_bytes;
        let (entries, reset) = replay.entries_after(snapshot.as_ref())?;
        let last = spans.pop();
        let segment = open_segment(&folder, last, tail_bytes, &vote)?;
        let mut log = Self {
            folder: sync::Arc::new(folder),
            settings,
            incarnation,
            vote: vote.clone(),
            segment,
            closed: spans,
            last_index: last.map_or(0, |span| span.last_index),
            snapshot_index: snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
            buffer: Vec::new(),
            usable: true,
        };
        if let Some(snapshot) = snapshot.as_ref().filter(|_| reset) {
            log.reset(snapshot.index);
            log.sync()?;
        }
        log.remove_stale_files(&names, snapshot.as_ref().map(|snapshot| snapshot.index));
        let recovered = replay::RecoveredLog {
            vote,
            snapshot,
            entries,
            torn_tail,
        };
        Ok((log, recovered))
    }

    /// Returns the incarnation that is stored in the folder.
    pub fn incarnation(&self) -> usher_types::IncarnationId {
        self.incarnation
    }

    /// Returns the number of segments, including the open one.
    pub fn segment_count(&self) -> usize {
        self.closed.len() + 1
    }

    /// Appends an entry.
    pub fn append(&mut self, entry: &record::LogRecord) {
        entry.encode(&mut self.buffer);
        self.last_index = self.last_index.max(entry.index);
    }

    /// Removes all entries from index `from` on.
    pub fn truncate(&mut self, from: u64) {
        record::encode(&mut self.buffer, record::RecordType::Truncate, from, &[]);
    }

    /// Sets the current term and vote.
    pub fn set_vote(&mut self, vote: &record::VoteRecord) {
        vote.encode(&mut self.buffer);
        self.vote = vote.clone();
    }

    /// Removes all entries; the log continues after `index`, which a snapshot covers.
    fn reset(&mut self, index: u64) {
        record::encode(&mut self.buffer, record::RecordType::Reset, index, &[]);
    }

    /// Makes all buffered changes durable with a single fsync.
    ///
    /// # Errors
    ///
    /// After a failure the log rejects all further operations, because the contents of the disk
    /// are unknown.
    pub fn sync(&mut self) -> Result<(), error::LogError> {
        self.run_or_poison(Self::write_buffer)
    }

    fn write_buffer(&mut self) -> Result<(), error::LogError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        use storage::StorageFile as _;
        let name = segment::file_name(self.segment.sequence);
        self.segment
            .file
            .write_all(&self.buffer)
            .map_err(error::LogError::io("writing", &name))?;
        self.segment
            .file
            .sync()
            .map_err(error::LogError::io("fsync", &name))?;
        self.segment.bytes += self.buffer.len() as u64;
        self.buffer.clear();
        // Release the memory of an unusually large batch.
        self.buffer.shrink_to(64 * 1_024);
        if self.segment.bytes > self.settings.segment_bytes {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Runs an operation; a failure makes the log permanently unusable.
    fn run_or_poison<O>(&mut self, operation: O) -> Result<(), error::LogError>
    where
        O: FnOnce(&mut Self) -> Result<(), error::LogError>,
    {
        if !self.usable {
            return Err(error::LogError::Unusable);
        }
        self.usable = false;
        operation(self)?;
        self.usable = true;
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), error::LogError> {
        let sequence = self.segment.sequence + 1;
        let next = segment::OpenSegment::create(&*self.folder, sequence, &self.vote)?;
        self.closed.push(segment::SegmentSpan {
            sequence: self.segment.sequence,
            last_index: self.last_index,
        });
        self.segment = next;
        self.last_index = 0;
        Ok(())
    }

    /// Saves a snapshot and removes the segments that it covers; entries after it are kept.
    ///
    /// # Errors
    ///
    /// After a failure the log rejects all further operations.
    pub fn save_snapshot(
        &mut self,
        snapshot: &snapshot::StoredSnapshot,
    ) -> Result<(), error::LogError> {
        self.run_or_poison(|log| snapshot.write(&*log.folder, snapshot::OWN_TEMPORARY_FILE))?;
        self.publish_snapshot(snapshot.index)
    }

    /// Returns a writer with which another thread can write a snapshot concurrently with the log.
    pub fn snapshot_writer(&self) -> snapshot::SnapshotWriter<D> {
        snapshot::SnapshotWriter {
            folder: self.folder.clone(),
        }
    }

    /// Publishes a snapshot that a [`snapshot_writer`](Self::snapshot_writer) wrote, and removes
    /// the segments that it covers.
    ///
    /// # Errors
    ///
    /// After a failure the log rejects all further operations.
    pub fn publish_snapshot(&mut self, index: u64) -> Result<(), error::LogError> {
        self.run_or_poison(|log| {
            // A newer snapshot from the leader has been installed in the meantime.
            if index <= log.snapshot_index {
                return log.remove(snapshot::OWN_TEMPORARY_FILE);
            }
            log.write_buffer()?;
            snapshot::publish(&*log.folder, snapshot::OWN_TEMPORARY_FILE, index)?;
            log.compact(index)
        })
    }

    /// Installs a snapshot received from the leader, replacing all entries.
    ///
    /// # Errors
    ///
    /// After a failure the log rejects all further operations.
    pub fn install_snapshot(
        &mut self,
        snapshot: &snapshot::StoredSnapshot,
    ) -> Result<(), error::LogError> {
        self.run_or_poison(|log| {
            log.write_buffer()?;
            snapshot.write(&*log.folder, snapshot::LEADER_TEMPORARY_FILE)?;
            snapshot::publish(
                &*log.folder,
                snapshot::LEADER_TEMPORARY_FILE,
                snapshot.index,
            )?;
            log.reset(snapshot.index);
            log.write_buffer()?;
            log.compact(snapshot.index)
        })
    }

    /// Removes segments and snapshots that are covered by the snapshot at `index`.
    fn compact(&mut self, index: u64) -> Result<(), error::LogError> {
        self.snapshot_index = index;
        // Close the open segment if it is large enough; an open segment is never removed.
        if self.segment.bytes > self.settings.segment_bytes / 4 {
            self.start_segment()?;
        }
        let names = self
            .folder
            .list()
            .map_err(error::LogError::io("listing", "the data folder"))?;
        for name in &names {
            if snapshot::index_of(name).is_some_and(|old| old < index) {
                self.remove(name)?;
            }
        }
        // Remove segments only from the front, so that their numbers stay contiguous.
        while let Some(first) = self.closed.first().copied() {
            if first.last_index > index {
                break;
            }
            self.remove(&segment::file_name(first.sequence))?;
            self.closed.remove(0);
        }
        self.folder
            .sync()
            .map_err(error::LogError::io("fsync", "the data folder"))
    }

    fn remove(&self, name: &str) -> Result<(), error::LogError> {
        self.folder
            .remove(name)
            .map_err(error::LogError::io("removal", name))
    }

    /// Removes older snapshots and temporary files of interrupted writes; files that cannot be
    /// removed do no harm.
    fn remove_stale_files(&self, names: &[String], snapshot: Option<u64>) {
        for name in names {
            let old = snapshot::index_of(name).is_some_and(|index| Some(index) < snapshot);
            let temporary = [
                snapshot::LEADER_TEMPORARY_FILE,
                snapshot::OWN_TEMPORARY_FILE,
                IDENTITY_TEMPORARY_FILE,
            ];
            if old || temporary.contains(&name.as_str()) {
                if let Err(error) = self.folder.remove(name) {
                    tracing::warn!(%error, file = %name, "removing a stale file failed");
                }
            }
        }
    }
}

fn open_segment<D>(
    folder: &D,
    last: Option<segment::SegmentSpan>,
    tail_bytes: u64,
    vote: &record::VoteRecord,
) -> Result<segment::OpenSegment<D::File>, error::LogError>
where
    D: storage::StorageFolder,
{
    use storage::StorageFile as _;
    let Some(last) = last else {
        return segment::OpenSegment::create(folder, 1, vote);
    };
    if tail_bytes == 0 {
        // The creation of the segment was interrupted; it never held an entry.
        return segment::OpenSegment::create(folder, last.sequence, vote);
    }
    let name = segment::file_name(last.sequence);
    let mut file = folder
        .open_truncated(&name, tail_bytes)
        .map_err(error::LogError::io("opening", &name))?;
    // Bytes that an earlier process wrote may still be only in the page cache. They were read as
    // part of the log, so they must be durable from now on.
    file.sync().map_err(error::LogError::io("fsync", &name))?;
    folder
        .sync()
        .map_err(error::LogError::io("fsync of the folder", &name))?;
    Ok(segment::OpenSegment {
        sequence: last.sequence,
        file,
        bytes: tail_bytes,
    })
}

fn load_identity<D>(
    folder: &D,
    names: &[String],
    new: usher_types::IncarnationId,
) -> Result<usher_types::IncarnationId, error::LogError>
where
    D: storage::StorageFolder,
{
    if names.iter().any(|name| name == IDENTITY_FILE) {
        let bytes = folder
            .read(IDENTITY_FILE)
            .map_err(error::LogError::io("reading", IDENTITY_FILE))?;
        let record = record::decode(&bytes)
            .map_err(|reason| error::LogError::corrupt(IDENTITY_FILE, 0, reason))?;
        if record.kind != record::RecordType::Identity {
            return Err(error::LogError::corrupt(
                IDENTITY_FILE,
                0,
                format!("record type is {:?}, expected Identity", record.kind),
            ));
        }
        return Ok(usher_types::IncarnationId::new(record.index));
    }
    let used =
        |name: &String| segment::sequence_of(name).is_some() || snapshot::index_of(name).is_some();
    if names.iter().any(used) {
        return Err(error::LogError::Missing {
            file: IDENTITY_FILE.to_owned(),
            reason: "the folder holds a log".to_owned(),
        });
    }
    save_identity(folder, new)?;
    Ok(new)
}

fn save_identity<D>(folder: &D, new: usher_types::IncarnationId) -> Result<(), error::LogError>
where
    D: storage::StorageFolder,
{
    use storage::StorageFile as _;
    let mut buffer = Vec::new();
    record::encode(&mut buffer, record::RecordType::Identity, new.get(), &[]);
    let mut file = folder
        .create(IDENTITY_TEMPORARY_FILE)
        .map_err(error::LogError::io("creation", IDENTITY_TEMPORARY_FILE))?;
    file.write_all(&buffer)
        .map_err(error::LogError::io("writing", IDENTITY_TEMPORARY_FILE))?;
    file.sync()
        .map_err(error::LogError::io("fsync", IDENTITY_TEMPORARY_FILE))?;
    folder
        .rename(IDENTITY_TEMPORARY_FILE, IDENTITY_FILE)
        .map_err(error::LogError::io(
            "renaming of the temporary file",
            IDENTITY_FILE,
        ))?;
    folder
        .sync()
        .map_err(error::LogError::io("fsync of the folder", IDENTITY_FILE))
}
