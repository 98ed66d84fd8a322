//! A bounded history of events, for explanations to operators. Not for: decisions.

use std::collections;

use prost::Message;

/// The capacity of a ring buffer, in records.
pub const HISTORY_RECORDS: usize = 4_096;

/// One event that affected a subject.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HistoryRecord {
    /// The log index of the command.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The time of the state, in ms since 1970.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// The request id, engine, target or entry, or `config` or `routes`.
    #[prost(string, tag = "3")]
    pub subject: String,
    /// The description of the event.
    #[prost(string, tag = "4")]
    pub text: String,
}

/// A ring buffer of the newest [`HISTORY_RECORDS`] records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistoryRing {
    records: collections::VecDeque<HistoryRecord>,
}

impl HistoryRing {
    /// Adds a record, and removes the oldest one if the buffer is full.
    pub fn push(&mut self, record: HistoryRecord) {
        if self.records.len() == HISTORY_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns the records, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &HistoryRecord> {
        self.records.iter()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl FromIterator<HistoryRecord> for HistoryRing {
    fn from_iter<I: IntoIterator<Item = HistoryRecord>>(records: I) -> Self {
        let mut ring = Self::default();
        records.into_iter().for_each(|record| ring.push(record));
        ring
    }
}
