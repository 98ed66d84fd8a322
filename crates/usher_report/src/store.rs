//! Stores counts on disk as appended lines with checksums, and rewrites the file when it has
//! grown. Not for: reports.

use std::{
    collections, fs,
    io::{self, Write as _},
    path, time,
};

use crate::{bucket, counts, error};

/// Name of the records file inside a data folder.
pub const RECORDS_FILE: &str = "burn.records";

/// A file is rewritten when it exceeds twice its size after the last rewrite by more than this.
const MAX_GROWTH_BYTES: u64 = 1 << 20;
/// Largest file that is read: several times the size of `MAX_SERIES` full series.
const MAX_FILE_BYTES: u64 = 256 << 20;

/// One line of the file, with the counts of a minute or of an hour.
#[derive(Debug, serde::Deserialize, serde::Serialize)]
struct RecordLine {
    #[serde(flatten)]
    key: counts::SeriesKey,
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    minute: Option<u64>,
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    hour: Option<u64>,
    #[serde(flatten)]
    counts: bucket::CountBucket,
}

impl RecordLine {
    fn to_text(&self) -> Result<String, error::ReportError> {
        let json = serde_json::to_string(self)?;
        Ok(format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes())))
    }

    /// Parses a line; returns `None` when its checksum or content is invalid.
    fn from_text(line: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(line).ok()?;
        let (checksum, json) = text.split_once(' ')?;
        let checksum = u32::from_str_radix(checksum, 16).ok()?;
        if crc32fast::hash(json.as_bytes()) != checksum {
            return None;
        }
        serde_json::from_str(json).ok()
    }
}

/// Counts read from a file, and the damage that was found in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedCounts {
    /// Counts of all valid lines.
    pub counts: counts::BurnCounts,
    /// Complete lines that were skipped because their checksum or content is invalid.
    pub skipped: usize,
    /// Bytes of an incomplete last line, from a write that was interrupted.
    pub torn_bytes: usize,
}

impl LoadedCounts {
    /// Reads a records file without changing it. A missing file has no records.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or exceeds the size limit, but not when its content is
    /// damaged.
    pub fn read(file: &path::Path) -> Result<Self, error::ReportError> {
        let length = match fs::metadata(file) {
            Ok(metadata) => metadata.len(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(error) => return Err(error::ReportError::file(file, error)),
        };
        if length > MAX_FILE_BYTES {
            let message =
                format!("the file has {length} bytes, more than the limit of {MAX_FILE_BYTES}");
            return Err(error::ReportError::file(file, io::Error::other(message)));
        }
        let bytes = fs::read(file).map_err(|error| error::ReportError::file(file, error))?;
        Ok(Self::from_bytes(&bytes))
    }

    /// Parses records from the bytes of a file.
    pub fn from_bytes(bytes: &[u8]) -> Self {
        let mut loaded = Self::default();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let (line, after) = rest.split_at(end);
            rest = after.get(1..).unwrap_or_default();
            loaded.add_line(line);
        }
        loaded.torn_bytes = rest.len();
        loaded
    }

    fn add_line(&mut self, line: &[u8]) {
        let Some(record) = RecordLine::from_text(line) else {
            self.skipped += 1;
            return;
        };
        match (record.minute, record.hour) {
            (Some(minute), None) => self.counts.add_minute(&record.key, minute, &record.counts),
            (None, Some(hour)) => self.counts.add_hour(&record.key, hour, &record.counts),
            _ => self.skipped += 1,
        }
    }
}

type PendingCounts = collections::BTreeMap<(counts::SeriesKey, u64), bucket::CountBucket>;

/// Request counts in memory and on disk.
#[derive(Debug)]
pub struct BurnStore {
    path: path::PathBuf,
    file: fs::File,
    bytes: u64,
    /// Size of the file after the last rewrite.
    rewritten_bytes: u64,
    counts: counts::BurnCounts,
    /// Counts that are not on disk yet.
    pending: PendingCounts,
}

impl BurnStore {
    /// Opens the records of a data folder, and rewrites the file without damaged lines and without
    /// an incomplete last line.
    ///
    /// # Errors
    ///
    /// Fails when the folder or file cannot be read or written.
    pub fn open(folder: &path::Path, now: time::SystemTime) -> Result<Self, error::ReportError> {
        fs::create_dir_all(folder).map_err(|error| error::ReportError::file(folder, error))?;
        let path = folder.join(RECORDS_FILE);
        let mut loaded = LoadedCounts::read(&path)?;
        loaded.counts.expire(now);
        let (file, bytes) = rewrite(&path, &loaded.counts, now)?;
        Ok(Self {
            path,
            file,
            bytes,
            rewritten_bytes: bytes,
            counts: loaded.counts,
            pending: PendingCounts::new(),
        })
    }

    /// Counts one request in memory.
    pub fn record(&mut self, event: &counts::BurnEvent) {
        self.counts.record(event);
        let minute_key = (event.key.clone(), counts::minute_of(event.at));
        let pending = self.pending.entry(minute_key).or_default();
        pending.record(event.cause, event.first_token);
    }

    /// Returns the counts.
    pub fn counts(&self) -> &counts::BurnCounts {
        &self.counts
    }

    /// Writes and syncs the counts recorded since the last flush.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written; the next call then writes the counts.
    pub fn flush(&mut self, now: time::SystemTime) -> Result<(), error::ReportError> {
        self.counts.expire(now);
        if self.bytes > 2 * self.rewritten_bytes + MAX_GROWTH_BYTES {
            // The counts in memory include the pending ones.
            (self.file, self.bytes) = rewrite(&self.path, &self.counts, now)?;
            self.rewritten_bytes = self.bytes;
            self.pending.clear();
            return Ok(());
        }
        let mut text = String::new();
        for ((key, minute), counts) in &self.pending {
            text.push_str(&minute_line(key, *minute, counts)?);
        }
        if text.is_empty() {
            return Ok(());
        }
        let written = self
            .file
            .write_all(text.as_bytes())
            .and_then(|()| self.file.sync_data());
        if let Err(error) = written {
            // Truncates a partial write; otherwise the next call would count its lines twice.
            let _ = self.file.set_len(self.bytes);
            return Err(error::ReportError::file(&self.path, error));
        }
        self.bytes += text.len() as u64;
        self.pending.clear();
        Ok(())
    }
}

fn minute_line(
    key: &counts::SeriesKey,
    minute: u64,
    counts: &bucket::CountBucket,
) -> Result<String, error::ReportError> {
    let line = RecordLine {
        key: key.clone(),
        minute: Some(minute),
        hour: None,
        counts: counts.clone(),
    };
    line.to_text()
}

/// Writes all counts to a new file, and replaces the old file with it.
fn rewrite(
    path: &path::Path,
    counts: &counts::BurnCounts,
    now: time::SystemTime,
) -> Result<(fs::File, u64), error::ReportError> {
    let text = encode_records(counts, now)?;
    let fail = |error| error::ReportError::file(path, error);
    let new_path = path.with_extension("new");
    let mut file = fs::File::create(&new_path).map_err(fail)?;
    file.write_all(text.as_bytes()).map_err(fail)?;
    file.sync_all().map_err(fail)?;
    fs::rename(&new_path, path).map_err(fail)?;
    if let Some(folder) = path.parent() {
        let folder = fs::File::open(folder).map_err(fail)?;
        folder.sync_all().map_err(fail)?;
    }
    let file = fs::OpenOptions::new()
        .append(true)
        .open(path)
        .map_err(fail)?;
    Ok((file, text.len() as u64))
}

fn encode_records(
    counts: &counts::BurnCounts,
    now: time::SystemTime,
) -> Result<String, error::ReportError> {
    let first_minute = counts::first_retained_minute(now);
    let mut text = String::new();
    for (key, series) in counts.series() {
        let old_hours = series.hours.range(..first_minute / 60);
        for (hour, bucket) in old_hours {
            let line = RecordLine {
                key: key.clone(),
                minute: None,
                hour: Some(*hour),
                counts: bucket.clone(),
            };
            text.push_str(&line.to_text()?);
        }
        // The counts of later hours are the sums of these minutes.
        for (minute, bucket) in series.minutes.range(first_minute..) {
            text.push_str(&minute_line(key, *minute, bucket)?);
        }
    }
    Ok(text)
}
