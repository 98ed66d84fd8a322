//! A bounded record of what happened, for explanations. Not for: decisions.

use std::collections;

use prost::Message;

/// How many records a ring keeps.
pub const HISTORY_RECORDS: usize = 4_096;

/// One thing that happened to a subject.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HistoryRecord {
    /// Log index of the command.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Time of the state, in ms since 1970.
    #[prost(uint64, tag = "2")]
    pub at_ms: u64,
    /// Request id, engine, target or `config`.
    #[prost(string, tag = "3")]
    pub subject: String,
    /// What happened.
    #[prost(string, tag = "4")]
    pub text: String,
}

/// Keeps the newest [`HISTORY_RECORDS`] records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistoryRing {
    records: collections::VecDeque<HistoryRecord>,
}

impl HistoryRing {
    /// Adds a record and drops the oldest one when full.
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

    /// Returns how many records are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether nothing happened yet.
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
