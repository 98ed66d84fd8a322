//! The versioned configuration and the requests of operators to change it.
//! Not for: the meaning of a sheet.

use std::collections;

use sha2::Digest as _;
use usher_wire::message;

use crate::{mechanism, snapshot, violation_log};

/// The maximum number of answers that are stored for resent requests: about a week of them at
/// 2,400 changes per day. A request that is resent later gets a conflict, because its base version
/// is no longer current.
pub const MAX_KEPT_ANSWERS: usize = 16_384;

/// The maximum size of a sheet.
const MAX_SHEET_BYTES: usize = 1_024 * 1_024;

type RequestKey = (String, String);

#[derive(Clone, Debug, PartialEq)]
struct StoredAnswer {
    content: [u8; 32],
    outcome: message::ConfigOutcome,
}

/// Holds the current configuration and the answers to earlier requests.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    version: u64,
    operator: String,
    sheet: String,
    answers: collections::BTreeMap<RequestKey, StoredAnswer>,
    answer_order: collections::VecDeque<RequestKey>,
    pub(crate) violations: violation_log::ViolationLog,
}

impl ConfigState {
    /// Returns the current version, or 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the operator who made the current version.
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// Returns the current sheet.
    pub fn sheet(&self) -> &str {
        &self.sheet
    }

    /// Accepts a change as the new current version, or returns a conflict if its base version is
    /// not current.
    ///
    /// A resent request gets its first answer again. Returns an error if the change is invalid.
    pub(crate) fn change(
        &mut self,
        change: message::ConfigChange,
        disabled: Option<mechanism::StateMechanism>,
    ) -> Result<message::ConfigOutcome, String> {
        let is_enabled = |mechanism| mechanism::is_enabled(disabled, mechanism);
        if change.operator.is_empty() || change.request_id.is_empty() {
            return Err("configuration change has no operator or no request id".to_owned());
        }
        if change.sheet.len() > MAX_SHEET_BYTES {
            return Err(format!(
                "sheet has {} bytes; the limit is {MAX_SHEET_BYTES}",
                change.sheet.len()
            ));
        }
        let key = (change.operator.clone(), change.request_id.clone());
        let content = content_digest(&change);
        if is_enabled(mechanism::StateMechanism::ConfigResend) {
            if let Some(stored) = self.answers.get(&key) {
                let same = stored.content == content;
                if !same && is_enabled(mechanism::StateMechanism::ConfigContent) {
                    return Ok(self.conflict());
                }
                violation_log::check!(
                    self.violations,
                    "config.answer_of_same_content",
                    same,
                    "request {key:?} got the answer of an earlier request with other content"
                );
                return Ok(message::ConfigOutcome {
                    repeated: true,
                    ..stored.outcome.clone()
                });
            }
        }
        let current = change.base_version == self.version;
        if !current && is_enabled(mechanism::StateMechanism::BaseVersion) {
            let outcome = self.conflict();
            self.store_answer(key, content, outcome.clone());
            return Ok(outcome);
        }
        Ok(self.accept(key, content, change))
    }

    fn accept(
        &mut self,
        key: RequestKey,
        content: [u8; 32],
        change: message::ConfigChange,
    ) -> message::ConfigOutcome {
        violation_log::check!(
            self.violations,
            "config.base_is_current",
            change.base_version == self.version,
            "a change with base version {} replaced version {}",
            change.base_version,
            self.version
        );
        violation_log::check!(
            self.violations,
            "config.request_once",
            !self.answers.contains_key(&key),
            "request {key:?} took effect twice"
        );
        self.version += 1;
        self.operator = change.operator;
        self.sheet = change.sheet;
        let outcome = message::ConfigOutcome {
            accepted: true,
            version: self.version,
            operator: self.operator.clone(),
            repeated: false,
        };
        self.store_answer(key, content, outcome.clone());
        outcome
    }

    fn conflict(&self) -> message::ConfigOutcome {
        message::ConfigOutcome {
            accepted: false,
            version: self.version,
            operator: self.operator.clone(),
            repeated: false,
        }
    }

    fn store_answer(
        &mut self,
        key: RequestKey,
        content: [u8; 32],
        outcome: message::ConfigOutcome,
    ) {
        if self.answer_order.len() == MAX_KEPT_ANSWERS {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
        let stored = StoredAnswer { content, outcome };
        if self.answers.insert(key.clone(), stored).is_none() {
            self.answer_order.push_back(key);
        }
    }

    /// Returns the part of a snapshot that holds the configuration.
    pub(crate) fn save(&self) -> snapshot::ConfigPart {
        let answers = self.answer_order.iter().filter_map(|key| {
            let stored = self.answers.get(key)?;
            Some(snapshot::AnswerPart {
                operator: key.0.clone(),
                request_id: key.1.clone(),
                content: stored.content.to_vec(),
                outcome: Some(stored.outcome.clone()),
            })
        });
        snapshot::ConfigPart {
            version: self.version,
            operator: self.operator.clone(),
            sheet: self.sheet.clone(),
            answers: answers.collect(),
        }
    }

    /// Restores the configuration from its part of a snapshot.
    pub(crate) fn load(part: snapshot::ConfigPart) -> Result<Self, String> {
        let mut state = Self {
            version: part.version,
            operator: part.operator,
            sheet: part.sheet,
            ..Self::default()
        };
        for answer in part.answers {
            let content = snapshot::to_array(&answer.content)?;
            let outcome = answer.outcome.ok_or("stored answer has no outcome")?;
            state.store_answer((answer.operator, answer.request_id), content, outcome);
        }
        Ok(state)
    }
}

/// Returns a digest of the content, which distinguishes two requests with the same id.
fn content_digest(change: &message::ConfigChange) -> [u8; 32] {
    let mut hasher = sha2::Sha256::new();
    hasher.update(change.base_version.to_be_bytes());
    hasher.update(&change.sheet);
    hasher.finalize().into()
}
