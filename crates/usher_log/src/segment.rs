//! Names of segment files, and the open segment. Not for: reading segments.

use crate::{error, record, storage};

const PREFIX: &str = "log-";
const SUFFIX: &str = ".segment";

/// Returns the file name of a segment.
pub(crate) fn file_name(sequence: u64) -> String {
    format!("{PREFIX}{sequence:020}{SUFFIX}")
}

/// Returns the number of a segment from its file name.
pub(crate) fn sequence_of(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?
        .strip_suffix(SUFFIX)?
        .parse()
        .ok()
}

/// Number of a segment and its highest index.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentSpan {
    pub(crate) sequence: u64,
    pub(crate) last_index: u64,
}

/// The last segment of the log, to which records are appended.
#[derive(Debug)]
pub(crate) struct OpenSegment<F> {
    pub(crate) sequence: u64,
    pub(crate) file: F,
    pub(crate) bytes: u64,
}

impl<F> OpenSegment<F>
where
    F: storage::StorageFile,
{
    /// Creates a segment that starts with the current vote, so that earlier segments can be
    /// removed.
    pub(crate) fn create<D>(
        folder: &D,
        sequence: u64,
        vote: &record::VoteRecord,
    ) -> Result<Self, error::LogError>
    where
        D: storage::StorageFolder<File = F>,
    {
        let name = file_name(sequence);
        let mut buffer = Vec::new();
        record::encode(
            &mut buffer,
            record::RecordType::Header,
            sequence,
            &[&record::FORMAT_VERSION.to_le_bytes()],
        );
        vote.encode(&mut buffer);
        let mut file = folder
            .create(&name)
            .map_err(error::LogError::io("creation", &name))?;
        file.write_all(&buffer)
            .map_err(error::LogError::io("writing", &name))?;
        file.sync().map_err(error::LogError::io("fsync", &name))?;
        folder
            .sync()
            .map_err(error::LogError::io("fsync of the folder", &name))?;
        Ok(Self {
            sequence,
            file,
            bytes: buffer.len() as u64,
        })
    }
}
