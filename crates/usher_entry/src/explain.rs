//! Keeps recent decisions in memory and serves them as explanations.
//!
//! Not for: durable records.

use std::{collections, sync};

use axum::{extract, response, response::IntoResponse as _, Json};

use crate::{core, error, types};

/// Maximum number of records kept.
pub const MAX_RECORDS: usize = 4_096;

/// One decision on a request with its reasons.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct DecisionRecord {
    /// Request id reported to the caller.
    pub request: usher_types::RequestId,
    /// Request id sent to engines.
    pub engine_request: usher_types::RequestId,
    /// Wall-clock time, in ms since 1970.
    pub at_ms: u64,
    /// Kind of decision: `route`, `refuse`, `resume`, `retry`, `hedge`.
    pub step: &'static str,
    /// Chosen target.
    pub target: Option<usher_types::TargetName>,
    /// Expected time to first token, in ms.
    pub expected_ms: Option<u64>,
    /// Number of candidates compared.
    pub scored: usize,
    /// Best candidates as target and score in seconds; lower is better.
    pub candidates: Vec<(usher_types::TargetName, f64)>,
    /// Reason as text.
    pub reason: String,
}

/// A ring buffer of the latest records.
#[derive(Debug, Default)]
pub struct RecordRing {
    records: sync::Mutex<collections::VecDeque<DecisionRecord>>,
}

impl RecordRing {
    /// Creates an empty ring.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record, dropping the oldest if the ring is full.
    pub fn push(&self, record: DecisionRecord) {
        let mut records = self.lock();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns the records of a request by either of its ids, oldest first.
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
        return error::CallError::not_found("no decision records for this request").into_response();
    }
    Json(serde_json::json!({ "request": id, "records": records })).into_response()
}
