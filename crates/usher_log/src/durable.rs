//! The log that is written. Not for: deciding when to write.

use std::sync;

use crate::{error, record, replay, segment, snapshot, storage};

/// Name of the file that holds the node's incarnation.
const IDENTITY: &str = "identity";
/// Name under which the identity is written before it is whole.
const IDENTITY_TEMPORARY: &str = "identity.tmp";

/// Limits of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// A new segment is started once the last one is longer, in bytes.
    pub segment_bytes: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1_024 * 1_024,
        }
    }
}

/// Entries, term, vote and snapshots in one folder.
///
/// Changes are collected and become durable together with [`sync`](DurableLog::sync).
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
    /// Segments before the open one.
    closed: Vec<segment::SegmentSpan>,
    /// Highest entry of the open segment.
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
    /// Opens the log of a folder and returns what it holds.
    ///
    /// A folder that is empty gets the incarnation `new`; it then names this life of the node for
    /// as long as the folder exists.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be read or a record is damaged. The end of an unfinished
    /// write in the last segment is no damage and is cut off.
    pub fn open(
        folder: D,
        settings: LogSettings,
        new: usher_types::IncarnationId,
    ) -> Result<(Self, replay::RecoveredLog), error::LogError> {
        let names = folder.list().map_err(error::LogError::io("listing", "."))?;
        let incarnation = load_identity(&folder, &names, new)?;
        let snapshot = snapshot::StoredSnapshot::load(&folder, &names)?;
        let replay = replay::LogReplay::read(&folder, &names)?;
        let (vote, cut) = (replay.vote.clone(), replay.cut.clone());
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
        log.remove_leftovers(&names, snapshot.as_ref().map(|snapshot| snapshot.index));
        let recovered = replay::RecoveredLog {
            vote,
            snapshot,
            entries,
            cut,
        };
        Ok((log, recovered))
    }

    /// Returns the incarnation that the folder holds.
    pub fn incarnation(&self) -> usher_types::IncarnationId {
        self.incarnation
    }

    /// Returns how many segments there are.
    pub fn segment_count(&self) -> usize {
        self.closed.len() + 1
    }

    /// Adds an entry at the end.
    pub fn append(&mut self, entry: &record::LogRecord) {
        entry.encode(&mut self.buffer);
        self.last_index = self.last_index.max(entry.index);
    }

    /// Makes the entries from an index on void.
    pub fn truncate(&mut self, from: u64) {
        record::encode(&mut self.buffer, record::RecordType::Truncate, from, &[]);
    }

    /// Sets term and vote.
    pub fn set_vote(&mut self, vote: &record::VoteRecord) {
        vote.encode(&mut self.buffer);
        self.vote = vote.clone();
    }

    /// Makes all entries void; the log goes on after an index that a snapshot holds.
    fn reset(&mut self, index: u64) {
        record::encode(&mut self.buffer, record::RecordType::Reset, index, &[]);
    }

    /// Makes everything up to now durable, with one fsync however many changes there are.
    ///
    /// # Errors
    ///
    /// After a failure the log refuses all further use: it isn't known what is on disk.
    pub fn sync(&mut self) -> Result<(), error::LogError> {
        self.guard(Self::write_buffer)
    }

    fn write_buffer(&mut self) -> Result<(), error::LogError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        use storage::StorageFile as _;
        let name = segment::name_of(self.segment.sequence);
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
        // One large batch must not keep its memory for good.
        self.buffer.shrink_to(64 * 1_024);
        if self.segment.bytes > self.settings.segment_bytes {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Runs an operation; its failure makes the log unusable.
    fn guard<O>(&mut self, operation: O) -> Result<(), error::LogError>
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

    /// Saves a snapshot of this node's own state and removes the segments that it replaces.
    ///
    /// # Errors
    ///
    /// After a failure the log refuses all further use.
    pub fn save_snapshot(
        &mut self,
        snapshot: &snapshot::StoredSnapshot,
    ) -> Result<(), error::LogError> {
        self.guard(|log| snapshot.write(&*log.folder, snapshot::OWN_TEMPORARY))?;
        self.finish_snapshot(snapshot.index)
    }

    /// Returns a writer by which another thread writes a snapshot beside the log.
    pub fn snapshot_writer(&self) -> snapshot::SnapshotWriter<D> {
        snapshot::SnapshotWriter {
            folder: self.folder.clone(),
        }
    }

    /// Takes a snapshot into use that a [`snapshot_writer`](Self::snapshot_writer) wrote, and
    /// removes the segments that it replaces.
    ///
    /// # Errors
    ///
    /// After a failure the log refuses all further use.
    pub fn finish_snapshot(&mut self, index: u64) -> Result<(), error::LogError> {
        self.guard(|log| {
            // A newer one came from the leader meanwhile.
            if index <= log.snapshot_index {
                return log.remove(snapshot::OWN_TEMPORARY);
            }
            log.write_buffer()?;
            snapshot::publish(&*log.folder, snapshot::OWN_TEMPORARY, index)?;
            log.compact(index)
        })
    }

    /// Saves a snapshot that came from the leader, in place of all entries.
    ///
    /// # Errors
    ///
    /// After a failure the log refuses all further use.
    pub fn install_snapshot(
        &mut self,
        snapshot: &snapshot::StoredSnapshot,
    ) -> Result<(), error::LogError> {
        self.guard(|log| {
            log.write_buffer()?;
            snapshot.write(&*log.folder, snapshot::TEMPORARY)?;
            snapshot::publish(&*log.folder, snapshot::TEMPORARY, snapshot.index)?;
            log.reset(snapshot.index);
            log.write_buffer()?;
            log.compact(snapshot.index)
        })
    }

    /// Removes segments and snapshots that a snapshot replaces.
    fn compact(&mut self, index: u64) -> Result<(), error::LogError> {
        self.snapshot_index = index;
        // The open segment is closed once it is worth it, or it would never be removed.
        if self.segment.bytes > self.settings.segment_bytes / 4 {
            self.start_segment()?;
        }
        let names = self
            .folder
            .list()
            .map_err(error::LogError::io("listing", "."))?;
        for name in &names {
            if snapshot::index_of(name).is_some_and(|old| old < index) {
                self.remove(name)?;
            }
        }
        // Only from the front, so that the numbers stay without a gap.
        while let Some(first) = self.closed.first().copied() {
            if first.last_index > index {
                break;
            }
            self.remove(&segment::name_of(first.sequence))?;
            self.closed.remove(0);
        }
        self.folder
            .sync()
            .map_err(error::LogError::io("fsync of the folder", "."))
    }

    fn remove(&self, name: &str) -> Result<(), error::LogError> {
        self.folder
            .remove(name)
            .map_err(error::LogError::io("removal", name))
    }

    /// Removes files of writes that weren't finished; what stays does no harm.
    fn remove_leftovers(&self, names: &[String], snapshot: Option<u64>) {
        for name in names {
            let old = snapshot::index_of(name).is_some_and(|index| Some(index) < snapshot);
            let temporary = [
                snapshot::TEMPORARY,
                snapshot::OWN_TEMPORARY,
                IDENTITY_TEMPORARY,
            ];
            if old || temporary.contains(&name.as_str()) {
                if let Err(error) = self.folder.remove(name) {
                    tracing::warn!(%error, file = %name, "removing a leftover file failed");
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
        // Power was lost while the segment was created; it never held an entry.
        return segment::OpenSegment::create(folder, last.sequence, vote);
    }
    let name = segment::name_of(last.sequence);
    let mut file = folder
        .open_cut(&name, tail_bytes)
        .map_err(error::LogError::io("opening", &name))?;
    // Bytes that an earlier process wrote may be in memory only; what was read from them counts
    // as durable from now on.
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
    if names.iter().any(|name| name == IDENTITY) {
        let bytes = folder
            .read(IDENTITY)
            .map_err(error::LogError::io("reading", IDENTITY))?;
        let record = record::decode(&bytes)
            .map_err(|reason| error::LogError::corrupt(IDENTITY, 0, reason))?;
        if record.kind != record::RecordType::Identity {
            return Err(error::LogError::corrupt(IDENTITY, 0, "no identity record"));
        }
        return Ok(usher_types::IncarnationId::new(record.index));
    }
    let used =
        |name: &String| segment::sequence_of(name).is_some() || snapshot::index_of(name).is_some();
    if names.iter().any(used) {
        return Err(error::LogError::Missing {
            file: IDENTITY.to_owned(),
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
        .create(IDENTITY_TEMPORARY)
        .map_err(error::LogError::io("creation", IDENTITY_TEMPORARY))?;
    file.write_all(&buffer)
        .map_err(error::LogError::io("writing", IDENTITY_TEMPORARY))?;
    file.sync()
        .map_err(error::LogError::io("fsync", IDENTITY_TEMPORARY))?;
    folder
        .rename(IDENTITY_TEMPORARY, IDENTITY)
        .map_err(error::LogError::io("renaming to", IDENTITY))?;
    folder
        .sync()
        .map_err(error::LogError::io("fsync of the folder", IDENTITY))
}
