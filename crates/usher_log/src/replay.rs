//! Reads the log back. Not for: writing, but for saying where writing goes on.

use crate::{error, record, segment, snapshot, storage};

/// The end of a write that power was lost in; it was never acknowledged and is removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CutTail {
    /// The file.
    pub file: String,
    /// Where the file was cut.
    pub offset: u64,
    /// How many bytes were removed.
    pub bytes: u64,
}

/// What the log held when it was opened.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecoveredLog {
    /// Term and vote.
    pub vote: record::VoteRecord,
    /// The newest snapshot.
    pub snapshot: Option<snapshot::StoredSnapshot>,
    /// Entries behind the snapshot, without a gap.
    pub entries: Vec<record::LogRecord>,
    /// What was cut off at the end.
    pub cut: Option<CutTail>,
}

/// Rebuilds the log from its records, in order.
#[derive(Debug, Default)]
pub(crate) struct LogReplay {
    pub(crate) vote: record::VoteRecord,
    /// Index before the first entry, once known.
    base: Option<u64>,
    entries: Vec<record::LogRecord>,
    pub(crate) spans: Vec<segment::SegmentSpan>,
    /// Length of the last segment's whole records.
    pub(crate) tail_bytes: u64,
    pub(crate) cut: Option<CutTail>,
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
        for (place, sequence) in sequences.iter().enumerate() {
            let expected = sequences.first().map_or(0, |first| first + place as u64);
            if *sequence != expected {
                return Err(error::LogError::Missing {
                    file: segment::name_of(expected),
                    reason: "a later segment is there".to_owned(),
                });
            }
            let last = place + 1 == sequences.len();
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
        let name = segment::name_of(sequence);
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
                    self.take(sequence, offset, &record)
                        .map_err(|reason| error::LogError::corrupt(&name, offset, reason))?;
                    offset += record.size();
                    has_vote |= record.kind == record::RecordType::Vote;
                }
                Err(reason) => {
                    self.check_tail(&name, rest, offset, last, reason)?;
                    break;
                }
            }
        }
        // A segment without its vote was cut off while it was created. It is made again, or the
        // vote would be lost once the earlier segments are removed.
        self.tail_bytes = if has_vote { offset as u64 } else { 0 };
        Ok(())
    }

    /// Accepts damaged bytes only where an unfinished write leaves them: in the last segment with
    /// no whole record behind.
    fn check_tail(
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
        // A damaged length could make a record in the middle look like one that is cut off.
        let later = rest.get(1..).and_then(record::find);
        if let Some(later) = later {
            let reason = format!(
                "{reason}, but a whole record follows at {}",
                offset + 1 + later
            );
            return Err(error::LogError::corrupt(name, offset, reason));
        }
        self.cut = Some(CutTail {
            file: name.to_owned(),
            offset: offset as u64,
            bytes: rest.len() as u64,
        });
        Ok(())
    }

    fn take(
        &mut self,
        sequence: u64,
        offset: usize,
        record: &record::RawRecord<'_>,
    ) -> Result<(), String> {
        let short = || "record is too short for its type".to_owned();
        if (offset == 0) != (record.kind == record::RecordType::Header) {
            return Err("segment header is not first, or missing".to_owned());
        }
        match record.kind {
            record::RecordType::Header => Self::check_header(sequence, record),
            record::RecordType::Entry => {
                self.take_entry(record::LogRecord::decode(record).ok_or_else(short)?)
            }
            record::RecordType::Truncate => {
                self.truncate(record.index);
                Ok(())
            }
            record::RecordType::Vote => {
                let vote = record::VoteRecord::decode(record).ok_or_else(short)?;
                if vote.term < self.vote.term {
                    return Err(format!("term goes back to {}", vote.term));
                }
                self.vote = vote;
                Ok(())
            }
            record::RecordType::Reset => {
                self.entries.clear();
                self.base = Some(record.index);
                Ok(())
            }
            record::RecordType::Snapshot | record::RecordType::Identity => {
                Err("record type does not belong into a segment".to_owned())
            }
        }
    }

    fn check_header(sequence: u64, record: &record::RawRecord<'_>) -> Result<(), String> {
        let version = record::read_u32(record.payload);
        if version != Some(record::FORMAT_VERSION) {
            return Err(format!("format version {version:?} is not supported"));
        }
        if record.index != sequence {
            return Err(format!("segment number is {}", record.index));
        }
        Ok(())
    }

    fn take_entry(&mut self, entry: record::LogRecord) -> Result<(), String> {
        let base = *self.base.get_or_insert(entry.index.saturating_sub(1));
        let expected = base + self.entries.len() as u64 + 1;
        if entry.index != expected {
            return Err(format!("entry {} where {expected} belongs", entry.index));
        }
        if let Some(span) = self.spans.last_mut() {
            span.last_index = span.last_index.max(entry.index);
        }
        self.entries.push(entry);
        Ok(())
    }

    fn truncate(&mut self, from: u64) {
        // Entries before the first one in memory belonged to segments that were removed.
        let keep = self
            .base
            .map_or(0, |base| from.saturating_sub(base.saturating_add(1)));
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        if self.base.is_some_and(|base| from <= base) {
            self.base = None;
        }
    }

    /// Returns the entries behind a snapshot, and whether the log must be reset to its index.
    pub(crate) fn entries_after(
        self,
        snapshot: Option<&snapshot::StoredSnapshot>,
    ) -> Result<(Vec<record::LogRecord>, bool), error::LogError> {
        let (index, term) = snapshot.map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let base = self.base.unwrap_or(index);
        if base > index && !self.entries.is_empty() {
            return Err(error::LogError::Missing {
                file: snapshot::name_of(base),
                reason: format!("the log starts after {base}, the snapshot ends at {index}"),
            });
        }
        let last = base + self.entries.len() as u64;
        // After a crash between the two writes of a leader's snapshot the log still holds
        // entries that the snapshot replaced.
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
