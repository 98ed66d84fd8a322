//! Log entries kept in memory since the last compaction. Not for: storage.

use std::collections;

use usher_wire::message;

/// The part of the log that is kept in memory: all entries after the base index.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryLog {
    base_index: u64,
    base_term: u64,
    entries: collections::VecDeque<message::LogEntry>,
    /// Payload of all entries, in bytes.
    bytes: usize,
}

impl EntryLog {
    pub(crate) fn new(base_index: u64, base_term: u64) -> Self {
        Self {
            base_index,
            base_term,
            entries: collections::VecDeque::new(),
            bytes: 0,
        }
    }

    /// Returns the payload of all entries in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the index before the first entry in memory.
    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of an index, or `None` when it is compacted or after the end of the log.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&message::LogEntry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn push(&mut self, entry: message::LogEntry) {
        let next = self.last_index() + 1;
        if usher_types::invariant!(
            "consensus.contiguous_log",
            entry.index == next,
            "entry {} appended after entry {}",
            entry.index,
            next - 1
        ) {
            self.bytes += entry.payload.len();
            self.entries.push_back(entry);
        }
    }

    /// Removes all entries from index `from` on.
    pub(crate) fn truncate(&mut self, from: u64) {
        while self.last_index() >= from {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= entry.payload.len();
        }
    }

    /// Drops the entries up to and including `through`; does nothing when it is not in the log.
    pub(crate) fn compact(&mut self, through: u64) {
        let Some(term) = self.term(through) else {
            return;
        };
        while self.base_index < through {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.payload.len();
            self.base_index += 1;
        }
        self.base_term = term;
    }

    /// Returns the index after which the entries up to `through` have a payload of at most `bytes`.
    pub(crate) fn start_of_last(&self, through: u64, bytes: usize) -> u64 {
        let mut start = through;
        let mut size = 0;
        while let Some(entry) = self.get(start) {
            size += entry.payload.len();
            if size > bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Copies the entries `from..=through` up to a total payload of `bytes`; returns at least one
    /// entry if the range holds any.
    pub(crate) fn slice(&self, from: u64, through: u64, bytes: usize) -> Vec<message::LogEntry> {
        let mut taken = Vec::new();
        let mut size = 0;
        for index in from..=through.min(self.last_index()) {
            let Some(entry) = self.get(index) else { break };
            size += entry.payload.len();
            if size > bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Returns the first index in memory that has the same term as `index`.
    pub(crate) fn first_index_of_term(&self, index: u64) -> u64 {
        let Some(term) = self.term(index) else {
            return index;
        };
        let mut start = index;
        while start > self.base_index + 1 && self.term(start - 1) == Some(term) {
            start -= 1;
        }
        start
    }
}
