//! Format of a record, little-endian; the length is that of the payload:
//! `[u32 length][u32 crc32 of type+index+payload][u8 type][u64 index][payload]`. Not for: files.

/// Size of a record before its payload, in bytes.
pub(crate) const HEADER_BYTES: usize = 17;

/// Offset in a record at which the checksummed part starts.
const CHECKSUM_START: usize = 8;

/// Version of the file format.
pub(crate) const FORMAT_VERSION: u32 = 1;

usher_types::value_type! {
    pub(crate) enum RecordType {
        /// A log entry.
        Entry,
        /// Removes the entries from the index on.
        Truncate,
        /// Term and vote.
        Vote,
        /// Removes all entries; the log continues after the index.
        Reset,
        /// First record of a segment, with the format version.
        Header,
        /// The only record of a snapshot file.
        Snapshot,
        /// The node's incarnation.
        Identity,
    }
}

impl RecordType {
    fn number(self) -> u8 {
        self as u8 + 1
    }

    fn from_number(number: u8) -> Option<Self> {
        let all = [
            Self::Entry,
            Self::Truncate,
            Self::Vote,
            Self::Reset,
            Self::Header,
            Self::Snapshot,
            Self::Identity,
        ];
        all.get(usize::from(number).checked_sub(1)?).copied()
    }
}

/// A log entry; its payload is opaque to this crate.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogRecord {
    /// Index in the log, starting at 1.
    pub index: u64,
    /// Term of the entry.
    pub term: u64,
    /// Kind of the entry, opaque to this crate.
    pub kind: u8,
    /// Contents of the entry.
    pub payload: Vec<u8>,
}

/// Current term and vote.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VoteRecord {
    /// Current term.
    pub term: u64,
    /// Name and incarnation of the candidate that received this node's vote in that term.
    pub vote: Option<(String, u64)>,
}

/// A record as it is stored in a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct RawRecord<'b> {
    pub(crate) kind: RecordType,
    pub(crate) index: u64,
    pub(crate) payload: &'b [u8],
}

impl RawRecord<'_> {
    /// Returns the size of the record in bytes.
    pub(crate) fn size(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Appends a record to a buffer.
pub(crate) fn encode(buffer: &mut Vec<u8>, kind: RecordType, index: u64, payload: &[&[u8]]) {
    let start = buffer.len();
    let length: usize = payload.iter().map(|part| part.len()).sum();
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&[0; 4]);
    buffer.push(kind.number());
    buffer.extend_from_slice(&index.to_le_bytes());
    for part in payload {
        buffer.extend_from_slice(part);
    }
    let checksum = crc32fast::hash(buffer.get(start + CHECKSUM_START..).unwrap_or_default());
    if let Some(field) = buffer.get_mut(start + 4..start + CHECKSUM_START) {
        field.copy_from_slice(&checksum.to_le_bytes());
    }
}

/// Decodes the record at the start of the bytes.
///
/// # Errors
///
/// Returns a description of the damage.
pub(crate) fn decode(bytes: &[u8]) -> Result<RawRecord<'_>, &'static str> {
    let header = bytes
        .get(..HEADER_BYTES)
        .ok_or("record header is truncated")?;
    let length = read_u32(header).unwrap_or_default();
    let end = usize::try_from(length)
        .ok()
        .and_then(|length| length.checked_add(HEADER_BYTES))
        .ok_or("record length is out of range")?;
    let record = bytes.get(..end).ok_or("record is truncated")?;
    let kind = header
        .get(CHECKSUM_START)
        .and_then(|number| RecordType::from_number(*number))
        .ok_or("record type is unknown")?;
    let checked = record.get(CHECKSUM_START..).unwrap_or_default();
    let expected = read_u32(record.get(4..).unwrap_or_default());
    if expected != Some(crc32fast::hash(checked)) {
        return Err("checksum does not match");
    }
    Ok(RawRecord {
        kind,
        index: read_u64(checked.get(1..).unwrap_or_default()).unwrap_or_default(),
        payload: record.get(HEADER_BYTES..).unwrap_or_default(),
    })
}

/// Returns the offset of the first complete record in the bytes, if there is one.
pub(crate) fn find(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find(|start| decode(bytes.get(*start..).unwrap_or_default()).is_ok())
}

pub(crate) fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?))
}

pub(crate) fn read_u64(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(..8)?.try_into().ok()?))
}

impl LogRecord {
    pub(crate) fn encode(&self, buffer: &mut Vec<u8>) {
        let header = [&self.term.to_le_bytes()[..], &[self.kind]];
        let parts = [header[0], header[1], &self.payload];
        encode(buffer, RecordType::Entry, self.index, &parts);
    }

    pub(crate) fn decode(record: &RawRecord<'_>) -> Option<Self> {
        Some(Self {
            index: record.index,
            term: read_u64(record.payload)?,
            kind: *record.payload.get(8)?,
            payload: record.payload.get(9..)?.to_vec(),
        })
    }
}

impl VoteRecord {
    pub(crate) fn encode(&self, buffer: &mut Vec<u8>) {
        let term = self.term.to_le_bytes();
        match &self.vote {
            Some((name, incarnation)) => {
                let parts = [&term[..], &incarnation.to_le_bytes(), name.as_bytes()];
                encode(buffer, RecordType::Vote, 1, &parts);
            }
            None => encode(buffer, RecordType::Vote, 0, &[&term[..]]),
        }
    }

    pub(crate) fn decode(record: &RawRecord<'_>) -> Option<Self> {
        let term = read_u64(record.payload)?;
        if record.index == 0 {
            return Some(Self { term, vote: None });
        }
        let incarnation = read_u64(record.payload.get(8..)?)?;
        let name = String::from_utf8(record.payload.get(16..)?.to_vec()).ok()?;
        Some(Self {
            term,
            vote: Some((name, incarnation)),
        })
    }
}
