//! Bounded records of decisions, for explanations. Not for: durable records.

use std::{collections, sync};

use axum::{extract, response, response::IntoResponse as _, Json};

use crate::{core, error, types};

/// How many records are kept.
pub const MAX_RECORDS: usize = 4_096;

/// One decision on a request and why it was made.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct DecisionRecord {
    /// Id that the caller knows.
    pub request: usher_types::RequestId,
    /// Id that targets know.
    pub engine_request: usher_types::RequestId,
    /// Wall time, in ms since 1970.
    pub at_ms: u64,
    /// What was decided on: `route`, `refuse`, `resume`, `retry`, `hedge`, `claim`, `end`.
    pub step: &'static str,
    /// Target that was chosen.
    pub target: Option<usher_types::TargetName>,
    /// Expected time to first token, in ms.
    pub expected_ms: Option<u64>,
    /// How many candidates were compared.
    pub scored: usize,
    /// Best candidates: target and score in seconds, lower is better.
    pub candidates: Vec<(usher_types::TargetName, f64)>,
    /// Reason in words.
    pub reason: String,
}

/// Keeps the last records; the oldest are dropped first.
#[derive(Debug, Default)]
pub struct RecordRing {
    records: sync::Mutex<collections::VecDeque<DecisionRecord>>,
}

impl RecordRing {
    /// Makes an empty ring.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record.
    pub fn push(&self, record: DecisionRecord) {
        let mut records = self.lock();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns the records of a request, oldest first, by either of its ids.
    pub fn find(&self, id: &str) -> Vec<DecisionRecord> {
        let records = self.lock();
        let found = records
            .iter()
            .filter(|record| record.request.as_str() == id || record.engine_request.as_str() == id);
        found.cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::VecDeque<DecisionRecord>> {
        self.records
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Answers `GET /v1/explain/{request}`.
pub(crate) async fn explain<P>(
    extract::State(core): core::CoreState<P>,
    extract::Path(id): extract::Path<String>,
) -> response::Response
where
    P: types::EntryTypes,
{
    let records = core.records.find(&id);
    if records.is_empty() {
        return error::CallError::not_found("no record of this request is kept").into_response();
    }
    Json(serde_json::json!({ "request": id, "records": records })).into_response()
}
