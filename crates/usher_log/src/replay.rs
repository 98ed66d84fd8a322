//! Recovery of the log from its segments when it is opened. Not for: writing.

use crate::{error, record, segment, snapshot, storage};

/// A torn write at the end of the log; it was never acknowledged and is removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TornTail {
    /// The file.
    pub file: String,
    /// Offset at which the file was truncated.
    pub offset: u64,
    /// Number of removed bytes.
    pub bytes: u64,
}

/// Contents of the log when it was opened.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecoveredLog {
    /// Term and vote.
    pub vote: record::VoteRecord,
    /// The newest snapshot.
    pub snapshot: Option<snapshot::StoredSnapshot>,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<record::LogRecord>,
    /// Torn write that was removed at the end, if there was one.
    pub torn_tail: Option<TornTail>,
}

/// Rebuilds the log by applying its records in order.
#[derive(Debug, Default)]
pub(crate) struct LogReplay {
    pub(crate) vote: record::VoteRecord,
    /// Index before the first entry, if known.
    base: Option<u64>,
    entries: Vec<record::LogRecord>,
    pub(crate) spans: Vec<segment::SegmentSpan>,
    /// Total size of the complete records in the last segment, in bytes; 0 if the segment must be
    /// created again.
    pub(crate) tail_bytes: u64,
    pub(crate) torn_tail: Option<TornTail>,
}

impl LogReplay {
    /// Reads all segments of a folder.
    pub(crate) fn read<D>(folder: &D, names: &[String]) -> Result<Self, error::LogError>
    where
        D: storage::StorageFolder,
    {
        let mut sequences: Vec<u64> = names
            .iter()
            .filter_map(|name| segment::sequence_of(name))
            .collect();
        sequences.sort_unstable();
        let mut replay = Self::default();
        for (position, sequence) in sequences.iter().enumerate() {
            let expected = sequences.first().map_or(0, |first| first + position as u64);
            if *sequence != expected {
                return Err(error::LogError::Missing {
                    file: segment::file_name(expected),
                    reason: "a later segment exists".to_owned(),
                });
            }
            let last = position + 1 == sequences.len();
            replay.read_segment(folder, *sequence, last)?;
        }
        Ok(replay)
    }

    fn read_segment<D>(
        &mut self,
        folder: &D,
        sequence: u64,
        last: bool,
    ) -> Result<(), error::LogError>
    where
        D: storage::StorageFolder,
    {
        let name = segment::file_name(sequence);
        let bytes = folder
            .read(&name)
            .map_err(error::LogError::io("reading", &name))?;
        self.spans.push(segment::SegmentSpan {
            sequence,
            last_index: 0,
        });
        let mut offset = 0;
        let mut has_vote = false;
        while let Some(rest) = bytes.get(offset..).filter(|rest| !rest.is_empty()) {
            match record::decode(rest) {
                Ok(record) => {
                    self.apply_record(sequence, offset, &record)
                        .map_err(|reason| error::LogError::corrupt(&name, offset, reason))?;
                    offset += record.size();
                    has_vote |= record.kind == record::RecordType::Vote;
                }
                Err(reason) => {
                    self.check_torn_tail(&name, rest, offset, last, reason)?;
                    break;
                }
            }
        }
        // The creation of a segment without a vote was interrupted. The segment is created again;
        // otherwise the vote would be lost when the earlier segments are removed.
        self.tail_bytes = if has_vote { offset as u64 } else { 0 };
        Ok(())
    }

    /// Accepts damaged bytes only where a torn write leaves them: in the last segment, with no
    /// complete record after them.
    fn check_torn_tail(
        &mut self,
        name: &str,
        rest: &[u8],
        offset: usize,
        last: bool,
        reason: &str,
    ) -> Result<(), error::LogError> {
        if !last {
            return Err(error::LogError::corrupt(name, offset, reason));
        }
        // A damaged length can make a record in the middle look truncated.
        let later = rest.get(1..).and_then(record::find);
        if let Some(later) = later {
            let reason = format!(
                "{reason}, but a complete record follows at offset {}",
                offset + 1 + later
            );
            return Err(error::LogError::corrupt(name, offset, reason));
        }
        self.torn_tail = Some(TornTail {
            file: name.to_owned(),
            offset: offset as u64,
            bytes: rest.len() as u64,
        });
        Ok(())
    }

    fn apply_record(
        &mut self,
        sequence: u64,
        offset: usize,
        record: &record::RawRecord<'_>,
    ) -> Result<(), String> {
        let too_short = || "record is too short for its type".to_owned();
        if (offset == 0) != (record.kind == record::RecordType::Header) {
            return Err("segment header is missing or not the first record".to_owned());
        }
        match record.kind {
            record::RecordType::Header => Self::check_header(sequence, record),
            record::RecordType::Entry => {
                self.apply_entry(record::LogRecord::decode(record).ok_or_else(too_short)?)
            }
            record::RecordType::Truncate => {
                self.truncate(record.index);
                Ok(())
            }
            record::RecordType::Vote => {
                let vote = record::VoteRecord::decode(record).ok_or_else(too_short)?;
                if vote.term < self.vote.term {
                    return Err(format!(
                        "term decreases from {} to {}",
                        self.vote.term, vote.term
                    ));
                }
                self.vote = vote;
                Ok(())
            }
            record::RecordType::Reset => {
                self.entries.clear();
                self.base = Some(record.index);
                Ok(())
            }
            record::RecordType::Snapshot | record::RecordType::Identity => Err(format!(
                "record type {:?} is not allowed in a segment",
                record.kind
            )),
        }
    }

    fn check_header(sequence: u64, record: &record::RawRecord<'_>) -> Result<(), String> {
        let version = record::read_u32(record.payload);
        if version != Some(record::FORMAT_VERSION) {
            return Err(format!(
                "format version {version:?} is not supported, expected {}",
                record::FORMAT_VERSION
            ));
        }
        if record.index != sequence {
            return Err(format!(
                "segment header has number {}, expected {sequence}",
                record.index
            ));
        }
        Ok(())
    }

    fn apply_entry(&mut self, entry: record::LogRecord) -> Result<(), String> {
        let base = *self.base.get_or_insert(entry.index.saturating_sub(1));
        let expected = base + self.entries.len() as u64 + 1;
        if entry.index != expected {
            return Err(format!(
                "entry has index {}, expected {expected}",
                entry.index
            ));
        }
        if let Some(span) = self.spans.last_mut() {
            span.last_index = span.last_index.max(entry.index);
        }
        self.entries.push(entry);
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        // Entries before the base belong to segments that were removed by compaction.
        let keep = self
            .base
            .map_or(0, |base| from.saturating_sub(base.saturating_add(1)));
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        if self.base.is_some_and(|base| from <= base) {
            self.base = None;
        }
    }

    /// Returns the entries after a snapshot, and whether the log must be reset to its index.
    pub(crate) fn entries_after(
        self,
        snapshot: Option<&snapshot::StoredSnapshot>,
    ) -> Result<(Vec<record::LogRecord>, bool), error::LogError> {
        let (index, term) = snapshot.map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let base = self.base.unwrap_or(index);
        if base > index && !self.entries.is_empty() {
            return Err(error::LogError::Missing {
                file: snapshot::file_name(base),
                reason: format!("the log starts after {base}, the snapshot ends at {index}"),
            });
        }
        let last = base + self.entries.len() as u64;
        // After a crash between the two writes of a snapshot installation, the log still holds
        // entries that the snapshot replaces.
        let replaced = self
            .entries
            .iter()
            .any(|entry| entry.index == index && entry.term != term);
        if replaced || last != index && last < index || base > index {
            return Ok((Vec::new(), true));
        }
        let entries = self.entries.into_iter();
        Ok((entries.filter(|entry| entry.index > index).collect(), false))
    }
}
