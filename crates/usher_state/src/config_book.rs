//! Versioned configuration with its operators' requests. Not for: what a sheet means.

use std::collections;

use sha2::Digest as _;
use usher_wire::message;

use crate::{audit, mechanism, snapshot};

/// How many answers are kept for resent requests: about a week at 2,400 changes a day. A request
/// that is resent later meets a conflict, because its base version is old by then.
pub const MAX_KEPT_ANSWERS: usize = 16_384;

/// The longest sheet, in bytes.
const MAX_SHEET_BYTES: usize = 1_024 * 1_024;

type RequestKey = (String, String);

#[derive(Clone, Debug, PartialEq)]
struct KeptAnswer {
    content: [u8; 32],
    outcome: message::ConfigOutcome,
}

/// The current configuration and the answers to earlier requests.
#[derive(Clone, Debug, Default)]
pub struct ConfigBook {
    version: u64,
    operator: String,
    sheet: String,
    answers: collections::BTreeMap<RequestKey, KeptAnswer>,
    order: collections::VecDeque<RequestKey>,
    pub(crate) audit: audit::AuditLog,
}

impl ConfigBook {
    /// Returns the current version; 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns who made the current version.
    pub fn operator(&self) -> &str {
        &self.operator
    }

    /// Returns the current sheet.
    pub fn sheet(&self) -> &str {
        &self.sheet
    }

    /// Decides about a change and makes it the current version when accepted.
    pub(crate) fn change(
        &mut self,
        change: message::ConfigChange,
        removed: Option<mechanism::StateMechanism>,
    ) -> Result<message::ConfigOutcome, String> {
        let in_place = |mechanism| mechanism::in_place(removed, mechanism);
        if change.operator.is_empty() || change.request_id.is_empty() {
            return Err("a change needs an operator and a request id".to_owned());
        }
        if change.sheet.len() > MAX_SHEET_BYTES {
            return Err(format!("the sheet is longer than {MAX_SHEET_BYTES} bytes"));
        }
        let key = (change.operator.clone(), change.request_id.clone());
        let content = content_digest(&change);
        if in_place(mechanism::StateMechanism::ConfigResend) {
            if let Some(kept) = self.answers.get(&key) {
                let same = kept.content == content;
                if !same && in_place(mechanism::StateMechanism::ConfigContent) {
                    return Ok(self.conflict());
                }
                audit::check!(
                    self.audit,
                    "config.answer_of_same_content",
                    same,
                    "request {key:?} with other content got the answer of the first"
                );
                return Ok(message::ConfigOutcome {
                    repeated: true,
                    ..kept.outcome.clone()
                });
            }
        }
        let current = change.base_version == self.version;
        if !current && in_place(mechanism::StateMechanism::BaseVersion) {
            let outcome = self.conflict();
            self.keep(key, content, outcome.clone());
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
        audit::check!(
            self.audit,
            "config.base_is_current",
            change.base_version == self.version,
            "base {} replaced version {}",
            change.base_version,
            self.version
        );
        audit::check!(
            self.audit,
            "config.request_once",
            !self.answers.contains_key(&key),
            "request {key:?} took effect again"
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
        self.keep(key, content, outcome.clone());
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

    fn keep(&mut self, key: RequestKey, content: [u8; 32], outcome: message::ConfigOutcome) {
        if self.order.len() == MAX_KEPT_ANSWERS {
            if let Some(oldest) = self.order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
        let kept = KeptAnswer { content, outcome };
        if self.answers.insert(key.clone(), kept).is_none() {
            self.order.push_back(key);
        }
    }

    /// Returns the book as part of a snapshot.
    pub(crate) fn save(&self) -> snapshot::ConfigPart {
        let answers = self.order.iter().filter_map(|key| {
            let kept = self.answers.get(key)?;
            Some(snapshot::AnswerPart {
                operator: key.0.clone(),
                request_id: key.1.clone(),
                content: kept.content.to_vec(),
                outcome: Some(kept.outcome.clone()),
            })
        });
        snapshot::ConfigPart {
            version: self.version,
            operator: self.operator.clone(),
            sheet: self.sheet.clone(),
            answers: answers.collect(),
        }
    }

    /// Reads the book from its part of a snapshot.
    pub(crate) fn load(part: snapshot::ConfigPart) -> Result<Self, String> {
        let mut book = Self {
            version: part.version,
            operator: part.operator,
            sheet: part.sheet,
            ..Self::default()
        };
        for answer in part.answers {
            let content = snapshot::fixed(&answer.content)?;
            let outcome = answer.outcome.ok_or("an answer has no outcome")?;
            book.keep((answer.operator, answer.request_id), content, outcome);
        }
        Ok(book)
    }
}

/// Returns the digest that tells two requests under one id apart.
fn content_digest(change: &message::ConfigChange) -> [u8; 32] {
    let mut hasher = sha2::Sha256::new();
    hasher.update(change.base_version.to_be_bytes());
    hasher.update(&change.sheet);
    hasher.finalize().into()
}
